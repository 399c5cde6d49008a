package failover

import (
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// tickRepair commands servers that do not follow the primary to do so.
func (m *Machine) tickRepair() {
	if m.attempt != nil {
		return
	}
	m.trackFencedServers()
	m.followAll()
}

// actsImmediately reports whether this VM may make repairs without delay, because it holds the
// lease or made the promotion. Other VMs act Config.TakeoverDelay later, which covers a promoter
// that died before it finished. Two VMs may send the same command without harm: the command carries
// the term, and a server refuses an outdated one.
func (m *Machine) actsImmediately() bool { return m.HoldsLease() || m.group.Term == m.terms.used }

// mayAct reports whether this VM may act now on a condition that has held since the given time.
func (m *Machine) mayAct(since clock.Time) bool {
	return m.actsImmediately() || m.now.Sub(since) >= m.takeoverDelay
}

// followAll sends Follow to every other server that needs it.
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
		s.followAt = m.now.Add(m.cfg.CommandRetry)
		m.emit(Follow{Server: srv.ID, Primary: m.group.Primary, Addr: addr, Term: m.group.Term})
	}
}

// needsFollow reports whether a server that answers is not a replica of the current term, or has
// made no progress behind its primary for RepairAfter, and this VM may send it a Follow.
func (m *Machine) needsFollow(s *serverState) bool {
	if !s.seen || m.unresponsive(s) || s.status.Promised > m.group.Term {
		return false
	}
	if s.status.Term >= m.group.Term && s.status.Role == target.RoleReplica {
		s.notFollowingSince = 0
		return m.stalled(s)
	}
	if s.notFollowingSince == 0 {
		s.notFollowingSince = m.now
	}
	return m.mayAct(s.notFollowingSince)
}

// stalled reports whether a replica has made no progress for RepairAfter although its primary is
// ahead, for example because it has not followed any server since a restart.
func (m *Machine) stalled(s *serverState) bool {
	p := m.servers[m.group.Primary]
	if p == nil || !p.seen || p.status.Term != m.group.Term || s.status.LSN >= p.status.LSN {
		s.stalledSince = 0
		return false
	}
	if s.stalledSince == 0 {
		s.stalledSince = m.now
	}
	return m.now.Sub(s.stalledSince) >= m.cfg.RepairAfter && m.mayAct(s.stalledSince.Add(m.cfg.RepairAfter))
}

func (m *Machine) onFollowAnswered(ev FollowAnswered) {
	s := m.servers[ev.Server]
	if s == nil || ev.Term != m.group.Term {
		m.recordDiscarded(ev)
		return
	}
	if ev.Err != nil {
		s.followFailed = s.notReplicatingSince() != 0
		return
	}
	s.followFailed = false
	s.followAt = m.now.Add(m.cfg.RepairAfter)
	step := StepFollowing
	if s.stalledSince != 0 {
		step = StepRepaired
		s.followAt = m.now.Add(repairBackoffFactor * m.cfg.RepairAfter)
	}
	// A replica that is far behind is commanded repeatedly; the audit trail records it once.
	if repeated := s.followed == ev.Term; repeated && step == StepFollowing && len(ev.Discarded) == 0 {
		return
	}
	s.followed = ev.Term
	m.record(Entry{Step: step, Term: ev.Term, Server: ev.Server, Discarded: ev.Discarded})
}

// notReplicatingSince returns since when a server has not replicated from its primary, because it
// makes no progress behind the primary or is not yet in the primary's term. It returns 0 if it
// replicates.
func (s *serverState) notReplicatingSince() clock.Time {
	return max(s.stalledSince, s.notFollowingSince)
}

// isIsolated reports whether replicas that form a majority of the servers make no progress behind
// the primary and report that they cannot reach it.
//
// Failure guarded against: the primary is partitioned from its replicas but not from the VMs. It
// answers probes, yet no write can be confirmed while the partition lasts. A replica that is merely
// slow succeeds with Follow and does not count. Writes that only the primary committed are
// discarded and listed; they were never confirmed.
func (m *Machine) isIsolated() bool {
	n := 0
	var began clock.Time
	for id, s := range m.servers {
		if id == m.group.Primary || !s.seen || m.unresponsive(s) || s.notReplicatingSince() == 0 || !s.followFailed {
			continue
		}
		n++
		began = max(began, s.notReplicatingSince())
	}
	due := began.Add(m.cfg.RepairAfter)
	return n >= m.majority() && !m.now.Before(due) && m.mayAct(due)
}

// repairBackoffFactor is the number of RepairAfter periods for which a replica that was commanded
// to follow again is in backoff, because it may just be slow.
const repairBackoffFactor = 10

// recordDiscarded records, for the auditor, the discarded entries that a late answer lists.
func (m *Machine) recordDiscarded(ev FollowAnswered) {
	if len(ev.Discarded) == 0 {
		return
	}
	m.record(Entry{Step: StepFollowing, Term: ev.Term, Server: ev.Server, Discarded: ev.Discarded})
}

// trackFencedServers records since when live servers of the group have promised a term that has no
// primary, because its promoter died or was superseded by a concurrent promotion attempt. A primary
// in this state commits nothing, and a replica replicates nothing.
func (m *Machine) trackFencedServers() {
	primaryFenced, serverFenced := false, false
	for id, s := range m.servers {
		if s.seen && !m.unresponsive(s) && s.status.Promised > m.group.Term {
			serverFenced = true
			primaryFenced = primaryFenced || id == m.group.Primary
		}
	}
	m.primaryFencedSince = holdsSince(m.primaryFencedSince, m.now, primaryFenced)
	m.serverFencedSince = holdsSince(m.serverFencedSince, m.now, serverFenced)
}

// holdsSince returns when a condition began to hold, or 0 if it does not hold.
func holdsSince(began, now clock.Time, holds bool) clock.Time {
	switch {
	case !holds:
		return 0
	case began == 0:
		return now
	default:
		return began
	}
}

// fencedWithoutPrimary reports whether servers have been fenced at a term without a primary for so
// long that this VM is to promote a server at a later term.
func (m *Machine) fencedWithoutPrimary() bool {
	if m.primaryFencedSince != 0 && m.now.Sub(m.primaryFencedSince) >= m.cfg.BlockedAfter {
		return m.mayAct(m.primaryFencedSince.Add(m.cfg.BlockedAfter))
	}
	return m.HoldsLease() && m.serverFencedSince != 0 && m.now.Sub(m.serverFencedSince) >= m.cfg.RepairAfter
}

// adoptUnannounced adopts a promotion whose promoter died before it announced it. A server that
// reports itself as the primary of a later term is sufficient proof: the one VM that owns the term
// commanded it to be promoted after a majority had promised the term.
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
	m.emit(Announce{Group: copyGroup(m.group)})
	m.publish()
}
