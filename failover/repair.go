package failover

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// tickRepair tells servers that do not follow the primary to do so. Only the
// lease holder, or the VM that promoted, repairs.
func (m *Machine) tickRepair() {
	if m.attempt != nil || !(m.Leads() || m.group.Term == m.terms.used) {
		return
	}
	m.watchStranded()
	m.followAll()
}

// followAll orders every other server that needs it to follow the primary.
func (m *Machine) followAll() {
	if m.addr(m.group.Primary) == "" {
		return
	}
	for _, srv := range m.group.Servers {
		s := m.servers[srv.ID]
		if srv.ID == m.group.Primary || m.now.Before(s.followAt) || !m.needsFollow(s) {
			continue
		}
		s.followAt = m.now.Add(m.cfg.OrderRetry)
		m.do(Follow{Server: srv.ID, Primary: m.group.Primary, Addr: m.addr(m.group.Primary), Term: m.group.Term})
	}
}

// needsFollow reports whether a server that answers is not a replica of the
// present term, or stands still behind its primary.
func (m *Machine) needsFollow(s *serverState) bool {
	if !s.seen || m.silent(s) || s.status.Promised > m.group.Term {
		return false
	}
	if s.status.Term < m.group.Term || s.status.Role != target.RoleReplica {
		return true
	}
	return m.stalled(s)
}

func (m *Machine) stalled(s *serverState) bool {
	p := m.servers[m.group.Primary]
	if p == nil || !p.seen || p.status.Term != m.group.Term {
		return false
	}
	return s.status.LSN < p.status.LSN && m.now.Sub(s.moved) >= m.cfg.RepairAfter
}

func (m *Machine) onFollowAnswered(ev FollowAnswered) {
	s := m.servers[ev.Server]
	if s == nil || ev.Term != m.group.Term {
		m.recordDiscarded(ev)
		return
	}
	if ev.Err != nil {
		return
	}
	s.moved = m.now
	s.followAt = m.now.Add(2 * m.cfg.Heartbeat)
	step := StepFollowing
	if s.status.Term == ev.Term {
		step = StepRepaired
	}
	m.record(Entry{Step: step, Term: ev.Term, Server: ev.Server, Discarded: ev.Discarded})
}

// recordDiscarded keeps what a late answer says for the auditor.
func (m *Machine) recordDiscarded(ev FollowAnswered) {
	if len(ev.Discarded) == 0 {
		return
	}
	m.record(Entry{Step: StepFollowing, Term: ev.Term, Server: ev.Server, Discarded: ev.Discarded})
}

// watchStranded notes since when a live server of the group has promised a term
// that has no primary, because its promoter died or lost a duel. Such a primary
// commits nothing, and such a replica replicates nothing.
func (m *Machine) watchStranded() {
	for _, s := range m.servers {
		if s.seen && !m.silent(s) && s.status.Promised > m.group.Term {
			if m.stranded == 0 {
				m.stranded = m.now
			}
			return
		}
	}
	m.stranded = 0
}

func (m *Machine) isStranded() bool {
	return m.stranded != 0 && m.now.Sub(m.stranded) >= m.cfg.RepairAfter
}

// adoptUnannounced takes over a promotion whose promoter died before it could
// tell anybody. A primary's own word for a later term is proof: it was ordered
// by the one VM that owns the term, after a majority's promise.
func (m *Machine) adoptUnannounced() {
	for _, srv := range m.group.Servers {
		s := m.servers[srv.ID]
		if !s.seen || s.status.Role != target.RolePrimary || s.status.Term <= m.group.Term {
			continue
		}
		if s.status.Promised > s.status.Term {
			continue
		}
		m.adopt(srv.ID, s.status)
	}
}

func (m *Machine) adopt(id target.ID, st target.Status) {
	m.setPrimary(id, st.Term, st.Start)
	m.record(Entry{Step: StepAdopted, Term: st.Term, Server: id})
	m.onNewTerm()
	m.do(Announce{Group: copyGroup(m.group)})
	m.publish()
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
