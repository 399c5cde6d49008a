// Package leadership decides which target of a service is taken for its
// primary. A target's role is a claim: a superseded primary that is cut off
// still makes it. Claims are compared by the term in which their target leads,
// which it tells in its status; a claim whose term is not known yet counts only
// while no other claim stands, or if the fleet itself promoted its target last.
//
// A wrong belief costs a refused request, never a wrong answer: writes need a
// replica's receipt, and reads are proven by package freshness.
//
// The package is pure.
package leadership

import (
	"sync"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

type claim struct {
	// listed is the role in the target's own entry, as last seen.
	listed target.Role
	role   target.Role
	term   timeline.Term
}

// Board keeps one service's claims. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	claims   map[target.ID]*claim
	promoted target.ID
	highest  timeline.Term
}

// NewBoard returns a Board without claims.
func NewBoard() *Board { return &Board{claims: make(map[target.ID]*claim)} }

// Belief is what the Board holds to be true.
type Belief struct {
	// Primary is empty if no target claims to lead.
	Primary target.ID
	// Term is the primary's, or 0 if it has not told.
	Term timeline.Term
	// Contested is set if two targets claim to lead.
	Contested bool
}

// Listed takes over the entries of the service's targets and the fleet's own
// record of the last promotion. A role counts when the entry changes; until
// then what the target said itself is newer.
func (b *Board) Listed(targets []*catalog.Target, reign *catalog.LeadershipRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reign != nil {
		b.promoted = reign.Primary
	}
	present := make(map[target.ID]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		b.list(t)
	}
	for id := range b.claims {
		if !present[id] {
			delete(b.claims, id)
		}
	}
}

func (b *Board) list(t *catalog.Target) {
	c := b.claims[t.ID]
	if c == nil {
		c = &claim{}
		b.claims[t.ID] = c
	}
	if c.listed == t.Role {
		return
	}
	c.listed = t.Role
	if c.role != t.Role {
		c.role, c.term = t.Role, 0
	}
}

// Reborn forgets what a target said before it started again: it leads no more, and
// what its entry says counts anew.
func (b *Board) Reborn(id target.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.claims, id)
}

// Told takes over a target's own status.
func (b *Board) Told(id target.ID, role target.Role, term timeline.Term) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.highest = max(b.highest, term)
	c := b.claims[id]
	if c == nil {
		return
	}
	c.role = role
	c.term = term
}

// Heard takes over what a target said some time ago, to whichever VM. It tells the
// term of a claim that its entry makes, or of a later one than the target is known by.
//
// Failure guarded against: words of a moment before a target was promoted, or started
// again with nothing, come after its entry has told of it. Taken for news they would
// take the claim from a new primary, or give one that is gone its claim back, and
// requests wait until somebody asks again.
func (b *Board) Heard(id target.ID, role target.Role, term timeline.Term) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.highest = max(b.highest, term)
	c := b.claims[id]
	if c == nil || term <= c.term || (c.term == 0 && c.role != role) {
		return
	}
	c.role, c.term = role, term
}

// Refused records that a target answered that it does not lead.
func (b *Board) Refused(id target.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.claims[id]; c != nil {
		c.role = target.RoleReplica
	}
}

// Highest is the latest term that any target told of.
func (b *Board) Highest() timeline.Term {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.highest
}

// Believed returns the present belief.
func (b *Board) Believed() Belief {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Belief
	claims := 0
	for id, c := range b.claims {
		if c.role != target.RolePrimary {
			continue
		}
		claims++
		if best.Primary == "" || b.better(id, c.term, best) {
			best.Primary, best.Term = id, c.term
		}
	}
	best.Contested = claims > 1
	return best
}

func (b *Board) better(id target.ID, term timeline.Term, than Belief) bool {
	if term != 0 && than.Term != 0 && term != than.Term {
		return term > than.Term
	}
	if (id == b.promoted) != (than.Primary == b.promoted) {
		return id == b.promoted
	}
	if term != than.Term {
		return term > than.Term
	}
	return id < than.Primary
}
