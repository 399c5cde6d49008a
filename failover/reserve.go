package failover

import (
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// storeState is the last known state of the group's object in the store. At most one write of the
// object is pending.
type storeState struct {
	group   view.Group    // the object's value at version
	version store.Version // 0: not read yet
	down    bool          // the newest call was not answered
	pending pendingWrite
	readAt  clock.Time // when ReadGroup is due; 0 if it is not
	retryAt clock.Time // no write starts before this time

	announceAt clock.Time // when an unpublished promotion is announced again
}

// pendingWrite is an unanswered Reserve or Publish.
type pendingWrite struct {
	kind  writeKind
	value view.Group
	asked clock.Time
}

type writeKind uint8

const (
	writeNone writeKind = iota
	writeReserve
	writePublish
)

// termBlock is the newest block of terms reserved by this VM, and the highest term that it used. A
// late answer never makes a used term available again.
type termBlock struct {
	from, to timeline.Term
	used     timeline.Term
}

func (s *storeState) recordAnswer() { s.down = false }

func (s *storeState) recordError(err error) {
	s.down = !isConflict(err) && !errors.Is(err, store.ErrNotFound)
}

func isConflict(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict)
}

// usableTerm returns the lowest term reserved by this VM that is above every known term.
//
// Failure guarded against: two VMs each increment the term to the same value, each fences a
// majority that the other VM does not observe, and they promote two servers in one term. Each
// server's log would then confirm the other's writes. The conditional update of the group's object
// reserves a term for one VM only.
func (m *Machine) usableTerm() (timeline.Term, bool) {
	if m.cfg.Guards.Disabled(GuardReserve) {
		return m.group.Term + 1, true
	}
	t := max(m.terms.from, m.terms.used+1, m.group.Term+1, m.promised+1)
	return t, m.terms.to > 0 && t <= m.terms.to
}

// tickStore reads the object when the outcome of a write is in doubt, publishes a promotion that
// the store lacks, and reserves terms in advance.
func (m *Machine) tickStore() {
	s := &m.store
	if s.pending.kind != writeNone && m.now.Sub(s.pending.asked) >= m.cfg.StoreTimeout {
		s.down = true
		m.readBack()
	}
	if s.version == 0 && s.readAt == 0 {
		s.readAt = m.now
	}
	if s.readAt != 0 && !m.now.Before(s.readAt) {
		s.readAt = m.now.Add(m.jitter(m.cfg.StoreRetry))
		m.emit(ReadGroup{})
	}
	m.publish()
	m.reserveAhead()
}

// readBack resolves the outcome of the pending write by reading the object.
//
// Failure guarded against: the store applied a write and its answer was lost. Assuming that the
// write failed would waste a term or publish twice; assuming that it succeeded could use a term
// that another VM owns. Only the object itself shows the outcome.
func (m *Machine) readBack() {
	m.store.pending.kind = writeNone
	m.store.readAt = m.now
}

// canWrite reports whether a write of the object may start now.
func (m *Machine) canWrite() bool {
	s := &m.store
	return s.version != 0 && s.pending.kind == writeNone && s.readAt == 0 && !m.now.Before(s.retryAt)
}

func (m *Machine) reserveAhead() {
	if m.phase == PhaseLearning {
		return
	}
	if _, ok := m.usableTerm(); !ok {
		m.reserveTerms()
	}
}

// reserveTerms reserves a block of terms above all known terms in the store.
func (m *Machine) reserveTerms() {
	if !m.canWrite() {
		return
	}
	g := copyGroup(m.store.group)
	base, ok := m.blockBase()
	if !ok {
		// The terms are of later changes than the one that this VM has read last.
		m.store.retryAt = m.now.Add(m.jitter(m.cfg.StoreRetry))
		m.readBack()
		return
	}
	g.Reserved = base + m.blockSize()
	g.ReservedBy = m.cfg.Incarnation
	m.write(writeReserve, g)
	m.emit(Reserve{Group: g, ExpectVersion: m.store.version})
}

// termsPerVersion is the number of terms that belong to one version of the group's object in a store
// that was restored from an older copy.
const termsPerVersion = 8

// eraOfTerm returns the era of the store in which a term was reserved.
func eraOfTerm(t timeline.Term) int64 { return catalog.EraOf(int64(t / termsPerVersion)) }

func eraOfVersion(v store.Version) int64 { return catalog.EraOf(int64(v)) }

// blockBase returns the term before the block that a write conditional on the object's known version
// reserves. In a store that was never restored, blocks follow each other. In a later era the block
// is a function of the version. It returns false if that block is not above all known terms.
//
// Failure guarded against: a restored store has lost reservations that it acknowledged, and one that
// is conditional on a version of an earlier era may replace another VM's. Blocks that follow the
// recorded one would then be reserved twice. At most one write conditional on a version takes effect
// in the version's era, whatever the object contains.
func (m *Machine) blockBase() (timeline.Term, bool) {
	known := max(m.store.group.Reserved, m.store.group.Term, m.group.Term, m.promised, m.terms.used)
	era := eraOfVersion(m.store.version)
	if m.cfg.Guards.Disabled(GuardTermEra) || era == 0 && eraOfTerm(known) == 0 {
		return known, true
	}
	base := timeline.Term(m.store.version) * termsPerVersion
	return base, era > 0 && base >= known
}

// blockSize returns the number of terms of a block; blocks of two versions do not overlap.
func (m *Machine) blockSize() timeline.Term {
	return timeline.Term(min(m.cfg.ReserveBlock, termsPerVersion-1))
}

