package failover

import (
	"math/rand/v2"
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Guards that a test may take out.
const (
	// GuardMajority is the need for a majority's promise before a promotion.
	GuardMajority guard.Name = "failover/fence-majority"
	// GuardHighest is the choice of the fenced server with the longest log.
	GuardHighest guard.Name = "failover/highest-position"
	// GuardReserve is the conditional update that gives a term to one VM.
	GuardReserve guard.Name = "failover/term-reservation"
	// GuardOneCandidate is the use of a term for one candidate only.
	GuardOneCandidate guard.Name = "failover/one-candidate-per-term"
	// GuardZones is the agreement of two availability zones.
	GuardZones guard.Name = "failover/zone-agreement"
	// GuardPause is the doubt of a Machine's own evidence after a pause.
	GuardPause guard.Name = "failover/own-pause"
)

// Phase is what a Machine is doing for its group.
type Phase string

// Phases.
const (
	// PhaseLearning: the group is not known yet.
	PhaseLearning Phase = "learning"
	// PhaseWatching: the primary answers, or nothing is to be done.
	PhaseWatching Phase = "watching"
	// PhaseSuspecting: the primary is silent, and peers are asked.
	PhaseSuspecting Phase = "suspecting"
	// PhaseReserving: a promotion is due and a term is needed first.
	PhaseReserving Phase = "reserving"
	// PhaseHandover: the primary of a planned change is fenced first.
	PhaseHandover Phase = "handover"
	// PhaseFencing: a majority's promise is awaited.
	PhaseFencing Phase = "fencing"
	// PhasePromoting: the candidate was told.
	PhasePromoting Phase = "promoting"
)

// Machine is the state of one group's failover on one VM. It is not safe for
// concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now clock.Time
	out []Action

	group   view.Group
	phase   Phase
	ticked  clock.Time
	servers map[target.ID]*serverState
	reports map[target.ID]map[string]PeerReport

	suspected clock.Time // when the present suspicion began
	agreed    clock.Time // when two zones agreed; 0 if they do not
	askAt     clock.Time
	promised  timeline.Term // highest promise seen on any server
	blocked   clock.Time    // since when the live primary is fenced beyond its term; 0 if it is not
	stranded  clock.Time    // the same of any live server
	termAt    clock.Time    // when the present term was learned
	relieve   target.ID     // primary to be relieved; empty if none

	takeover time.Duration // Config.TakeoverDelay with this Machine's jitter

	lease   leaseState
	store   storeState
	terms   termBlock
	attempt *attempt
	retryAt clock.Time // no attempt starts before
	backoff time.Duration
}

// New returns a Machine for the named group. rng is the only source of
// randomness; it must not be shared.
func New(cfg Config, group string, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:      cfg,
		rng:      rng,
		group:    view.Group{Name: group},
		phase:    PhaseLearning,
		servers:  make(map[target.ID]*serverState),
		reports:  make(map[target.ID]map[string]PeerReport),
		takeover: cfg.TakeoverDelay + time.Duration(rng.Int64N(int64(cfg.TakeoverDelay/2)+1)),
	}
}

// Phase returns what the Machine is doing.
func (m *Machine) Phase() Phase { return m.phase }

// Group returns the group as the Machine knows it. It must not be changed.
func (m *Machine) Group() view.Group { return m.group }

// Leads reports whether this VM held the group's lease at the last Step.
func (m *Machine) Leads() bool { return m.lease.held(m.now) }

// Step takes one event at the time now and returns what is to be done. Times
// must be above zero and must not go backwards. The returned slice is the caller's.
func (m *Machine) Step(now clock.Time, ev Event) []Action {
	m.now = now
	m.out = nil
	m.take(ev)
	m.advance()
	return m.out
}

func (m *Machine) take(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		m.onTick()
	case ProbeAnswered:
		m.onProbeAnswered(ev)
	case ProbeFailed:
		m.onProbeFailed(ev)
	case PeerReport:
		m.onPeerReport(ev)
	case GroupLearned:
		m.onGroupLearned(ev)
	case LeaseResult:
		m.onLeaseResult(ev)
	case ReserveResult:
		m.onReserveResult(ev)
	case PublishResult:
		m.onPublishResult(ev)
	case FenceAnswered:
		m.onFenceAnswered(ev)
	case PromoteAnswered:
		m.onPromoteAnswered(ev)
	case FollowAnswered:
		m.onFollowAnswered(ev)
	case Relieve:
		m.onRelieve(ev)
	}
}

