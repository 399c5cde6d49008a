// Package retryafter assigns return times to refused callers, so that those who were refused for
// one cause come back one after the other and not together.
//
// A Schedule belongs to one cause, such as a saturated target or a service without a primary. The
// package is pure: the current time and the jitter are passed in.
package retryafter

import (
	"math"
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
	// Max is the longest retry-after: the time that the caller has left.
	Max time.Duration
	// Jitter is a random number in [0, 1), by which a caller returns later within its interval. VMs
	// that refuse for one cause do not know of each other's callers.
	Jitter float64
}

// priorities is the number of priorities that are told apart; lower ones are treated as the last.
const priorities = 8

// Schedule assigns return times. The zero value is ready to use. It is safe for concurrent use.
type Schedule struct {
	mu sync.Mutex
	// last is the latest return time that was assigned, by priority.
	last [priorities]clock.Time
	// overflow counts the callers for whom the intervals had no room before their Max.
	overflow int
}

// Next returns the retry-after of one more refused caller: t.Interval after the last one who was
// told to return and is of the same or a higher priority; 0 is the highest. It returns 0 if the
// cause is not expected to end in the time that the caller has.
//
// If more callers are refused than t.Max has intervals, the others are distributed over the later
// half of the time, where they do not delay those who were refused first.
func (s *Schedule) Next(now clock.Time, priority int, t Terms) time.Duration {
	if t.First > t.Max {
		return 0
	}
	priority = min(max(priority, 0), priorities-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(t.First)
	for _, last := range s.last[:priority+1] {
		at = max(at, last.Add(t.Interval))
	}
	if at.Sub(now) > t.Max {
		return s.distribute(t)
	}
	s.last[priority] = at
	return min(at.Sub(now)+time.Duration(t.Jitter*float64(t.Interval)), t.Max)
}

// distribute returns a retry-after in the later half of the time from t.First to t.Max. Successive
// multiples of the golden ratio leave no two callers close to each other.
func (s *Schedule) distribute(t Terms) time.Duration {
	s.overflow++
	_, at := math.Modf(float64(s.overflow) / math.Phi)
	return t.Max - time.Duration(at*float64(t.Max-t.First)/2)
}