func (m *Machine) write(kind writeKind, g view.Group) {
	m.store.pending = pendingWrite{kind: kind, value: g, asked: m.now}
	m.store.retryAt = m.now.Add(m.jitter(m.cfg.StoreRetry))
}

// publish writes a promotion that the store does not have yet. VMs other than the promoter and the
// lease holder do so if the promotion is still unpublished after their takeover delay.
func (m *Machine) publish() {
	if m.phase == PhaseLearning || m.group.Term <= m.store.group.Term {
		return
	}
	if !m.mayAct(m.termLearnedAt) {
		return
	}
	m.announce()
	if !m.canWrite() {
		return
	}
	g := copyGroup(m.group)
	g.Servers = m.store.group.Servers
	g.Reserved = m.store.group.Reserved
	g.ReservedBy = m.store.group.ReservedBy
	if g.Reserved < g.Term {
		// The object was restored from an older copy. The VM that it names has not reserved the
		// terms in between.
		g.Reserved = g.Term
		g.ReservedBy = ""
	}
	m.write(writePublish, g)
	m.emit(Publish{Group: g, ExpectVersion: m.store.version})
}

// announce sends a promotion to peers, and repeats it until the store has the promotion.
func (m *Machine) announce() {
	if m.now.Before(m.store.announceAt) {
		return
	}
	m.store.announceAt = m.now.Add(m.cfg.StoreRetry)
	m.emit(Announce{Group: copyGroup(m.group)})
}

func (m *Machine) onReserveResult(ev ReserveResult) {
	m.onWriteResult(writeReserve, ev.Term, ev.Version, ev.Err)
}

func (m *Machine) onPublishResult(ev PublishResult) {
	m.onWriteResult(writePublish, ev.Term, ev.Version, ev.Err)
}

// onWriteResult processes the answer to the pending write. An answer to an older write is ignored,
// because that outcome was read back.
func (m *Machine) onWriteResult(kind writeKind, term timeline.Term, version store.Version, err error) {
	p := m.store.pending
	if p.kind != kind || pendingTerm(p) != term {
		return
	}
	if err != nil {
		m.store.recordError(err)
		m.onWriteError(err)
		return
	}
	m.store.recordAnswer()
	m.store.pending.kind = writeNone
	m.learnStore(p.value, version)
}

func pendingTerm(p pendingWrite) timeline.Term {
	if p.kind == writeReserve {
		return p.value.Reserved
	}
	return p.value.Term
}

func (m *Machine) onWriteError(err error) {
	if errors.Is(err, store.ErrUnavailable) {
		m.store.pending.kind = writeNone
		return
	}
	if isConflict(err) {
		// The store is available and another VM wrote the object: retry after reading it.
		m.store.retryAt = m.now
	}
	m.readBack()
}

func (m *Machine) onGroupLearned(ev GroupLearned) {
	if ev.Err != nil {
		m.store.recordError(ev.Err)
		return
	}
	if ev.Group.Name != m.group.Name {
		return
	}
	if ev.Version == 0 {
		m.learnFromPeer(ev.Group)
		return
	}
	m.store.recordAnswer()
	m.learnStore(ev.Group, ev.Version)
}

// learnStore records the object's value at a version.
func (m *Machine) learnStore(g view.Group, version store.Version) {
	s := &m.store
	if version < s.version {
		return
	}
	s.readAt = 0
	if version == s.version {
		return
	}
	before := s.group
	s.version = version
	s.group = copyGroup(g)
	m.learnTerms(g)
	published := before.Term != 0 && g.Term > before.Term && g.Term == m.terms.used
	m.learnGroup(g)
	if published {
		m.record(Entry{Step: StepPublished, Term: g.Term, Server: g.Primary})
	}
}

// learnTerms records the newest block of terms if this VM reserved it. Each block that it reserved
// has blockSize terms and ends at Reserved. A block of another era than the object's may belong to
// another VM: its reservation took effect in a restored store, in which it holds no more.
func (m *Machine) learnTerms(g view.Group) {
	if g.ReservedBy != m.cfg.Incarnation || g.Reserved <= m.terms.to {
		return
	}
	if eraOfTerm(g.Reserved) != eraOfVersion(m.store.version) && !m.cfg.Guards.Disabled(GuardTermEra) {
		return
	}
	size := m.blockSize()
	m.terms.from = g.Reserved - min(size, g.Reserved) + 1
	m.terms.to = g.Reserved
	m.record(Entry{Step: StepReserved, Term: g.Reserved})
}

// learnFromPeer accepts a promotion that a peer announced and that the store may not have yet. Once
// the group is known, an announcement of a term that is not newer is ignored, including its list of
// servers.
func (m *Machine) learnFromPeer(g view.Group) {
	if m.phase == PhaseLearning || g.Term > m.group.Term {
		m.learnGroup(g)
	}
}

// learnGroup replaces the group unless g has an older term; in that case only the servers are
// replaced.
func (m *Machine) learnGroup(g view.Group) {
	if m.phase == PhaseLearning {
		m.phase = PhaseWatching
	} else if g.Term < m.group.Term {
		m.group.Servers = copyGroup(g).Servers
		m.resetServers()
		return
	}
	changed := g.Term > m.group.Term
	m.group = copyGroup(g)
	m.resetServers()
	if changed {
		m.onNewTerm()
	}
}
