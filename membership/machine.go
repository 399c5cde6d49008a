package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"

	"endivemoor.example/endivemoor/clock"
)

const (
	// isolatedShare: if fewer than one in isolatedShare of the listed VMs are free of suspicion,
	// this VM considers itself partitioned.
	isolatedShare = 3
	// suspectAfterFailed is the number of consecutive unanswered exchanges after which a VM is
	// suspected. With a limit of two and one exchange in ten lost, a fleet of hundreds has so many
	// pending updates that refutations do not spread in time.
	suspectAfterFailed = 3
	// spreadFactor times the logarithm of the fleet's size is how often an update is passed on.
	spreadFactor = 3
	// removeFactor times UnlistedFor after the last evidence of it, a VM that is not listed is
	// dropped: no peer sends records of it by then.
	removeFactor = 2
)

// Machine is one VM's view of the fleet. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	self    VM
	leaving bool
	rnd     *rand.Rand
	byID    map[string]*member
	members []*member // sorted by id
	live    []VM
	listed  int
	// answered is the instant of the last exchange with any peer.
	answered clock.Time
	started  bool
	// dirty is set when Live may have changed.
	dirty    bool
	partners partners
	// retry are VMs with unanswered exchanges that are not suspected yet, to be tried again in the
	// next round.
	retry []VM
}

// New returns a Machine that has only self as a member.
func New(cfg Config, self VM) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:  cfg,
		self: self,
		rnd:  rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		byID: make(map[string]*member),
		live: []VM{self},
	}
}

// Live returns the VMs that are considered live, sorted by id. It always has this VM, unless this VM
// is leaving. The slice is replaced, never modified.
func (m *Machine) Live() []VM { return m.live }

// Self returns this VM's own record.
func (m *Machine) Self() Record {
	return Record{VM: m.self, Incarnation: m.cfg.Incarnation, Leaving: m.leaving}
}

// Step processes an event at now and returns the actions to carry out. The receiver of an exchange
// must step Exchanged before it takes its reply from Records, so that the reply refutes a wrong
// suspicion of the sender.
func (m *Machine) Step(now clock.Time, ev Event) []Action {
	if !m.started {
		m.started, m.answered = true, now
	}
	var out []Action
	switch e := ev.(type) {
	case Tick:
		m.dirty = true
		out = m.round()
	case Listed:
		m.list(now, e)
	case Exchanged:
		m.exchanged(now, e)
	case Unanswered:
		m.unanswered(now, e.ID)
	case Leave:
		m.leaving, m.dirty = true, true
	}
	if m.dirty && m.refresh(now) {
		out = append(out, Changed{})
	}
	return out
}

// Records returns the records to send to a partner: pending updates first, then one member at random.
func (m *Machine) Records(now clock.Time) []Record {
	var out []Record
	n := len(m.members)
	from := m.rnd.IntN(max(n, 1))
	for i := range n {
		x := m.members[(from+i)%n]
		if x.pending == 0 {
			continue
		}
		if len(out) == m.cfg.MaxRecords {
			break
		}
		x.pending--
		if r, ok := x.record(now, m.cfg.SuspectAfter); ok {
			out = append(out, r)
		}
	}
	return m.addAny(now, out)
}

// addAny adds one member at random. It repairs the view of peers that an update did not reach.
func (m *Machine) addAny(now clock.Time, out []Record) []Record {
	if len(m.members) == 0 || len(out) == m.cfg.MaxRecords {
		return out
	}
	x := m.members[m.rnd.IntN(len(m.members))]
	if r, ok := x.record(now, m.cfg.SuspectAfter); ok {
		return append(out, r)
	}
	return out
}

func (m *Machine) list(now clock.Time, e Listed) {
	for _, x := range m.members {
		x.listed, x.listLeaving = false, false
	}
	m.listed = 0
	for _, vm := range e.VMs {
		if vm.ID == m.self.ID {
			continue
		}
		x := m.ensure(now, VM{ID: vm.ID, Zone: vm.Zone, Addr: vm.Addr})
		x.listed, x.wasListed, x.listLeaving = true, true, vm.Leaving
		m.listed++
	}
	m.dirty = true
}

func (m *Machine) exchanged(now clock.Time, e Exchanged) {
	m.answered = now
	e.From.ContactAge = 0
	m.merge(now, e.From)
	if x := m.byID[e.From.VM.ID]; x != nil {
		x.failed = 0
	}
	for _, r := range e.Others {
		m.merge(now, r)
	}
}

