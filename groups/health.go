package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// Health tells, from requests and questions, since when the primary has not
// answered. It is safe for concurrent use.
type Health struct {
	mu       sync.Mutex
	primary  target.ID
	failing  clock.Time // since the first failure after the last answer
	refusals int
}

// Answered records an answer of the target, whatever it said.
func (h *Health) Answered(id target.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.primary {
		h.failing, h.refusals = 0, 0
	}
}

// Failed records that the target did not answer. A refused connection shows
// that no process listens there, which silence does not.
func (h *Health) Failed(id target.ID, now clock.Time, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		h.primary, h.failing, h.refusals = id, 0, 0
	}
	if h.failing == 0 {
		h.failing = now
	}
	if refused {
		h.refusals++
	}
}

// Silent returns how long the target has failed to answer, and how often it
// refused a connection in that time.
func (h *Health) Silent(id target.ID, now clock.Time) (time.Duration, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary || h.failing == 0 {
		return 0, 0
	}
	return now.Sub(h.failing), h.refusals
}

// Reset forgets all failures, as after this VM itself stood still: what went
// unanswered then says nothing about the target.
func (h *Health) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing, h.refusals = 0, 0
}
