package lane

import (
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/retryafter"
)

// Outcomes of the decisions that a lane counts for its target.
const (
	outcomePressed      = "pressed"
	outcomeRefused      = "refused-at-arrival"
	outcomeRefusedLater = "refused-waiting"
	outcomeByShare      = "served-by-share"
)

// maxReturnTime is the longest retry-after: an estimate further ahead says little.
const maxReturnTime = time.Second

// expectedWait returns the estimated time until requests that wait, with the given work, have got a
// connection; 0 if not known.
func (l *Lane) expectedWait(work time.Duration, requests int) time.Duration {
	if l.maxRunning == 0 || l.waiting.byCount || !l.waiting.times.known() {
		return l.drain.after(requests)
	}
	wait := time.Duration(float64(work) / (float64(l.maxRunning) * l.slotUse.freshFraction()))
	if l.open-l.parked < l.maxRunning {
		// Connections are lacking, not slots.
		wait = max(wait, l.drain.after(requests))
	}
	return wait
}

// admit decides whether a request that must wait is queued. It returns the refusal if not.
//
// A request is refused at once if its caller would have timed out before its turn, or if it would be
// late and the caller is expected to time out before the queue is no longer pressed. Otherwise it
// waits: a late answer has some use for its caller, and it is served only when nothing better waits.
func (l *Lane) admit(now clock.Time, w *waiter, timeout time.Duration) error {
	q := &l.waiting
	q.expect(w, now, timeout)
	if q.byCount {
		return l.admitByCount(now, w)
	}
	if !q.detectsLate || !q.times.known() || q.Len() == 0 {
		return nil
	}
	ahead, work := q.ahead(w)
	wait := l.expectedWait(work, ahead) + q.times.average.mean/2
	inTime := now.Add(wait).Before(w.startBy)
	if inTime && wait < timeout {
		return nil
	}
	if !inTime && now.Before(w.startBy) && !q.pressed() {
		q.setOrder(now, byPriority)
		l.decisions.Count(decisions.Queue, string(l.id), outcomePressed, 1)
	}
	if wait > timeout || l.backlog() > timeout || q.pressed() && !inTime && !q.outlasts(w, now) {
		l.decisions.Count(decisions.Queue, string(l.id), outcomeRefused, 1)
		return l.refusal(now, w)
	}
	return nil
}

// refusal returns the error of a request that is not worth waiting. While all others are in time, it
// is only that this one would not wait for as long as its turn takes, as a read that has another
// target; that says nothing of an overload.
func (l *Lane) refusal(now clock.Time, w *waiter) error {
	if l.waiting.pressed() {
		return l.overloadedError(now, w.opts)
	}
	return l.expired(w.expires.Sub(w.arrived), "no connection would become free in time")
}

// backlog returns the estimated time until all waiting requests have got a connection.
func (l *Lane) backlog() time.Duration {
	return l.expectedWait(l.waiting.inTime.work+l.waiting.late.work, l.waiting.Len())
}

// shed refuses the requests that are no longer worth waiting.
func (l *Lane) shed(now clock.Time) {
	late := l.waiting.shedLate(now)
	for _, w := range late {
		w.ready <- delivery{err: l.refusal(now, w)}
	}
	l.decisions.Count(decisions.Queue, string(l.id), outcomeRefusedLater, len(late))
}

// overloadedError returns the refusal of a request that cannot be served in time. The first caller
// returns once what waits now has been served, and the others at the intervals at which the target
// serves requests.
func (l *Lane) overloadedError(now clock.Time, o AcquireOptions) error {
	l.rememberRefused(o)
	if l.waiting.byCount {
		return l.overloadedByCount()
	}
	t := retryafter.Terms{
		First:    min(max(l.backlog(), time.Millisecond), maxReturnTime),
		Interval: l.expectedWait(l.waiting.times.average.mean, 1), Max: maxReturnTime,
	}
	return &UnavailableError{Target: l.id, RetryAfter: l.returns.Next(now, o.Priority, t), Cause: errors.New("more is asked than the target can do")}
}
