package groups

import (
	"sync"

	"endivemoor.example/endivemoor/timeline"
)

// Acknowledged is a position that the log of every later primary must hold,
// because a commit at or beyond it was acknowledged to a consumer. It is safe
// for concurrent use.
//
// Failure guarded against: a promotion among targets none of which received
// what was acknowledged. Two of three logs hold every acknowledged commit, but a
// leaving replica counts for the primary and takes its log with it, and its
// successor may have received nothing. It shows as a run of confirmed purchases
// that are gone after a planned replacement of servers.
//
// The wire does not tell a commit's own position, only the end of the log after
// it, which may lie beyond what is acknowledged. A commit lies beyond every
// position that was known before it was sent, so the position after that one is
// a lower bound: every target that holds all that was acknowledged has reached
// it, and no right candidate is ever refused.
type Acknowledged struct {
	mu    sync.Mutex
	known timeline.Position // the furthest position that the primary has told
	bound timeline.Position
}

// Told records a position in an answer of the primary.
func (a *Acknowledged) Told(p timeline.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = timeline.Later(a.known, p)
}

// Before returns what a commit that is sent now will lie beyond.
func (a *Acknowledged) Before() timeline.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known
}

// Commit records that a commit was acknowledged, with what Before returned when
// it was sent and the position in its answer.
func (a *Acknowledged) Commit(before, after timeline.Position) {
	if before.Term != after.Term || !before.Less(after) {
		return
	}
	a.Raise(timeline.Position{Term: before.Term, LSN: before.LSN + 1})
}

// Raise takes over another VM's bound.
func (a *Acknowledged) Raise(p timeline.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bound = timeline.Later(a.bound, p)
}

// Bound is the position that a new primary must hold; zero if none is known.
func (a *Acknowledged) Bound() timeline.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bound
}
