// Package retryafter assigns return times to refused callers, so that those who were refused for
// one cause come back one after the other and not together.
//
// A Schedule belongs to one cause, such as a saturated target or a service without a primary. The
// package is pure: the current time is passed in.
package retryafter

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Terms is what is known about the end of a cause.
type Terms struct {
	// First is the time until the first caller may be served.
	First time.Duration
	// Interval is the time between two callers after that.
	Interval time.Duration
	// Max is the longest retry-after.
	Max time.Duration
}

// Schedule assigns return times. The zero value is ready to use. It is safe for concurrent use.
type Schedule struct {
	mu sync.Mutex
	// last is the latest return time that was assigned, by priority.
	last map[int]clock.Time
}

// Next returns the retry-after of one more refused caller: t.Interval after the last one who was
// told to return and is of the same or a higher priority; 0 is the highest.
func (s *Schedule) Next(now clock.Time, priority int, t Terms) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(t.First)
	for p, last := range s.last {
		if p <= priority {
			at = max(at, last.Add(t.Interval))
		}
	}
	at = min(at, now.Add(t.Max))
	if s.last == nil {
		s.last = make(map[int]clock.Time)
	}
	s.last[priority] = at
	return at.Sub(now)
}
