package failover

import (
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// attempt is one promotion attempt, in one term.
type attempt struct {
	term       timeline.Term
	started    clock.Time
	oldPrimary target.ID // primary when the attempt started
	planned    bool      // planned change of primary: the old primary is fenced first
	excluded   target.ID // server that must not be promoted; empty if none
	fenced     map[target.ID]target.Status
	commandAt  map[target.ID]clock.Time // when an unanswered command is repeated

	candidate  target.ID  // empty until a majority has promised the term
	promisedAt clock.Time // when a majority had promised the term; 0 before
	chosenAt   clock.Time
}

// startAttempt starts a promotion attempt and marks the term as used.
func (m *Machine) startAttempt(term timeline.Term, reason string) {
	m.terms.used = term
	m.attempt = &attempt{
		term:       term,
		started:    m.now,
		oldPrimary: m.group.Primary,
		planned:    m.handoverFrom != "" && !m.primaryUnresponsive(),
		fenced:     make(map[target.ID]target.Status),
		commandAt:  make(map[target.ID]clock.Time),
	}
	if reason == reasonIsolated {
		m.attempt.excluded = m.group.Primary
	}
	m.phase = PhaseFencing
	m.record(Entry{Step: StepStarted, Term: term, Server: m.group.Primary, Reason: reason})
	if m.attempt.planned {
		m.phase = PhaseHandover
		m.record(Entry{Step: StepHandover, Term: term, Server: m.group.Primary})
	}
	m.sendCommands()
}

// tickAttempt repeats commands whose answers are overdue and ends an attempt that has timed out.
func (m *Machine) tickAttempt() {
	a := m.attempt
	if a == nil {
		return
	}
	if m.phase == PhasePromoting && m.now.Sub(a.chosenAt) >= m.cfg.CandidateTimeout {
		m.giveUpCandidate()
		return
	}
	if m.phase == PhaseFencing && len(a.fenced) == 0 && m.now.Sub(a.started) >= m.cfg.FenceTimeout {
		m.giveUpFencing()
		return
	}
	m.sendCommands()
}

// giveUpFencing ends an attempt that no server has answered.
//
// Failure guarded against: a VM is partitioned from the servers just as it starts an attempt and
// its commands stay queued. When the partition ends minutes later, the commands fence a group that
// has long recovered. A server that an unanswered command did fence is found by the probes and
// handled by fencedWithoutPrimary.
func (m *Machine) giveUpFencing() {
	m.record(Entry{Step: StepGivenUp, Term: m.attempt.term, Reason: "no server answered"})
	m.abandonAttempt()
	m.agreedAt = 0
}

// sendCommands sends the commands of the current phase that are due.
func (m *Machine) sendCommands() {
	a := m.attempt
	switch m.phase {
	case PhaseHandover:
		m.sendFence(a.oldPrimary)
	case PhaseFencing:
		for _, s := range m.group.Servers {
			m.sendFence(s.ID)
		}
	case PhasePromoting:
		if m.commandDue(a.candidate) {
			m.emit(Promote{Server: a.candidate, Term: a.term})
		}
	}
}

func (m *Machine) sendFence(id target.ID) {
	a := m.attempt
	if _, ok := a.fenced[id]; ok || !m.commandDue(id) {
		return
	}
	m.emit(Fence{Server: id, Term: a.term})
}

// commandDue reports whether a command may be sent to a server now. If so, it also schedules the
// command's repetition.
func (m *Machine) commandDue(id target.ID) bool {
	a := m.attempt
	if m.now.Before(a.commandAt[id]) {
		return false
	}
	a.commandAt[id] = m.now.Add(m.cfg.CommandRetry)
	return true
}

// advanceAttempt enters the next phase once its conditions are met.
func (m *Machine) advanceAttempt() {
	switch m.phase {
	case PhaseHandover:
		m.advanceHandover()
	case PhaseFencing:
		m.advanceFencing()
	}
}

// advanceHandover waits until a replica has everything that the fenced primary committed. Only then
// does it fence the replicas, which stops their replication.
//
// Failure guarded against: if all servers are fenced at once, the replicas lack the last writes,
// and promoting one of them loses writes that were witnessed. The primary's position is final once
// it has promised the term.
func (m *Machine) advanceHandover() {
	a := m.attempt
	end, fenced := a.fenced[a.oldPrimary]
	timedOut := m.now.Sub(a.started) >= m.cfg.HandoverTimeout
	if !timedOut && !(fenced && m.replicaCaughtUp(end)) {
		return
	}
	m.phase = PhaseFencing
	m.sendCommands()
}

// replicaCaughtUp reports whether a replica has reached the end of the old primary's log.
func (m *Machine) replicaCaughtUp(end target.Status) bool {
	for id, s := range m.servers {
		if id == m.attempt.oldPrimary || !s.seen || m.unresponsive(s) {
			continue
		}
		if s.status.Term == end.Term && s.status.LSN >= end.LSN {
			return true
		}
	}
	return false
}

// advanceFencing chooses the candidate once a majority has promised the term.
//
// Failure guarded against: with fewer promises, a write may have been confirmed only by servers
// that the promoter did not fence, and the promotion would lose it. While only one server is
// available, advanceFencing keeps waiting instead of choosing without a majority.
func (m *Machine) advanceFencing() {
	a := m.attempt
	need := m.majority()
	if m.cfg.Guards.Disabled(GuardMajority) {
		need = 1
	}
	if m.eligibleCount() < need || !m.replicaReady() {
		return
	}
	if a.promisedAt == 0 {
		a.promisedAt = m.now
	}
	if m.now.Sub(a.promisedAt) < m.cfg.PromoteDelay {
		return
	}
	a.candidate = m.chooseCandidate()
	a.chosenAt = m.now
	clear(a.commandAt)
	m.phase = PhasePromoting
	m.record(Entry{Step: StepFenced, Term: a.term, Server: a.candidate})
	m.sendCommands()
}

func (m *Machine) onFenceAnswered(ev FenceAnswered) {
	a := m.attempt
	if a == nil || ev.Term != a.term {
		return
	}
	if ev.Err != nil {
		m.onCommandError(ev.Server, ev.Err)
		return
	}
	if m.group.Server(ev.Server) == nil || a.candidate != "" {
		return
	}
	a.fenced[ev.Server] = ev.Status
}

func (m *Machine) onPromoteAnswered(ev PromoteAnswered) {
	a := m.attempt
	if a == nil || ev.Term != a.term || ev.Server != a.candidate {
		return
	}
	if ev.Err != nil {
		m.onCommandError(ev.Server, ev.Err)
		return
	}
	m.finish(ev.Status)
}

// onCommandError ends the attempt and backs off if the server refused the command. After any other
// failure tickAttempt repeats the command.
func (m *Machine) onCommandError(id target.ID, err error) {
	var fenced *target.FencedError
	if !errors.As(err, &fenced) {
		return
	}
	m.promised = max(m.promised, fenced.Promised)
	m.record(Entry{Step: StepSteppedBack, Term: m.attempt.term, Server: id, Reason: err.Error()})
	m.abandonAttempt()
	m.agreedAt = 0
	m.backOff()
}

// giveUpCandidate ends an attempt whose candidate does not answer. The candidate may have been
// promoted nevertheless, so the term is never used for another server.
//
// Failure guarded against: two servers promoted in one term would each accept the other's writes as
// their own. The next candidate therefore gets the next term.
func (m *Machine) giveUpCandidate() {
	a := m.attempt
	if m.cfg.Guards.Disabled(GuardOneCandidate) {
		delete(a.fenced, a.candidate)
		a.candidate = ""
		a.oldPrimary = ""
		m.phase = PhaseFencing
		return
	}
	m.record(Entry{Step: StepCandidateLost, Term: a.term, Server: a.candidate})
	if s := m.servers[a.candidate]; s != nil {
		s.missed = max(s.missed, m.cfg.MissedProbes)
	}
	if _, ok := m.usableTerm(); !ok && m.store.down {
		// No other term is available now: keep commanding the same candidate.
		a.chosenAt = m.now
		m.sendCommands()
		return
	}
	m.abandonAttempt()
}

func (m *Machine) abandonAttempt() {
	m.attempt = nil
	m.phase = PhaseSuspecting
}

// backOff delays the next attempt by a random time, so that two VMs whose concurrent promotion
// attempts supersede each other do not continue to do so.
func (m *Machine) backOff() {
	m.backoff = min(max(2*m.backoff, m.cfg.BackoffMin), m.cfg.BackoffMax)
	half := m.backoff / 2
	wait := half + time.Duration(m.rng.Int64N(int64(half)+1))
	m.retryAt = m.now.Add(wait)
}

// finish makes the candidate the group's primary, publishes and announces it, and commands the
// other servers to follow it.
func (m *Machine) finish(st target.Status) {
	a := m.attempt
	m.phase = PhaseWatching
	m.attempt = nil
	m.backoff = 0
	m.handoverFrom = ""
	m.startTerm()
	prior := a.fenced[a.candidate]
	m.addUnannouncedTerm(prior)
	m.setPrimary(a.candidate, a.term, termStart(prior, st.Start, m.group.History))
	m.record(Entry{Step: StepPromoted, Term: a.term, Server: a.candidate})
	m.recordCommandAnswer(a.candidate, st)
	m.store.announceAt = m.now
	m.publish()
	m.followAll()
}

// addUnannouncedTerm adds the start of the term of the candidate's log to the history if the
// promoter of that term died before it announced the promotion.
func (m *Machine) addUnannouncedTerm(prior target.Status) {
	if prior.Term > m.group.History.Last().Term && prior.LSN >= prior.Start {
		m.group.History = m.group.History.Append(timeline.Start{Term: prior.Term, LSN: prior.Start})
	}
}

// setPrimary moves the group to a new term with a new primary.
func (m *Machine) setPrimary(id target.ID, term timeline.Term, start timeline.LSN) {
	m.group.Primary = id
	m.group.Term = term
	m.group.Reserved = max(m.group.Reserved, term)
	m.group.History = m.group.History.Append(timeline.Start{Term: term, LSN: start})
}

// recordCommandAnswer records an answer to a command as evidence that the server is responsive. The
// time that the new primary may be unresponsive counts from now.
func (m *Machine) recordCommandAnswer(id target.ID, st target.Status) {
	s := m.servers[id]
	if s == nil {
		return
	}
	s.seen = true
	s.lastGood = max(s.lastGood, m.now)
	s.missed = 0
	s.lastMissed = m.now
	m.recordStatus(s, st)
}

// startTerm discards observations of the previous term.
func (m *Machine) startTerm() {
	m.agreedAt = 0
	m.primaryFencedSince = 0
	m.serverFencedSince = 0
	m.termLearnedAt = m.now
	for _, s := range m.servers {
		s.stalledSince, s.notFollowingSince, s.followFailed = 0, 0, false
		s.followAt = 0
	}
}

// onNewTerm resets the observation for a new term and ends an attempt that another VM's promotion
// has superseded.
func (m *Machine) onNewTerm() {
	m.startTerm()
	delete(m.reports, m.group.Primary)
	if s := m.servers[m.group.Primary]; s != nil {
		s.lastGood = max(s.lastGood, m.now)
		s.missed = 0
		s.lastMissed = m.now
	}
	if a := m.attempt; a != nil && a.term <= m.group.Term {
		m.attempt = nil
	}
	if m.attempt == nil {
		m.phase = PhaseWatching
		m.backoff = 0
	}
	if g := m.group; g.Primary != m.handoverFrom {
		m.handoverFrom = ""
	}
}

func (m *Machine) onHandoverRequested(ev HandoverRequested) {
	if ev.Server == m.group.Primary {
		m.handoverFrom = ev.Server
	}
}
