// Package timeline orders positions in a group's replicated log across changes of primary. Begin
// with Position and History.
//
// A group's log is a sequence of terms. Term N is written by one primary only, and starts at the
// position that the promoted server held. Positions beyond the start of a later term were discarded
// by that promotion: they belong to a branch that no server retains. Positions of different terms
// therefore compare only through the group's History.
package timeline

import "slices"

// Term numbers the primaries of one group. Each promotion uses a new, higher
// term; zero means "not known".
type Term uint64

// LSN is a log sequence number: a byte or entry offset in the group's log.
type LSN uint64

// Position is a place in the group's log, as written or applied in a term.
type Position struct {
	Term Term `json:"term"`
	LSN  LSN  `json:"lsn"`
}

// IsZero reports whether p is the position before any write.
func (p Position) IsZero() bool { return p == Position{} }

// Less orders positions as a promotion does when it chooses a candidate: the later term comes
// after, then the longer log.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.LSN < q.LSN
}

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// Start is the position at which a term's log begins.
type Start struct {
	Term Term `json:"term"`
	LSN  LSN  `json:"lsn"`
}

// History lists the starts of a group's terms in ascending order. It is
// immutable once published: Append returns a copy.
type History []Start

// Append returns h with the start of a new term. A term not above the last one
// leaves h unchanged.
func (h History) Append(s Start) History {
	if n := len(h); n > 0 && h[n-1].Term >= s.Term {
		return h
	}
	return append(slices.Clone(h), s)
}

// Last returns the newest start, or a zero Start.
func (h History) Last() Start {
	if len(h) == 0 {
		return Start{}
	}
	return h[len(h)-1]
}

// Retained returns the part of p that is retained by every later term in h: the branch beyond the
// start of a later term was discarded. The result has p's term.
func (h History) Retained(p Position) Position {
	for _, s := range h {
		if s.Term > p.Term && s.LSN < p.LSN {
			p.LSN = s.LSN
		}
	}
	return p
}

// WasDiscarded reports whether a write at p was discarded by a later promotion.
func (h History) WasDiscarded(p Position) bool { return h.Retained(p) != p }

// Covers reports whether a server at position have holds everything of want that is retained. Both
// are cut back to the latest branch before they are compared, so a superseded primary never
// qualifies by the length of its log. A want of a term that is not in h is covered only by a server
// of at least that term, since an outdated history does not show which positions were discarded.
func (h History) Covers(have, want Position) bool {
	if want.IsZero() {
		return true
	}
	if want.Term > have.Term && !h.hasTerm(want.Term) {
		return false
	}
	return h.Retained(have).LSN >= h.Retained(want).LSN
}

func (h History) hasTerm(term Term) bool {
	return slices.ContainsFunc(h, func(s Start) bool { return s.Term == term })
}