// onTick does what is due by time alone.
func (m *Machine) onTick() {
	m.doubtAfterPause()
	m.ticked = m.now
	m.tickLease()
	m.tickStore()
	if m.phase == PhaseLearning {
		return
	}
	m.tickProbes()
	m.tickAttempt()
	m.tickRepair()
}

// advance makes the transitions that the newest evidence allows.
func (m *Machine) advance() {
	if m.phase == PhaseLearning {
		return
	}
	m.adoptUnannounced()
	if m.attempt != nil {
		m.advanceAttempt()
		return
	}
	m.advanceWatch()
}

// advanceWatch decides if an attempt is to start.
func (m *Machine) advanceWatch() {
	due, reason := m.promotionDue()
	if !due {
		return
	}
	if m.now.Before(m.retryAt) || !m.reachesMajority() {
		return
	}
	term, ok := m.usableTerm()
	if !ok {
		m.phase = PhaseReserving
		m.reserveTerms()
		return
	}
	m.startAttempt(term, reason)
}

// promotionDue says if the group needs a new primary and this VM is to see to
// it, and why.
func (m *Machine) promotionDue() (bool, string) {
	if m.relieve != "" && m.relieve != m.group.Primary {
		m.relieve = ""
	}
	if m.primarySilent() {
		m.suspect()
		return m.confirmed(), "primary silent"
	}
	m.clearSuspicion()
	if m.relieve != "" && m.Leads() {
		return true, "planned change of primary"
	}
	if m.isStranded() {
		return true, "servers fenced at a term without a primary"
	}
	if m.isIsolated() {
		return true, reasonIsolated
	}
	m.phase = PhaseWatching
	return false, ""
}

// reasonIsolated is why a primary that answers VMs is deposed all the same.
const reasonIsolated = "primary cut off from its replicas"

// suspect opens a suspicion, and asks peers while it lasts.
func (m *Machine) suspect() {
	if m.phase == PhaseWatching {
		m.phase = PhaseSuspecting
		m.suspected = m.now
		m.agreed = 0
		m.askAt = m.now
		m.record(Entry{Step: StepSuspected, Term: m.group.Term, Server: m.group.Primary})
	}
	if m.now.Before(m.askAt) {
		return
	}
	m.askAt = m.now.Add(m.cfg.AskEvery)
	m.do(AskPeers{Server: m.group.Primary, Asked: m.now})
}

func (m *Machine) clearSuspicion() {
	if m.phase == PhaseSuspecting {
		m.record(Entry{Step: StepCleared, Term: m.group.Term, Server: m.group.Primary})
	}
	m.agreed = 0
}

// confirmed reports whether two zones agree that the primary is silent, enough
// servers answer for a promotion, and it is this VM's turn to act: at once with
// the lease, later without.
func (m *Machine) confirmed() bool {
	if !m.zonesAgree() || !m.reachesMajority() {
		m.agreed = 0
		return false
	}
	if m.agreed == 0 {
		m.agreed = m.now
	}
	return m.Leads() || m.now.Sub(m.agreed) >= m.takeover
}

// addr returns the address of a server of the group.
func (m *Machine) addr(id target.ID) string {
	if s := m.group.Server(id); s != nil {
		return s.Addr
	}
	return ""
}

// majority is the number of servers that any two of which sets share one.
func (m *Machine) majority() int { return len(m.group.Servers)/2 + 1 }

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

// record fills in what every entry carries.
func (m *Machine) record(e Entry) {
	e.Group = m.group.Name
	e.VM = m.cfg.VM
	e.Evidence = m.evidence()
	m.do(Record{Entry: e})
}

// copyGroup returns the group with slices of its own.
func copyGroup(g view.Group) view.Group {
	g.History = slices.Clone(g.History)
	g.Servers = slices.Clone(g.Servers)
	return g
}
