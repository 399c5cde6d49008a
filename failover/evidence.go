package failover

import (
	"maps"
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// serverState is this VM's own evidence of one server.
type serverState struct {
	probeAt           clock.Time // when the next probe is due
	lastGood          clock.Time // when the newest answered probe was sent
	seen              bool       // the server has answered since the observation began
	missed            int        // failed probes since the newest answer
	lastMissed        clock.Time // when the newest failed probe was sent
	status            target.Status
	stalledSince      clock.Time    // since when it makes no progress behind its primary; 0 if it does
	followFailed      bool          // its last Follow since then failed: it could not reach its primary
	notFollowingSince clock.Time    // since when it does not follow its primary; 0 if it does
	followAt          clock.Time    // when Follow may be sent again
	followed          timeline.Term // newest term for which it confirmed a Follow
}

// resetServers begins the observation of servers that are new in the group and drops removed ones.
func (m *Machine) resetServers() {
	for _, s := range m.group.Servers {
		if m.servers[s.ID] == nil {
			m.servers[s.ID] = &serverState{lastGood: m.now.Add(m.cfg.StartupGrace)}
		}
	}
	maps.DeleteFunc(m.servers, func(id target.ID, _ *serverState) bool { return m.group.Server(id) == nil })
}

// resetAfterPause restarts all observation if this process was paused.
//
// Failure guarded against: a VM that was stopped for seconds resumes, finds that its newest answers
// are seconds old and considers every server dead, although only the VM itself was unresponsive.
// The VM would then promote a server while the primary is healthy. A gap between ticks of at least
// half of SuspectAfter indicates a pause; the time without an answer then counts from the
// resumption.
func (m *Machine) resetAfterPause() {
	if m.lastTick == 0 || m.now.Sub(m.lastTick) < m.cfg.SuspectAfter/2 {
		return
	}
	if m.cfg.Guards.Disabled(GuardPause) {
		return
	}
	for _, s := range m.servers {
		s.lastGood = max(s.lastGood, m.now)
		s.missed = 0
		s.lastMissed = m.now
		s.stalledSince = 0
		s.followFailed = false
		s.notFollowingSince = 0
	}
	clear(m.reports)
	m.agreedAt = 0
	m.primaryFencedSince = 0
	m.serverFencedSince = 0
}

func (m *Machine) tickProbes() {
	for _, s := range m.group.Servers {
		st := m.servers[s.ID]
		if m.now.Before(st.probeAt) {
			continue
		}
		st.probeAt = m.now.Add(m.heartbeat())
		m.emit(Probe{Server: s.ID, Asked: m.now})
	}
}

// heartbeat returns the interval between probes. It is shorter during a planned change, which waits
// for a replica's position.
func (m *Machine) heartbeat() time.Duration {
	if m.phase == PhaseHandover {
		return m.cfg.Tick
	}
	return m.cfg.Heartbeat
}

func (m *Machine) onProbeAnswered(ev ProbeAnswered) {
	s := m.servers[ev.Server]
	if s == nil {
		return
	}
	m.recordPromise(ev.Status)
	// A late or duplicate answer is no newer than the recorded evidence.
	if s.seen && !ev.Asked.After(s.lastGood) {
		return
	}
	s.seen = true
	s.lastGood = ev.Asked
	if ev.Asked.After(s.lastMissed) {
		s.missed = 0
	}
	m.recordStatus(s, ev.Status)
}

func (m *Machine) onProbeFailed(ev ProbeFailed) {
	s := m.servers[ev.Server]
	if s == nil || !ev.Asked.After(s.lastMissed) {
		return
	}
	s.lastMissed = ev.Asked
	if !s.seen || ev.Asked.After(s.lastGood) {
		s.missed++
	}
}

func (m *Machine) recordStatus(s *serverState, st target.Status) {
	if st.Position() != s.status.Position() {
		s.stalledSince = 0
		s.followFailed = false
	}
	s.status = st
}

// recordPromise records the highest promise. A promise above the highest known one means that
// another VM is attempting a promotion; resetting agreedAt gives that VM time to finish.
func (m *Machine) recordPromise(st target.Status) {
	if st.Promised <= m.promised {
		return
	}
	m.promised = st.Promised
	if st.Promised > m.group.Term && m.attempt == nil {
		m.agreedAt = 0
	}
}

func (m *Machine) onPeerReport(ev PeerReport) {
	if m.group.Server(ev.Server) == nil || ev.VM == m.cfg.VM {
		return
	}
	byVM := m.reports[ev.Server]
	if byVM == nil {
		byVM = make(map[string]PeerReport)
		m.reports[ev.Server] = byVM
	}
	if old, ok := byVM[ev.VM]; ok && !ev.Asked.After(old.Asked) {
		return
	}
	byVM[ev.VM] = ev
	m.recordPromise(ev.Status)
}

// unresponsive reports whether a server's newest answer is too old or too many of its probes have
// failed. A late answer is as old as its query, so a frozen server that accepts connections and a
// server that answers late are unresponsive too.
func (m *Machine) unresponsive(s *serverState) bool {
	if m.now.Sub(s.lastGood) >= m.cfg.SuspectAfter {
		return true
	}
	return s.seen && s.missed >= m.cfg.MissedProbes
}

func (m *Machine) primaryUnresponsive() bool {
	s := m.servers[m.group.Primary]
	return s != nil && m.unresponsive(s)
}

// reachesMajority reports whether enough servers answer for a majority to promise a term. A VM that
// is partitioned from the servers starts no attempt.
func (m *Machine) reachesMajority() bool {
	n := 0
	for _, s := range m.servers {
		if s.seen && !m.unresponsive(s) {
			n++
		}
	}
	return n >= m.majority()
}

// zonesAgree reports whether VMs of two availability zones (of one, if the fleet has only one) find
// the primary unresponsive, and whether more zones find it unresponsive than responsive.
//
// Failure guarded against: an availability zone is partitioned, its VMs cannot reach a healthy
// primary in another zone, and they promote a second one. Service is interrupted although no server
// has failed. VMs of one zone fail together, so reports from one zone are never sufficient.
func (m *Machine) zonesAgree() bool {
	if m.cfg.Guards.Disabled(GuardZones) {
		return true
	}
	unresponsive := map[string]bool{m.cfg.Zone: true}
	responsive := map[string]bool{}
	for _, r := range m.reports[m.group.Primary] {
		if !m.reportUsable(r) {
			continue
		}
		if r.LastGood < m.unresponsiveAge() {
			responsive[r.Zone] = true
			continue
		}
		unresponsive[r.Zone] = true
	}
	for zone := range responsive {
		delete(unresponsive, zone)
	}
	return len(unresponsive) >= m.zonesNeeded() && len(unresponsive) > len(responsive)
}

// unresponsiveAge returns the age of a peer's newest answer at which the peer counts as finding a
// server unresponsive: the MissedProbes heartbeats after which this VM's own probes find it so, but
// at most SuspectAfter.
func (m *Machine) unresponsiveAge() time.Duration {
	return min(m.cfg.SuspectAfter, time.Duration(m.cfg.MissedProbes)*m.cfg.Heartbeat)
}

// reportUsable reports whether a peer's report is recent and contains an observation.
func (m *Machine) reportUsable(r PeerReport) bool {
	return r.Seen && m.now.Sub(r.Asked) <= m.cfg.ReportTTL
}

// zonesNeeded returns the number of zones that must agree.
func (m *Machine) zonesNeeded() int {
	zones := map[string]bool{m.cfg.Zone: true}
	for _, z := range m.cfg.Zones {
		zones[z] = true
	}
	if len(m.cfg.Zones) == 0 {
		for _, s := range m.group.Servers {
			zones[s.Zone] = true
		}
	}
	return min(2, len(zones))
}

// evidence lists the known observations, ordered by server and VM.
func (m *Machine) evidence() []Evidence {
	var list []Evidence
	for _, srv := range m.group.Servers {
		if s := m.servers[srv.ID]; s != nil && s.seen {
			list = append(list, m.ownEvidence(srv.ID, s))
		}
		reports := m.reports[srv.ID]
		for _, vm := range slices.Sorted(maps.Keys(reports)) {
			if r := reports[vm]; m.reportUsable(r) {
				list = append(list, m.peerEvidence(r))
			}
		}
	}
	return list
}

func (m *Machine) ownEvidence(id target.ID, s *serverState) Evidence {
	return Evidence{
		VM: m.cfg.VM, Zone: m.cfg.Zone, Server: id,
		Silent: m.unresponsive(s), Age: m.now.Sub(s.lastGood), Status: s.status,
	}
}

func (m *Machine) peerEvidence(r PeerReport) Evidence {
	return Evidence{
		VM: r.VM, Zone: r.Zone, Server: r.Server,
		Silent: r.LastGood >= m.unresponsiveAge(), Age: r.LastGood, Status: r.Status,
	}
}
