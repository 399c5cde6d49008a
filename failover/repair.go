package failover

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// tickRepair tells servers that do not follow the primary to do so.
func (m *Machine) tickRepair() {
	if m.attempt != nil {
		return
	}
	m.watchStranded()
	m.followAll()
}

// mine reports whether repairs are this VM's business at once: it holds the
// lease, or made the promotion. Others step in Config.TakeoverDelay later, which
// covers a promoter that died half way. An order that two VMs give is harmless:
// it carries the term, and is refused when that is old.
func (m *Machine) mine() bool { return m.Leads() || m.group.Term == m.terms.used }

// myTurn reports whether this VM may act on what has been so since then.
func (m *Machine) myTurn(since clock.Time) bool {
	return m.mine() || m.now.Sub(since) >= m.takeover
}

// followAll orders every other server that needs it to follow the primary.
func (m *Machine) followAll() {
	addr := m.addr(m.group.Primary)
	if addr == "" {
		return
	}
	for _, srv := range m.group.Servers {
		s := m.servers[srv.ID]
		if srv.ID == m.group.Primary || !m.needsFollow(s) || m.now.Before(s.followAt) {
			continue
		}
		s.followAt = m.now.Add(m.cfg.OrderRetry)
		m.do(Follow{Server: srv.ID, Primary: m.group.Primary, Addr: addr, Term: m.group.Term})
	}
}

// needsFollow reports whether a server that answers is not a replica of the
// present term, or has long stood still behind its primary, and it is this VM's
// turn to order it.
func (m *Machine) needsFollow(s *serverState) bool {
	if !s.seen || m.silent(s) || s.status.Promised > m.group.Term {
		return false
	}
	if s.status.Term >= m.group.Term && s.status.Role == target.RoleReplica {
		s.astray = 0
		return m.stalled(s)
	}
	if s.astray == 0 {
		s.astray = m.now
	}
	return m.myTurn(s.astray)
}

// stalled reports whether a replica has not moved for long although its primary
// is ahead: it may follow nobody since a restart.
func (m *Machine) stalled(s *serverState) bool {
	p := m.servers[m.group.Primary]
	if p == nil || !p.seen || p.status.Term != m.group.Term || s.status.LSN >= p.status.LSN {
		s.behind = 0
		return false
	}
	if s.behind == 0 {
		s.behind = m.now
	}
	return m.now.Sub(s.behind) >= m.cfg.RepairAfter && m.myTurn(s.behind.Add(m.cfg.RepairAfter))
}

func (m *Machine) onFollowAnswered(ev FollowAnswered) {
	s := m.servers[ev.Server]
	if s == nil || ev.Term != m.group.Term {
		m.recordDiscarded(ev)
		return
	}
	if ev.Err != nil {
		s.cutOff = s.behind != 0
		return
	}
	s.cutOff = false
	step := StepFollowing
	s.followAt = m.now.Add(2 * m.cfg.Heartbeat)
	if s.behind != 0 {
		step = StepRepaired
		s.followAt = m.now.Add(repairPause * m.cfg.RepairAfter)
	}
	m.record(Entry{Step: step, Term: ev.Term, Server: ev.Server, Discarded: ev.Discarded})
}

// isIsolated reports whether a majority of the servers, all of them replicas,
// stand still behind the primary and say that they cannot reach it.
//
// The failure: the primary is cut off from its peers but not from the VMs. Its
// heartbeats are well, and yet no write can be confirmed any more, for as long
// as the cut lasts. A replica that is only slow follows when it is told to, and
// does not count. What the primary committed alone is discarded and listed; it
// was never confirmed.
func (m *Machine) isIsolated() bool {
	n := 0
	var began clock.Time
	for id, s := range m.servers {
		if id == m.group.Primary || !s.seen || m.silent(s) || s.behind == 0 || !s.cutOff {
			continue
		}
		n++
		began = max(began, s.behind)
	}
	return n >= m.majority() && m.myTurn(began.Add(m.cfg.RepairAfter))
}

// repairPause is how many times RepairAfter a replica that was told to follow
// again is left alone: it may just be slow.
const repairPause = 10

// recordDiscarded keeps what a late answer says for the auditor.
func (m *Machine) recordDiscarded(ev FollowAnswered) {
	if len(ev.Discarded) == 0 {
		return
	}
	m.record(Entry{Step: StepFollowing, Term: ev.Term, Server: ev.Server, Discarded: ev.Discarded})
}

// watchStranded notes since when live servers of the group have promised a term
// that has no primary, because its promoter died or lost a duel. Such a primary
// commits nothing, and such a replica replicates nothing.
func (m *Machine) watchStranded() {
	blocked, stranded := false, false
	for id, s := range m.servers {
		if s.seen && !m.silent(s) && s.status.Promised > m.group.Term {
			stranded = true
			blocked = blocked || id == m.group.Primary
		}
	}
	m.blocked = since(m.blocked, m.now, blocked)
	m.stranded = since(m.stranded, m.now, stranded)
}

// since returns when a condition began to hold, or 0 if it does not hold.
func since(began, now clock.Time, holds bool) clock.Time {
	switch {
	case !holds:
		return 0
	case began == 0:
		return now
	default:
		return began
	}
}

// isStranded reports whether it is time for this VM to end such a state by a
// promotion at a later term.
func (m *Machine) isStranded() bool {
	if m.blocked != 0 && m.now.Sub(m.blocked) >= m.cfg.BlockedAfter {
		return m.myTurn(m.blocked.Add(m.cfg.BlockedAfter))
	}
	return m.Leads() && m.stranded != 0 && m.now.Sub(m.stranded) >= m.cfg.RepairAfter
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
