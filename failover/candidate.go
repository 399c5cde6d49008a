package failover

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// eligible counts the servers that promised and may be promoted. An excluded
// primary does not count towards the majority either: what it confirmed is on
// another server, and that one must be among those who are asked.
func (m *Machine) eligible() int {
	a := m.attempt
	n := len(a.fenced)
	if _, ok := a.fenced[a.exclude]; ok {
		n--
	}
	return n
}

// replicaReady reports whether a planned change has the promise of a replica
// that can relieve the primary. Without it the first replica to answer could
// be one that is behind, and the primary would have to relieve itself.
func (m *Machine) replicaReady() bool {
	a := m.attempt
	end, fenced := a.fenced[a.old]
	if !a.planned || !fenced || m.now.Sub(a.started) >= m.cfg.HandoverTimeout {
		return true
	}
	for id, st := range a.fenced {
		if id != a.old && !rank(st, m.group.History).Less(rank(end, m.group.History)) {
			return true
		}
	}
	return false
}

// choose returns the fenced server with the highest position; of equals, the
// first in the group's order that was not the primary.
func (m *Machine) choose() target.ID {
	a := m.attempt
	var best target.ID
	for _, s := range m.group.Servers {
		st, ok := a.fenced[s.ID]
		if !ok || s.ID == a.exclude {
			continue
		}
		if best == "" || m.better(st, a.fenced[best], best) {
			best = s.ID
		}
	}
	return best
}

// better reports whether a server at st is a better candidate than best.
func (m *Machine) better(st, bestStatus target.Status, best target.ID) bool {
	p := rank(st, m.group.History)
	q := rank(bestStatus, m.group.History)
	if m.cfg.Guards.Out(GuardHighest) {
		return p.Less(q)
	}
	if p != q {
		return q.Less(p)
	}
	return best == m.attempt.old
}

// rank is the position by which servers are compared for promotion. A follower
// that has not reached the start of its term holds entries of an earlier term
// only, whatever term it follows, and is ranked by the term of its last entry.
func rank(st target.Status, h timeline.History) timeline.Position {
	p := st.Position()
	if p.LSN >= st.Start {
		return p
	}
	p.Term = termOf(h, st)
	return p
}

// termOf finds the term of the entry at the end of a log that is shorter than
// the start of the term it follows.
func termOf(h timeline.History, st target.Status) timeline.Term {
	var term timeline.Term
	for _, s := range h {
		if s.Term < st.Term && s.LSN <= st.LSN {
			term = max(term, s.Term)
		}
	}
	return term
}

// startOf returns where a new term begins in the history that positions are
// compared by. prior is the promoted server's status before its promotion. If
// its last entry is of an older branch than the newest known, all that is known
// to be common is what lies before the branches parted, and so the history says
// less than the server holds: a write beyond is reported as unknown, never as
// done.
func startOf(prior target.Status, start timeline.LSN, h timeline.History) timeline.LSN {
	branch := rank(prior, h).Term
	for _, s := range h {
		if s.Term > branch {
			start = min(start, s.LSN)
		}
	}
	return start
}
