package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// HoldAfter is how long a write must have been left without an answer, while no
// other was acknowledged, for those that come next to wait for what becomes of
// it: as long as for the primary to be taken for stalled. Less holds back the writes
// of primaries that are merely busy.
const HoldAfter = takeover.StalledAfter

// Health tells, from requests and questions, since when the primary has not
// answered, and since when it has acknowledged no write. It is safe for
// concurrent use.
type Health struct {
	mu       sync.Mutex
	primary  target.ID
	failing  clock.Time // since the first failure after the last answer
	refusals int
	waiting  int        // statements sent and not answered
	quiet    clock.Time // since when none of them was answered
	writes   int        // writes and commits sent and not answered
	stalled  clock.Time // since when none of those was answered
	next     *WriteEnd  // of the next write that ends; nil if nobody waits for it
}

// WriteEnd is what became of the write that others wait for.
type WriteEnd struct {
	// Done is closed once it has ended.
	Done chan struct{}
	// Answered may be read after that.
	Answered bool
}

// Hold returns what a new write to a target should wait for; nil if it need not.
//
// Failure guarded against: a primary that cannot reach its replicas answers
// reads, and leaves every write waiting. Each consumer that sends one is left in
// doubt, one after the other, until the primary is replaced or its replicas are
// back. It holds because once a write has been left waiting for HoldAfter the
// others wait here, where they surely have not run; one at a time goes on, so
// that the end of the trouble is seen.
func (h *Health) Hold(id target.ID, now clock.Time) *WriteEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary || h.writes == 0 || now.Sub(h.stalled) < HoldAfter {
		return nil
	}
	if h.next == nil {
		h.next = &WriteEnd{Done: make(chan struct{})}
	}
	return h.next
}

// writeEnded tells those who wait for it what became of a write.
func (h *Health) writeEnded(answered bool) {
	if h.next == nil {
		return
	}
	h.next.Answered = answered
	close(h.next.Done)
	h.next = nil
}

// Watch makes the target the one whose health is kept.
func (h *Health) Watch(id target.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.primary {
		return
	}
	h.writeEnded(false)
	h.primary, h.failing, h.refusals = id, 0, 0
	h.waiting, h.quiet, h.writes, h.stalled = 0, 0, 0, 0
}

// Watched is the target whose health is kept.
func (h *Health) Watched() target.ID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.primary
}

// Sent records a statement on its way. The returned function must be called
// with the outcome: whether an answer came.
func (h *Health) Sent(id target.ID, now clock.Time, write bool) func(now clock.Time, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return func(clock.Time, bool) {}
	}
	if h.waiting == 0 {
		h.quiet = now
	}
	h.waiting++
	if write {
		if h.writes == 0 && h.stalled == 0 {
			h.stalled = now
		}
		h.writes++
	}
	return func(now clock.Time, answered bool) { h.ended(id, now, write, answered) }
}

func (h *Health) ended(id target.ID, now clock.Time, write, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return
	}
	h.waiting = max(h.waiting-1, 0)
	if answered {
		h.quiet, h.failing, h.refusals = now, 0, 0
	}
	if !write {
		return
	}
	h.writes = max(h.writes-1, 0)
	h.writeEnded(answered)
	switch {
	case answered && h.writes == 0:
		h.stalled = 0
	case answered:
		h.stalled = now
	}
}

// Answered records an answer of the target to a question of our own.
func (h *Health) Answered(id target.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.primary {
		h.failing, h.refusals = 0, 0
	}
}

// Failing returns since when a target has failed to answer; 0 if it answers.
func (h *Health) Failing(id target.ID) clock.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return 0
	}
	return h.failing
}

// Failed records that the target did not answer. A refused connection shows
// that no process listens there, which silence does not.
func (h *Health) Failed(id target.ID, now clock.Time, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return
	}
	if h.failing == 0 {
		h.failing = now
	}
	if refused {
		h.refusals++
	}
}

// Signs is what Health has seen.
type Signs struct {
	// Silent is how long the target has failed to answer.
	Silent time.Duration
	// Refusals counts the connections refused in that time.
	Refusals int
	// Quiet is how long statements have waited with none answered.
	Quiet time.Duration
	// Stalled is how long writes have waited with none answered.
	Stalled time.Duration
}

// Signs returns what was seen of the target.
func (h *Health) Signs(id target.ID, now clock.Time) Signs {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return Signs{}
	}
	s := Signs{Refusals: h.refusals}
	if h.failing != 0 {
		s.Silent = now.Sub(h.failing)
	}
	if h.waiting > 0 {
		s.Quiet = now.Sub(h.quiet)
	}
	if h.stalled != 0 {
		s.Stalled = now.Sub(h.stalled)
	}
	return s
}

// Reset forgets all failures, as after this VM itself stood still: what went
// unanswered then says nothing about the target.
func (h *Health) Reset(now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing, h.refusals, h.quiet = 0, 0, now
	if h.stalled != 0 {
		h.stalled = now
	}
}
