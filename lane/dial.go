package lane

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
)

// unreachable reports whether a request should not wait for a connection: the
// target could not be reached, and its turn to be tried again has not come, or
// another request is trying it.
//
// Failure guarded against: a target behind a partition, where connecting hangs
// until its time-out. Every request that came meanwhile would wait for it, again
// and again, though a read can go elsewhere at once.
func (l *Lane) unreachable(now clock.Time) bool {
	return l.open == 0 && l.downCause != nil && (l.dialing > 0 || now.Before(l.down))
}

// hangs reports whether the first connection takes longer than usual.
func (l *Lane) hangs(now clock.Time) bool {
	return l.open == 0 && l.dialing > 0 && now.Sub(l.dialSince) > usualDial
}

// grow opens connections for the requests that wait.
func (l *Lane) grow(now clock.Time) {
	if l.closed || !l.mayRun() {
		return
	}
	for l.dialing < min(maxDialing, l.waiting.Len()) && l.open+l.dialing < l.most(now) {
		if l.dialing == 0 {
			l.dialSince = now
		}
		l.dialing++
		go l.openOne()
	}
}

// most is how many connections the lane may have now.
func (l *Lane) most(now clock.Time) int {
	if now.Before(l.refused) {
		return l.open
	}
	if l.running > 0 {
		return l.allowance + min(l.resting+l.overdue, burst)
	}
	return l.allowance + burst
}

func (l *Lane) openOne() {
	link, err := l.dial(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing--
	now := l.clk.Now()
	if err != nil {
		l.dialFailed(now, err)
		return
	}
	l.down, l.downCause = 0, nil
	l.open++
	l.inUse++
	l.hand(&Conn{Link: link, Target: l.id, lane: l})
}

// dialFailed lets the requests that wait go elsewhere, if no connection is
// left that may become free for them.
func (l *Lane) dialFailed(now clock.Time, err error) {
	unavailable := l.unavailable(err)
	if unavailable.Code != statement.OK {
		l.refused = now.Add(l.refusalPause())
	} else {
		l.down, l.downCause = now.Add(unreachablePause), err
	}
	if l.open > 0 || l.dialing > 0 {
		return
	}
	l.refuseAll(now, unavailable)
}

// unavailable turns a dialer's error into that of those who wait.
func (l *Lane) unavailable(err error) *UnavailableError {
	out := &UnavailableError{Target: l.id, Cause: err}
	var refusal Refusal
	if errors.As(err, &refusal) {
		out.Code = refusal.Refused()
	}
	return out
}

func (l *Lane) refusalPause() time.Duration {
	if l.open == 0 {
		return refusedAlone
	}
	return refusedPause
}
