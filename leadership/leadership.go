// Package leadership decides which target of a service is considered its primary. A target's role
// is a claim: a superseded primary that is cut off still makes it. Claims are compared by the term
// in which their target leads, which the target reports in its status. A claim whose term is not
// known yet counts only if there is no other claim, or if the fleet's newest promotion was of its
// target. Begin with Tracker.
//
// A wrong state costs a refused request, never a wrong answer: writes need a replica's receipt, and
// reads are proven by package freshness.
//
// The package makes no calls; its caller supplies all observations.
package leadership

import (
	"sync"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

type claim struct {
	// listed is the role in the target's own entry in the store, as last received.
	listed target.Role
	role   target.Role
	term   timeline.Term
}

// Tracker holds one service's claims. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	claims   map[target.ID]*claim
	promoted target.ID
	highest  timeline.Term
	// led is the latest term in which each target has reported that it leads.
	led map[target.ID]timeline.Term
}

// NewTracker returns a Tracker without claims.
func NewTracker() *Tracker {
	return &Tracker{claims: make(map[target.ID]*claim), led: make(map[target.ID]timeline.Term)}
}

// State is the leader that the Tracker derives from the claims.
type State struct {
	// Primary is empty if no target claims to lead.
	Primary target.ID
	// Term is the primary's term, or 0 if it has not reported one.
	Term timeline.Term
	// Contested is set if two or more targets claim to lead.
	Contested bool
}

// Listed records the entries of the service's targets and its leadership record. A role in an entry
// counts when it changes; until then the target's own status is more recent.
func (b *Tracker) Listed(targets []*catalog.Target, record *catalog.LeadershipRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if record != nil {
		b.promoted = record.Primary
	}
	present := make(map[target.ID]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		b.list(t)
	}
	for id := range b.claims {
		if !present[id] {
			delete(b.claims, id)
			delete(b.led, id)
		}
	}
}

func (b *Tracker) list(t *catalog.Target) {
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

// RecordRestart discards what a target reported before it restarted: it does not lead any more, and
// the role in its entry counts again.
func (b *Tracker) RecordRestart(id target.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.claims, id)
	delete(b.led, id)
}

// recordLed records the term of a report in which a target leads.
func (b *Tracker) recordLed(id target.ID, role target.Role, term timeline.Term) {
	if role == target.RolePrimary {
		b.led[id] = max(b.led[id], term)
	}
}

// LastLed returns the latest term in which a target has reported that it leads; 0 if there is none.
func (b *Tracker) LastLed(id target.ID) timeline.Term {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.led[id]
}

// RecordStatus records a target's own status.
func (b *Tracker) RecordStatus(id target.ID, role target.Role, term timeline.Term) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.highest = max(b.highest, term)
	c := b.claims[id]
	if c == nil {
		return
	}
	b.recordLed(id, role, term)
	c.role = role
	c.term = term
}

// RecordCachedStatus records a status that a target reported some time ago, to whichever VM. It
// supplies the term of a claim that the target's entry makes, or a claim of a later term than the
// target's known one.
//
// Failure guarded against: a status from before a target was promoted, or restarted with an empty
// log, arrives after its entry has shown the change. Treated as current it would remove the claim
// of a new primary, or restore that of a former one, and requests would wait until the next status
// query.
func (b *Tracker) RecordCachedStatus(id target.ID, role target.Role, term timeline.Term) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.highest = max(b.highest, term)
	c := b.claims[id]
	if c != nil {
		b.recordLed(id, role, term)
	}
	if c == nil || term <= c.term || (c.term == 0 && c.role != role) {
		return
	}
	c.role, c.term = role, term
}

// Refused records that a target has replied that it does not lead.
func (b *Tracker) Refused(id target.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.claims[id]; c != nil {
		c.role = target.RoleReplica
	}
}

// Highest returns the latest term that any target has reported.
func (b *Tracker) Highest() timeline.Term {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.highest
}

// Current returns the present state.
func (b *Tracker) Current() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best State
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

func (b *Tracker) better(id target.ID, term timeline.Term, than State) bool {
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
