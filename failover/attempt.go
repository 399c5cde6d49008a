package failover

import (
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// attempt is one try to give the group a primary, in one term.
type attempt struct {
	term    timeline.Term
	started clock.Time
	old     target.ID // primary before the attempt
	planned bool      // a planned change: the old primary is fenced first
	exclude target.ID // not to be promoted; empty if none
	fenced  map[target.ID]target.Status
	orderAt map[target.ID]clock.Time // when an unanswered order is repeated

	candidate  target.ID  // empty until a majority has promised
	promisedAt clock.Time // when a majority had; 0 before
	chosenAt   clock.Time
}

// startAttempt uses up the term.
func (m *Machine) startAttempt(term timeline.Term, reason string) {
	m.terms.used = term
	m.attempt = &attempt{
		term:    term,
		started: m.now,
		old:     m.group.Primary,
		planned: m.relieve != "" && !m.primarySilent(),
		fenced:  make(map[target.ID]target.Status),
		orderAt: make(map[target.ID]clock.Time),
	}
	if reason == reasonIsolated {
		m.attempt.exclude = m.group.Primary
	}
	m.phase = PhaseFencing
	m.record(Entry{Step: StepStarted, Term: term, Server: m.group.Primary, Reason: reason})
	if m.attempt.planned {
		m.phase = PhaseHandover
		m.record(Entry{Step: StepHandover, Term: term, Server: m.group.Primary})
	}
	m.order()
}

// tickAttempt repeats orders whose answer is overdue.
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
	m.order()
}

// giveUpFencing ends an attempt that no server has answered.
//
// The failure: a VM is cut off just as it starts, its orders wait, and when the
// cut ends minutes later it fences a group that has long been well. What a lost
// order may have fenced is found by the probes, and ended as stranded.
func (m *Machine) giveUpFencing() {
	m.record(Entry{Step: StepGivenUp, Term: m.attempt.term, Reason: "no server answered"})
	m.abandon()
	m.agreed = 0
}

// order sends the orders of the present phase that are due.
func (m *Machine) order() {
	a := m.attempt
	switch m.phase {
	case PhaseHandover:
		m.orderFence(a.old)
	case PhaseFencing:
		for _, s := range m.group.Servers {
			m.orderFence(s.ID)
		}
	case PhasePromoting:
		if m.orderDue(a.candidate) {
			m.do(Promote{Server: a.candidate, Term: a.term})
		}
	}
}

func (m *Machine) orderFence(id target.ID) {
	a := m.attempt
	if _, ok := a.fenced[id]; ok || !m.orderDue(id) {
		return
	}
	m.do(Fence{Server: id, Term: a.term})
}

// orderDue reports whether a server may be sent an order now, and counts it as
// sent.
func (m *Machine) orderDue(id target.ID) bool {
	a := m.attempt
	if m.now.Before(a.orderAt[id]) {
		return false
	}
	a.orderAt[id] = m.now.Add(m.cfg.OrderRetry)
	return true
}

// advanceAttempt goes on to the next phase when it can.
func (m *Machine) advanceAttempt() {
	switch m.phase {
	case PhaseHandover:
		m.advanceHandover()
	case PhaseFencing:
		m.advanceFencing()
	}
}

// advanceHandover waits until a replica has all that the fenced primary
// committed, and only then fences the replicas, which stops their replication.
//
// The failure: fencing all at once would leave the replicas short of the last
// writes; promoting one of them would lose writes that were witnessed. The
// primary's position is final once it has promised the term.
func (m *Machine) advanceHandover() {
	a := m.attempt
	end, fenced := a.fenced[a.old]
	late := m.now.Sub(a.started) >= m.cfg.HandoverTimeout
	if !late && !(fenced && m.caughtUp(end)) {
		return
	}
	m.phase = PhaseFencing
	m.order()
}

// caughtUp reports whether a replica has reached the old primary's end.
func (m *Machine) caughtUp(end target.Status) bool {
	for id, s := range m.servers {
		if id == m.attempt.old || !s.seen || m.silent(s) {
			continue
		}
		if s.status.Term == end.Term && s.status.LSN >= end.LSN {
			return true
		}
	}
	return false
}

// advanceFencing chooses the candidate once a majority has promised.
//
// The failure: with fewer promises a write could be confirmed by servers that
// the promoter never asked, and be lost. With one server left this waits; it
// never guesses.
func (m *Machine) advanceFencing() {
	a := m.attempt
	need := m.majority()
	if m.cfg.Guards.Out(GuardMajority) {
		need = 1
	}
	if m.eligible() < need || !m.replicaReady() {
		return
	}
	if a.promisedAt == 0 {
		a.promisedAt = m.now
	}
	if m.now.Sub(a.promisedAt) < m.cfg.PromoteDelay {
		return
	}
	a.candidate = m.choose()
	a.chosenAt = m.now
	clear(a.orderAt)
	m.phase = PhasePromoting
	m.record(Entry{Step: StepFenced, Term: a.term, Server: a.candidate})
	m.order()
}

