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

// Guards that a test may disable.
const (
	// GuardMajority requires the promises of a majority before a promotion.
	GuardMajority guard.Name = "failover/fence-majority"
	// GuardHighest requires the candidate to be the fenced server with the highest position.
	GuardHighest guard.Name = "failover/highest-position"
	// GuardReserve is the conditional update that reserves a term for one VM.
	GuardReserve guard.Name = "failover/term-reservation"
	// GuardTermEra separates the terms that are reserved before and after a restore of the store.
	GuardTermEra guard.Name = "failover/term-era"
	// GuardOneCandidate allows only one candidate per term.
	GuardOneCandidate guard.Name = "failover/one-candidate-per-term"
	// GuardZones requires the agreement of two availability zones.
	GuardZones guard.Name = "failover/zone-agreement"
	// GuardPause discards the Machine's own evidence after its process was paused.
	GuardPause guard.Name = "failover/own-pause"
)

// Phase is the current activity of a Machine.
type Phase string

// Phases.
const (
	// PhaseLearning: the group is not known yet.
	PhaseLearning Phase = "learning"
	// PhaseWatching: the primary answers, or no action is due.
	PhaseWatching Phase = "watching"
	// PhaseSuspecting: the primary is unresponsive, and peers are queried.
	PhaseSuspecting Phase = "suspecting"
	// PhaseReserving: a promotion is due, but a term must be reserved first.
	PhaseReserving Phase = "reserving"
	// PhaseHandover: a planned change fences the primary before the replicas.
	PhaseHandover Phase = "handover"
	// PhaseFencing: the Machine waits for the promises of a majority.
	PhaseFencing Phase = "fencing"
	// PhasePromoting: the candidate was commanded to become the primary.
	PhasePromoting Phase = "promoting"
)

// Machine is the state of one group's failover on one VM. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     clock.Time
	actions []Action

	group    view.Group
	phase    Phase
	lastTick clock.Time
	servers  map[target.ID]*serverState
	reports  map[target.ID]map[string]PeerReport

	suspectedAt        clock.Time // when the current suspicion began
	agreedAt           clock.Time // when two zones agreed that the primary is unresponsive; 0 if they do not
	peerQueryAt        clock.Time
	promised           timeline.Term // highest promise seen on any server
	primaryFencedSince clock.Time    // since when the live primary is fenced above its term; 0 if it is not
	serverFencedSince  clock.Time    // since when any live server is fenced above the group's term; 0 if none is
	termLearnedAt      clock.Time    // when the current term was learned
	handoverFrom       target.ID     // primary to be replaced by a planned change; empty if none

	takeoverDelay time.Duration // Config.TakeoverDelay with this Machine's jitter

	lease   leaseState
	store   storeState
	terms   termBlock
	attempt *attempt
	retryAt clock.Time // no attempt starts before this time
	backoff time.Duration
}

// New returns a Machine for the named group. rng is the only source of
// randomness; it must not be shared.
func New(cfg Config, group string, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:           cfg,
		rng:           rng,
		group:         view.Group{Name: group},
		phase:         PhaseLearning,
		servers:       make(map[target.ID]*serverState),
		reports:       make(map[target.ID]map[string]PeerReport),
		takeoverDelay: cfg.TakeoverDelay + time.Duration(rng.Int64N(int64(cfg.TakeoverDelay/2)+1)),
	}
}

// Phase returns the Machine's current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Group returns the group as the Machine knows it. The caller must not modify it.
func (m *Machine) Group() view.Group { return m.group }

// HoldsLease reports whether this VM held the group's lease at the last Step.
func (m *Machine) HoldsLease() bool { return m.lease.held(m.now) }

// Step processes one event at the time now and returns the actions to carry out. Times must be
// above zero and must not go backwards. The caller owns the returned slice.
func (m *Machine) Step(now clock.Time, ev Event) []Action {
	m.now = now
	m.actions = nil
	m.handle(ev)
	m.advance()
	return m.actions
}

func (m *Machine) handle(ev Event) {
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
	case HandoverRequested:
		m.onHandoverRequested(ev)
	}
}

// onTick performs the work that depends on time alone.
func (m *Machine) onTick() {
	m.resetAfterPause()
	m.lastTick = m.now
	m.tickLease()
	m.tickStore()
	if m.phase == PhaseLearning {
		return
	}
	m.tickProbes()
	m.tickAttempt()
	m.tickRepair()
}

// advance performs the transitions that the newest evidence allows.
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

// advanceWatch starts a promotion attempt, or reserves a term for it, if one is due.
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

// promotionDue reports whether the group needs a new primary and this VM is to promote it, and
// returns the reason.
func (m *Machine) promotionDue() (bool, string) {
	if m.handoverFrom != "" && m.handoverFrom != m.group.Primary {
		m.handoverFrom = ""
	}
	if m.primaryUnresponsive() {
		m.suspect()
		return m.suspicionConfirmed(), "primary silent"
	}
	m.clearSuspicion()
	if m.handoverFrom != "" && m.HoldsLease() {
		return true, "planned change of primary"
	}
	if m.fencedWithoutPrimary() {
		return true, "servers fenced at a term without a primary"
	}
	if m.isIsolated() {
		return true, reasonIsolated
	}
	m.phase = PhaseWatching
	return false, ""
}

// reasonIsolated is the reason for replacing a primary although it answers the VMs.
const reasonIsolated = "primary cut off from its replicas"

// suspect marks the primary as suspected, and queries peers for as long as it is.
func (m *Machine) suspect() {
	if m.phase == PhaseWatching {
		m.phase = PhaseSuspecting
		m.suspectedAt = m.now
		m.agreedAt = 0
		m.peerQueryAt = m.now
		m.record(Entry{Step: StepSuspected, Term: m.group.Term, Server: m.group.Primary})
	}
	if m.now.Before(m.peerQueryAt) {
		return
	}
	m.peerQueryAt = m.now.Add(m.cfg.PeerQueryInterval)
	m.emit(QueryPeers{Server: m.group.Primary, Asked: m.now})
}

func (m *Machine) clearSuspicion() {
	if m.phase == PhaseSuspecting {
		m.record(Entry{Step: StepCleared, Term: m.group.Term, Server: m.group.Primary})
	}
	m.agreedAt = 0
}

// suspicionConfirmed reports whether two zones agree that the primary is unresponsive, enough
// servers answer for a promotion, and this VM may act: immediately if it holds the lease, otherwise
// after the takeover delay.
func (m *Machine) suspicionConfirmed() bool {
	if !m.zonesAgree() || !m.reachesMajority() {
		m.agreedAt = 0
		return false
	}
	if m.agreedAt == 0 {
		m.agreedAt = m.now
	}
	return m.HoldsLease() || m.now.Sub(m.agreedAt) >= m.takeoverDelay
}

// addr returns the address of a server of the group.
func (m *Machine) addr(id target.ID) string {
	if s := m.group.Server(id); s != nil {
		return s.Addr
	}
	return ""
}

// majority returns the smallest number of servers such that any two sets of that size share a
// server.
func (m *Machine) majority() int { return len(m.group.Servers)/2 + 1 }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// record emits an audit entry, with the fields that all entries have in common filled in.
func (m *Machine) record(e Entry) {
	e.Group = m.group.Name
	e.VM = m.cfg.VM
	e.Evidence = m.evidence()
	m.emit(Record{Entry: e})
}

// copyGroup returns a copy of the group that shares no slices with it.
func copyGroup(g view.Group) view.Group {
	g.History = slices.Clone(g.History)
	g.Servers = slices.Clone(g.Servers)
	return g
}
