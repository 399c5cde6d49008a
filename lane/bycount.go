package lane

import (
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
)

// setFeatures sets which parts run.
func (l *Lane) setFeatures(s feature.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting.byCount = s.Without(feature.AdmissionByWork)
	l.waiting.shares.off = s.Without(feature.FairShares)
}

// overloadOrder is the order of the requests in time while the queue is overloaded.
func (q *queue) overloadOrder() order {
	if q.byCount {
		return byPriority
	}
	return byWork
}

// admitByCount is admit without admission by work: requests are refused only while the queue is
// overloaded, if they would be late behind the number of those ahead.
func (l *Lane) admitByCount(now clock.Time, w *waiter) error {
	if !l.waiting.overloaded() {
		return nil
	}
	ahead, _ := l.waiting.ahead(w)
	if wait := l.drain.after(ahead + 1); wait == 0 || now.Add(wait).Before(w.startBy) {
		return nil
	}
	l.decisions.Count(decisions.Queue, string(l.id), outcomeRefused, 1)
	return l.overloadedByCount()
}

func (l *Lane) overloadedByCount() error {
	return &UnavailableError{
		Target: l.id, RetryAfter: l.drain.after(l.waiting.Len() + 1), Cause: errors.New("more is asked than the target can do"),
	}
}
