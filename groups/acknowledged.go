package groups

import (
	"slices"
	"sync"

	"endivemoor.example/endivemoor/timeline"
)

// Acknowledged is a position that the log of every later primary must hold, because a commit at or
// beyond it was acknowledged to a consumer. It is safe for concurrent use.
//
// Failure guarded against: a promotion among targets none of which has received an acknowledged
// commit. Two of three logs hold every acknowledged commit, but a draining replica whose receipt
// counted for a commit takes its log with it, and its successor may have received nothing.
// Confirmed purchases are then missing after a planned replacement of servers.
//
// The protocol does not report a commit's own position, only the end of the log after it, which may
// lie beyond what is acknowledged. A commit lies beyond every position that was known before it was
// sent, so the position after that one is a lower bound: every target that holds all acknowledged
// commits has reached it, and no valid candidate is refused. Commits that run at once are known to lie
// beyond the same position: n of them prove n positions beyond it.
type Acknowledged struct {
	mu    sync.Mutex
	known timeline.Position // the furthest position that the primary has reported
	bound timeline.Position

	// term is the latest term with an acknowledged commit, and beyond has for each of its latest commits
	// the number that it lies beyond, in ascending order.
	term   timeline.Term
	beyond []timeline.LSN
}

// maxCounted bounds the commits that are counted together: more than run at once at a primary.
const maxCounted = 64

// RecordPosition records a position from a reply of the primary.
func (a *Acknowledged) RecordPosition(p timeline.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = timeline.Later(a.known, p)
}

// Before returns a position that a commit sent now will lie beyond.
func (a *Acknowledged) Before() timeline.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known
}

// beforeIn is Before for a commit that is sent to the primary of a term.
//
// Failure guarded against: no position of a new term is known yet, and its first commits do not raise the
// bound. Their only other holder leaves with its log, and a target without them is promoted.
//
// The new primary holds the bound, so that its own commits lie beyond it. A position that was known in
// an earlier term may belong to a branch of the log that the promotion has discarded.
func (a *Acknowledged) beforeIn(term timeline.Term) timeline.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known.Term >= term {
		return a.known
	}
	return timeline.Position{Term: term, LSN: a.bound.LSN}
}

// Commit records that a commit was acknowledged, with what Before returned when it was sent and the
// position in its reply.
//
// Failure guarded against: of commits that run at once only the first raises the bound. The only other
// holder of the others leaves with its log, and a target without them is promoted.
func (a *Acknowledged) Commit(before, after timeline.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if before.Term != after.Term || !before.Less(after) || before.Term < a.term {
		return
	}
	if before.Term > a.term {
		a.term, a.beyond = before.Term, a.beyond[:0]
	}
	at, _ := slices.BinarySearch(a.beyond, before.LSN)
	a.beyond = slices.Insert(a.beyond, at, before.LSN)
	if len(a.beyond) > maxCounted {
		a.beyond = slices.Delete(a.beyond, 0, 1)
	}
	for i, lsn := range a.beyond {
		commits := timeline.LSN(len(a.beyond) - i)
		a.bound = timeline.Later(a.bound, timeline.Position{Term: a.term, LSN: lsn + commits})
	}
}

// Raise merges another VM's bound.
func (a *Acknowledged) Raise(p timeline.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bound = timeline.Later(a.bound, p)
}

// Bound returns the position that a new primary must hold; zero if none is known.
func (a *Acknowledged) Bound() timeline.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bound
}