// merge merges a record if it is newer.
//
// Failure guarded against: a record of a VM's former incarnation still circulates, and marks the
// restarted VM as leaving or a dead VM as live, so that work moves back and forth after a restart. A
// record of a lower incarnation is ignored, and one of a higher incarnation replaces the former
// state.
func (m *Machine) merge(now clock.Time, r Record) {
	if r.VM.ID == m.self.ID || r.VM.ID == "" {
		return
	}
	x := m.ensure(now, r.VM)
	if r.Incarnation < x.incarnation {
		return
	}
	if r.Incarnation > x.incarnation {
		x.incarnation, x.vm = r.Incarnation, r.VM
		x.leaving, x.suspected = false, false
		m.markPending(x)
	}
	if r.Leaving && !x.leaving {
		x.leaving = true
		m.markPending(x)
	}
	m.recordEvidence(now, x, r)
}

// recordEvidence merges the record's evidence that the VM is live or unreachable.
func (m *Machine) recordEvidence(now clock.Time, x *member, r Record) {
	if r.ContactAge < m.cfg.SuspectAfter {
		unknown := !x.contacted && !x.listed
		if x.recordContact(now.Add(-max(r.ContactAge, 0))) || unknown {
			m.markPending(x)
		}
		return
	}
	began := now.Add(m.cfg.SuspectAfter - r.ContactAge)
	if x.recordSuspicion(began) || !x.suspected {
		// A new suspicion, or one that a later contact refutes.
		m.markPending(x)
	}
}

// markPending makes the VM's record a pending update.
func (m *Machine) markPending(x *member) {
	x.pending = spreadFactor * bits.Len(uint(len(m.members)))
	m.dirty = true
}

func (m *Machine) unanswered(now clock.Time, id string) {
	x := m.byID[id]
	if x == nil {
		return
	}
	x.failed++
	if x.failed < suspectAfterFailed {
		m.retry = append(m.retry, x.vm)
		return
	}
	if !m.isolated(now) && x.recordSuspicion(now) {
		m.markPending(x)
	}
}

func (m *Machine) ensure(now clock.Time, vm VM) *member {
	if x := m.byID[vm.ID]; x != nil {
		return x
	}
	x := &member{vm: vm, firstSeen: now}
	m.byID[vm.ID] = x
	i, _ := slices.BinarySearchFunc(m.members, vm.ID, compareID)
	m.members = slices.Insert(m.members, i, x)
	m.dirty = true
	return x
}

func compareID(x *member, id string) int { return cmp.Compare(x.vm.ID, id) }

// refresh recomputes Live and reports whether it changed.
func (m *Machine) refresh(now clock.Time) bool {
	m.dirty = false
	isolated := m.isolated(now)
	for _, x := range m.members {
		x.live = x.evaluate(now, &m.cfg, isolated)
	}
	m.members = slices.DeleteFunc(m.members, func(x *member) bool { return m.remove(now, x) })
	m.partners.sort(m.members, m.self.Zone)
	next := make([]VM, 0, len(m.live)+1)
	for _, x := range m.members {
		if x.live {
			next = append(next, x.vm)
		}
	}
	if !m.leaving {
		i, _ := slices.BinarySearchFunc(next, m.self.ID, func(vm VM, id string) int { return cmp.Compare(vm.ID, id) })
		next = slices.Insert(next, i, m.self)
	}
	if slices.Equal(next, m.live) {
		return false
	}
	m.live = next
	return true
}

// isolated reports whether this VM considers itself partitioned.
//
// Failure guarded against: a VM or an availability zone loses its network, considers the whole fleet
// dead and takes over all its work, which causes a burst of takeovers when the partition heals. So a
// VM that gets no replies, or suspects most of the others, moves no work.
func (m *Machine) isolated(now clock.Time) bool {
	if m.listed == 0 {
		return false
	}
	if now.Sub(m.answered) > m.cfg.SuspectAfter {
		return true
	}
	unsuspected := 0
	for _, x := range m.members {
		if x.listed && !x.suspected {
			unsuspected++
		}
	}
	return unsuspected*isolatedShare < m.listed
}

func (m *Machine) remove(now clock.Time, x *member) bool {
	if x.listed || now.Sub(x.lastEvidence()) <= removeFactor*m.cfg.UnlistedFor {
		return false
	}
	delete(m.byID, x.vm.ID)
	return true
}
