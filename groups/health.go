package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// HoldAfter is how long a write must have been unanswered, while no other was acknowledged, for
// subsequent writes to wait for its outcome. It is the time after which the primary counts as
// stalled; a shorter time holds back the writes of primaries that are merely busy.
const HoldAfter = takeover.StalledAfter

// Health measures, from requests and status queries, since when the primary has not answered, and
// since when it has acknowledged no write. It is safe for concurrent use.
type Health struct {
	mu              sync.Mutex
	primary         target.ID
	failingSince    clock.Time // since the first failure after the last answer
	refusals        int
	waiting         int        // number of statements sent and not answered
	unansweredSince clock.Time // since when none of the waiting statements was answered
	writes          int        // number of writes and commits sent and not answered
	stalledSince    clock.Time // since when none of the waiting writes was answered
	stalledUntil    clock.Time // when the last of them was given up, while none waits
	next            *WriteEnd  // the next write that ends; nil if no request waits for it
}

// WriteEnd is the outcome of a write that other writes wait for.
type WriteEnd struct {
	// Done is closed once the write has ended.
	Done chan struct{}
	// Answered reports whether it was answered. It may be read once Done is closed.
	Answered bool
}

// Hold returns the write that a new write to a target should wait for; nil if it need not wait.
//
// Failure guarded against: a primary that cannot reach its replicas answers reads, and leaves every
// write unanswered. Each consumer that sends a write is left in doubt, one after the other, until
// the primary is replaced or its replicas are back. Once a write has been unanswered for HoldAfter,
// the others wait here, where they certainly have not run. One write at a time proceeds, so that
// the end of the failure is detected.
func (h *Health) Hold(id target.ID, now clock.Time) *WriteEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary || h.writes == 0 || now.Sub(h.stalledSince) < HoldAfter {
		return nil
	}
	if h.next == nil {
		h.next = &WriteEnd{Done: make(chan struct{})}
	}
	return h.next
}

// writeEnded reports a write's outcome to the writes that wait for it. The caller holds the lock.
func (h *Health) writeEnded(answered bool) {
	if h.next == nil {
		return
	}
	h.next.Answered = answered
	close(h.next.Done)
	h.next = nil
}

// Watch makes a target the one whose health is tracked.
func (h *Health) Watch(id target.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.primary {
		return
	}
	h.writeEnded(false)
	h.primary, h.failingSince, h.refusals = id, 0, 0
	h.waiting, h.unansweredSince, h.writes, h.stalledSince, h.stalledUntil = 0, 0, 0, 0, 0
}

// Watched returns the target whose health is tracked.
func (h *Health) Watched() target.ID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.primary
}

// Sent records that a statement was sent. The returned function must be called with the outcome:
// whether it was answered.
func (h *Health) Sent(id target.ID, now clock.Time, write bool) func(now clock.Time, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return func(clock.Time, bool) {}
	}
	if h.waiting == 0 {
		h.unansweredSince = now
	}
	h.waiting++
	if write {
		switch {
		case h.writes > 0:
		case h.stalledSince == 0:
			h.stalledSince = now
		default:
			// Only time in which some write waited counts.
			h.stalledSince = now.Add(-h.stalledUntil.Sub(h.stalledSince))
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
		h.unansweredSince, h.failingSince, h.refusals = now, 0, 0
	}
	if !write {
		return
	}
	h.writes = max(h.writes-1, 0)
	h.writeEnded(answered)
	switch {
	case answered && h.writes == 0:
		h.stalledSince = 0
	case answered:
		h.stalledSince = now
	default:
		h.stalledUntil = now
	}
}

// Answered records that the target replied to one of the fleet's own queries.
func (h *Health) Answered(id target.ID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id == h.primary {
		h.failingSince, h.refusals = 0, 0
	}
}

// Failing returns since when a target has failed to answer; 0 if it answers or is not the tracked
// one.
func (h *Health) Failing(id target.ID) clock.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return 0
	}
	return h.failingSince
}

// Failed records that the target did not answer. A refused connection shows that no process listens
// there, which a missing reply does not show.
func (h *Health) Failed(id target.ID, now clock.Time, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return
	}
	if h.failingSince == 0 {
		h.failingSince = now
	}
	if refused {
		h.refusals++
	}
}

// Symptoms is what Health has observed.
type Symptoms struct {
	// Unresponsive is how long the target has failed to answer.
	Unresponsive time.Duration
	// Refusals counts the connections refused in that time.
	Refusals int
	// Unanswered is how long statements have waited with none answered.
	Unanswered time.Duration
	// Stalled is how long writes have waited with none answered. It does not grow while none waits,
	// as when requests are refused at once: nothing then shows whether one would be answered.
	Stalled time.Duration
}

// Symptoms returns what was observed of the target.
func (h *Health) Symptoms(id target.ID, now clock.Time) Symptoms {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.primary {
		return Symptoms{}
	}
	s := Symptoms{Refusals: h.refusals}
	if h.failingSince != 0 {
		s.Unresponsive = now.Sub(h.failingSince)
	}
	if h.waiting > 0 {
		s.Unanswered = now.Sub(h.unansweredSince)
	}
	switch {
	case h.stalledSince == 0:
	case h.writes > 0:
		s.Stalled = now.Sub(h.stalledSince)
	default:
		s.Stalled = h.stalledUntil.Sub(h.stalledSince)
	}
	return s
}

// Reset discards all failures, as after this VM itself was suspended: requests that went unanswered
// then do not show a fault of the target.
func (h *Health) Reset(now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failingSince, h.refusals, h.unansweredSince = 0, 0, now
	switch {
	case h.writes == 0:
		h.stalledSince, h.stalledUntil = 0, 0
	case h.stalledSince != 0:
		h.stalledSince = now
	}
}
