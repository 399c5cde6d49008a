package failover

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// eligibleCount returns the number of servers that promised the term and may be promoted. An
// excluded primary does not count toward the majority either: every write that it confirmed is on
// another server, and that server must be among the fenced ones.
func (m *Machine) eligibleCount() int {
	a := m.attempt
	n := len(a.fenced)
	if _, ok := a.fenced[a.excluded]; ok {
		n--
	}
	return n
}

// replicaReady reports whether a planned change has the promise of a replica that can replace the
// primary. Without this check, the first replica to answer may be behind, and the old primary would
// have to be promoted again.
func (m *Machine) replicaReady() bool {
	a := m.attempt
	end, fenced := a.fenced[a.oldPrimary]
	if !a.planned || !fenced || m.now.Sub(a.started) >= m.cfg.HandoverTimeout {
		return true
	}
	for id, st := range a.fenced {
		if id != a.oldPrimary && !rank(st, m.group.History).Less(rank(end, m.group.History)) {
			return true
		}
	}
	return false
}

// chooseCandidate returns the fenced server with the highest position. Among equal positions it
// prefers the first server in the group's order that was not the primary.
func (m *Machine) chooseCandidate() target.ID {
	a := m.attempt
	var best target.ID
	for _, s := range m.group.Servers {
		st, ok := a.fenced[s.ID]
		if !ok || s.ID == a.excluded {
			continue
		}
		if best == "" || m.better(st, a.fenced[best], best) {
			best = s.ID
		}
	}
	return best
}

// better reports whether a server with the status st is a better candidate than best.
func (m *Machine) better(st, bestStatus target.Status, best target.ID) bool {
	p := rank(st, m.group.History)
	q := rank(bestStatus, m.group.History)
	if m.cfg.Guards.Disabled(GuardHighest) {
		return p.Less(q)
	}
	if p != q {
		return q.Less(p)
	}
	return best == m.attempt.oldPrimary
}

// rank returns the position by which servers are compared for promotion. A follower that has not
// reached the start of the term it follows contains only entries of earlier terms, so it is ranked
// by the term of its last entry.
func rank(st target.Status, h timeline.History) timeline.Position {
	p := st.Position()
	if p.LSN >= st.Start {
		return p
	}
	p.Term = lastEntryTerm(h, st)
	return p
}

// lastEntryTerm returns the term of the last entry of a log that ends before the start of the term
// it follows.
func lastEntryTerm(h timeline.History, st target.Status) timeline.Term {
	var term timeline.Term
	for _, s := range h {
		if s.Term < st.Term && s.LSN <= st.LSN {
			term = max(term, s.Term)
		}
	}
	return term
}

// termStart returns the position at which a new term begins in the history against which positions
// are compared. prior is the promoted server's status before its promotion. If the server's last
// entry is on an older branch than the newest known one, only the entries before the branches
// diverge are known to be common. The history then covers less than the server contains, and a
// write beyond that point is reported as outcome unknown, never as done.
func termStart(prior target.Status, start timeline.LSN, h timeline.History) timeline.LSN {
	branch := rank(prior, h).Term
	for _, s := range h {
		if s.Term > branch {
			start = min(start, s.LSN)
		}
	}
	return start
}