func (m *Machine) onFenceAnswered(ev FenceAnswered) {
	a := m.attempt
	if a == nil || ev.Term != a.term {
		return
	}
	if ev.Err != nil {
		m.onOrderError(ev.Server, ev.Err)
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
		m.onOrderError(ev.Server, ev.Err)
		return
	}
	m.finish(ev.Status)
}

// onOrderError steps back when the order was refused; other failures are
// repeated by tickAttempt.
func (m *Machine) onOrderError(id target.ID, err error) {
	var fenced *target.FencedError
	if !errors.As(err, &fenced) {
		return
	}
	m.promised = max(m.promised, fenced.Promised)
	m.record(Entry{Step: StepSteppedBack, Term: m.attempt.term, Server: id, Reason: err.Error()})
	m.abandon()
	m.agreed = 0
	m.backOff()
}

// giveUpCandidate ends the attempt of a candidate that does not answer. It may
// have been promoted all the same, so its term is never given to another.
//
// The failure: two servers promoted in one term would both take the other's
// writes for their own. The next candidate gets the next term.
func (m *Machine) giveUpCandidate() {
	a := m.attempt
	if m.cfg.Guards.Out(GuardOneCandidate) {
		delete(a.fenced, a.candidate)
		a.candidate = ""
		a.old = ""
		m.phase = PhaseFencing
		return
	}
	m.record(Entry{Step: StepCandidateLost, Term: a.term, Server: a.candidate})
	if s := m.servers[a.candidate]; s != nil {
		s.missed = max(s.missed, m.cfg.MissedProbes)
	}
	if _, ok := m.usableTerm(); !ok && m.store.down {
		// No other term can be had now: keep asking the same candidate.
		a.chosenAt = m.now
		m.order()
		return
	}
	m.abandon()
}

func (m *Machine) abandon() {
	m.attempt = nil
	m.phase = PhaseSuspecting
}

// backOff waits before the next attempt, so that two VMs that refuse each
// other's terms do not go on doing so.
func (m *Machine) backOff() {
	m.backoff = min(max(2*m.backoff, m.cfg.BackoffMin), m.cfg.BackoffMax)
	half := m.backoff / 2
	wait := half + time.Duration(m.rng.Int64N(int64(half)+1))
	m.retryAt = m.now.Add(wait)
}

// finish makes the candidate the group's primary and tells everybody.
func (m *Machine) finish(st target.Status) {
	a := m.attempt
	m.phase = PhaseWatching
	m.attempt = nil
	m.backoff = 0
	m.relieve = ""
	m.startTerm()
	prior := a.fenced[a.candidate]
	m.learnBranch(prior)
	m.setPrimary(a.candidate, a.term, startOf(prior, st.Start, m.group.History))
	m.record(Entry{Step: StepPromoted, Term: a.term, Server: a.candidate})
	m.noteAlive(a.candidate, st)
	m.store.announceAt = m.now
	m.publish()
	m.followAll()
}

// learnBranch adds the start of the term that the candidate's log is of, if its
// promoter died before it could tell anybody.
func (m *Machine) learnBranch(prior target.Status) {
	if prior.Term > m.group.History.Last().Term && prior.LSN >= prior.Start {
		m.group.History = m.group.History.Append(timeline.Start{Term: prior.Term, LSN: prior.Start})
	}
}

// setPrimary changes the group to a new term.
func (m *Machine) setPrimary(id target.ID, term timeline.Term, start timeline.LSN) {
	m.group.Primary = id
	m.group.Term = term
	m.group.Reserved = max(m.group.Reserved, term)
	m.group.History = m.group.History.Append(timeline.Start{Term: term, LSN: start})
}

// noteAlive takes an answer to an order for evidence of life. The watch for the
// new primary's silence begins now.
func (m *Machine) noteAlive(id target.ID, st target.Status) {
	s := m.servers[id]
	if s == nil {
		return
	}
	s.seen = true
	s.good = max(s.good, m.now)
	s.missed = 0
	s.missedAsked = m.now
	m.noteStatus(s, st)
}

// startTerm forgets what was observed of the term before.
func (m *Machine) startTerm() {
	m.agreed = 0
	m.blocked = 0
	m.stranded = 0
	m.termAt = m.now
	for _, s := range m.servers {
		s.behind, s.astray, s.cutOff = 0, 0, false
	}
}

// onNewTerm gives up an attempt that another VM was faster with.
func (m *Machine) onNewTerm() {
	m.startTerm()
	delete(m.reports, m.group.Primary)
	if s := m.servers[m.group.Primary]; s != nil {
		s.good = max(s.good, m.now)
		s.missed = 0
		s.missedAsked = m.now
	}
	if a := m.attempt; a != nil && a.term <= m.group.Term {
		m.attempt = nil
	}
	if m.attempt == nil {
		m.phase = PhaseWatching
		m.backoff = 0
	}
	if g := m.group; g.Primary != m.relieve {
		m.relieve = ""
	}
}

func (m *Machine) onRelieve(ev Relieve) {
	if ev.Server == m.group.Primary {
		m.relieve = ev.Server
	}
}
