package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/retryafter"
)

// minRetryAfter is the shortest retry-after: the time of one or two statements.
const minRetryAfter = 30 * time.Millisecond

// minReturnInterval is the shortest interval between two returns, for callers refused at the same
// moment: the time of a statement.
const minReturnInterval = 10 * time.Millisecond

// returnRate is how much faster the refused callers of a VM return than they came. If it were 1, those
// who are refused late would wait as long as those who are refused first, although they come nearer
// to the end of the cause.
const returnRate = 2

// Returns assigns return times to the callers that this VM refuses for one cause. They return at
// most returnRate times as fast as they came, so that the service is not overloaded by them. It is
// safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	refusals eventRun
	refused  int
	schedule retryafter.Schedule
}

// Next returns the retry-after of one more refused caller; 0 if the cause is not expected to end in
// the time that the caller has left. remaining is the time until the cause is expected to end.
func (r *Returns) Next(now clock.Time, priority int, remaining, left time.Duration, jitter float64) time.Duration {
	r.mu.Lock()
	lasted := r.refusals.duration(now, failureGap)
	if lasted == 0 {
		r.refused = 0
	}
	r.refusals.recordSince(now, now, failureGap)
	interval := minReturnInterval
	if r.refused > 0 {
		interval = max(interval, lasted/time.Duration(returnRate*r.refused))
	}
	r.refused++
	r.mu.Unlock()
	return r.schedule.Next(now, priority, retryafter.Terms{
		First: max(remaining, minRetryAfter), Interval: interval, Max: left, Jitter: jitter,
	})
}
