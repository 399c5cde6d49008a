package failover

import (
	"maps"
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// serverState is this VM's own evidence of one server.
type serverState struct {
	probeAt     clock.Time // when the next probe is due
	good        clock.Time // when the newest answered probe was sent
	seen        bool       // an answer came since the observation began
	missed      int        // failed probes since the newest answer
	missedAsked clock.Time // when the newest failed probe was sent
	status      target.Status
	behind      clock.Time // since when it stands still behind its primary; 0 if it does not
	cutOff      bool       // it was told to follow since then, and could not reach its primary
	astray      clock.Time // since when it does not follow its primary; 0 if it does
	followAt    clock.Time // when Follow may be ordered again
}

// resetServers begins the observation of servers that are new in the group.
func (m *Machine) resetServers() {
	for _, s := range m.group.Servers {
		if m.servers[s.ID] == nil {
			m.servers[s.ID] = &serverState{good: m.now.Add(m.cfg.StartupGrace)}
		}
	}
	maps.DeleteFunc(m.servers, func(id target.ID, _ *serverState) bool { return m.group.Server(id) == nil })
}

// doubtAfterPause starts all observation anew when this process was paused.
//
// The failure: a VM that was stopped for seconds wakes, finds its newest
// answers seconds old and takes every server for dead, although it was itself
// that was silent. It would show as a promotion over a healthy primary. Ticks
// that stay out longer than half the time to suspect reveal the pause; the
// silence then counts from the wake-up.
func (m *Machine) doubtAfterPause() {
	if m.ticked == 0 || m.now.Sub(m.ticked) < m.cfg.SuspectAfter/2 {
		return
	}
	if m.cfg.Guards.Out(GuardPause) {
		return
	}
	for _, s := range m.servers {
		s.good = max(s.good, m.now)
		s.missed = 0
		s.missedAsked = m.now
		s.behind = 0
		s.cutOff = false
		s.astray = 0
	}
	clear(m.reports)
	m.agreed = 0
	m.blocked = 0
	m.stranded = 0
}

func (m *Machine) tickProbes() {
	for _, s := range m.group.Servers {
		st := m.servers[s.ID]
		if m.now.Before(st.probeAt) {
			continue
		}
		st.probeAt = m.now.Add(m.heartbeat())
		m.do(Probe{Server: s.ID, Asked: m.now})
	}
}

// heartbeat is the interval between probes. A planned change waits for a
// replica's position, so it looks more often.
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
	m.notePromise(ev.Status)
	// A late or repeated answer is no newer evidence than the one we have.
	if s.seen && !ev.Asked.After(s.good) {
		return
	}
	s.seen = true
	s.good = ev.Asked
	if ev.Asked.After(s.missedAsked) {
		s.missed = 0
	}
	m.noteStatus(s, ev.Status)
}

func (m *Machine) onProbeFailed(ev ProbeFailed) {
	s := m.servers[ev.Server]
	if s == nil || !ev.Asked.After(s.missedAsked) {
		return
	}
	s.missedAsked = ev.Asked
	if !s.seen || ev.Asked.After(s.good) {
		s.missed++
	}
}

func (m *Machine) noteStatus(s *serverState, st target.Status) {
	if st.Position() != s.status.Position() {
		s.behind = 0
		s.cutOff = false
	}
	s.status = st
}

// notePromise remembers the highest promise. One beyond what was known means
// that another VM is at work, which gives that VM time to finish.
func (m *Machine) notePromise(st target.Status) {
	if st.Promised <= m.promised {
		return
	}
	m.promised = st.Promised
	if st.Promised > m.group.Term && m.attempt == nil {
		m.agreed = 0
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
	m.notePromise(ev.Status)
}

// silent reports whether a server has not answered this VM for too long. An
// answer that comes after all is as old as its question, so a frozen server
// that accepts connections, or one that answers late, is silent as well.
func (m *Machine) silent(s *serverState) bool {
	if m.now.Sub(s.good) >= m.cfg.SuspectAfter {
		return true
	}
	return s.seen && s.missed >= m.cfg.MissedProbes
}

func (m *Machine) primarySilent() bool {
	s := m.servers[m.group.Primary]
	return s != nil && m.silent(s)
}

// reachesMajority reports whether enough servers answer for a promise of a
// majority. A VM that is cut off does not even begin.
func (m *Machine) reachesMajority() bool {
	n := 0
	for _, s := range m.servers {
		if s.seen && !m.silent(s) {
			n++
		}
	}
	return n >= m.majority()
}

// zonesAgree reports whether VMs of two availability zones, or of all zones if
// the fleet has but one, find the primary silent, and more zones do than do not.
//
// The failure: an availability zone is cut off, its VMs cannot reach a healthy
// primary in another zone and promote a second one. It would show as a gap in
// service without any server having failed. VMs of one zone share their fate,
// so one zone's word is never enough.
func (m *Machine) zonesAgree() bool {
	if m.cfg.Guards.Out(GuardZones) {
		return true
	}
	silent := map[string]bool{m.cfg.Zone: true}
	good := map[string]bool{}
	for _, r := range m.reports[m.group.Primary] {
		if !m.counts(r) {
			continue
		}
		if r.LastGood < m.agreeAge() {
			good[r.Zone] = true
			continue
		}
		silent[r.Zone] = true
	}
	for zone := range good {
		delete(silent, zone)
	}
	return len(silent) >= m.zonesNeeded() && len(silent) > len(good)
}

// agreeAge is the age of a peer's newest answer from which on the peer finds a
// server silent: as many heartbeats as this VM's own probes have to miss.
func (m *Machine) agreeAge() time.Duration {
	return min(m.cfg.SuspectAfter, time.Duration(m.cfg.MissedProbes)*m.cfg.Heartbeat)
}

// counts reports whether a report is recent and says something.
func (m *Machine) counts(r PeerReport) bool {
	return r.Seen && m.now.Sub(r.Asked) <= m.cfg.ReportTTL
}

// zonesNeeded is how many zones must agree.
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

// evidence lists what is known, in the order of servers and VMs.
func (m *Machine) evidence() []Evidence {
	var list []Evidence
	for _, srv := range m.group.Servers {
		if s := m.servers[srv.ID]; s != nil && s.seen {
			list = append(list, m.ownEvidence(srv.ID, s))
		}
		reports := m.reports[srv.ID]
		for _, vm := range slices.Sorted(maps.Keys(reports)) {
			if r := reports[vm]; m.counts(r) {
				list = append(list, m.peerEvidence(r))
			}
		}
	}
	return list
}

func (m *Machine) ownEvidence(id target.ID, s *serverState) Evidence {
	return Evidence{
		VM: m.cfg.VM, Zone: m.cfg.Zone, Server: id,
		Silent: m.silent(s), Age: m.now.Sub(s.good), Status: s.status,
	}
}

func (m *Machine) peerEvidence(r PeerReport) Evidence {
	return Evidence{
		VM: r.VM, Zone: r.Zone, Server: r.Server,
		Silent: r.LastGood >= m.agreeAge(), Age: r.LastGood, Status: r.Status,
	}
}
