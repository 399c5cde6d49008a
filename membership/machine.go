package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"

	"endivemoor.example/endivemoor/clock"
)

const (
	// isolatedShare: with fewer than a third of the listed VMs free of
	// suspicion, this VM is the one that is cut off.
	isolatedShare = 3
	// suspectAfterFailed exchanges in a row a VM is suspected. With one in ten
	// lost, two in a row still made so much news in a fleet of hundreds that
	// refutations did not get through in time.
	suspectAfterFailed = 3
	// spread times the logarithm of the fleet is how often news is passed on.
	spread = 3
	// forgetFactor times UnlistedFor after its last sign a VM that is not
	// listed is forgotten: no peer tells of it any more.
	forgetFactor = 2
)

// Machine holds one VM's belief. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	self    VM
	leaving bool
	rnd     *rand.Rand
	byID    map[string]*member
	members []*member // sorted by id
	live    []VM
	listed  int
	// answered is the instant of the last exchange with anybody.
	answered clock.Time
	started  bool
	// dirty is set when a belief may have changed.
	dirty    bool
	partners partners
	// again are VMs that left one exchange unanswered and are tried at once.
	again []VM
}

// New returns a Machine that knows only itself.
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

// Live returns the VMs believed to be live, sorted by id. It always has this VM
// unless that is leaving. The slice is replaced, never changed.
func (m *Machine) Live() []VM { return m.live }

// Self returns this VM's own record.
func (m *Machine) Self() Record {
	return Record{VM: m.self, Incarnation: m.cfg.Incarnation, Leaving: m.leaving}
}

// Step takes an event at now and returns what is to be done. The receiver of
// an exchange steps Exchanged before it takes its answer from Records, so that
// the answer refutes a suspicion that the sender should not have.
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

// Records returns what to tell a partner: news first, then one VM heard lately.
func (m *Machine) Records(now clock.Time) []Record {
	var out []Record
	n := len(m.members)
	from := m.rnd.IntN(max(n, 1))
	for i := range n {
		x := m.members[(from+i)%n]
		if x.news == 0 {
			continue
		}
		if len(out) == m.cfg.MaxRecords {
			break
		}
		x.news--
		if r, ok := x.record(now, m.cfg.SuspectAfter); ok {
			out = append(out, r)
		}
	}
	return m.addAny(now, out)
}

// addAny adds one VM at random. It mends what news did not reach.
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
	e.From.HeardAge = 0
	m.learn(now, e.From)
	if x := m.byID[e.From.VM.ID]; x != nil {
		x.failed = 0
	}
	for _, r := range e.Others {
		m.learn(now, r)
	}
}

// learn takes a record if it says something newer.
//
// Failure guarded against: an old word of a VM's former incarnation, still on
// its way around, makes a restarted VM leave or a dead one live. It shows as
// work that flaps after a restart. A lower incarnation is ignored, and a
// higher one replaces all that was known.
func (m *Machine) learn(now clock.Time, r Record) {
	if r.VM.ID == m.self.ID || r.VM.ID == "" {
		return
	}
	x := m.ensure(now, r.VM)
	if r.Incarnation < x.incarnation {
		return
	}
	if r.Incarnation > x.incarnation {
		x.incarnation, x.vm = r.Incarnation, r.VM
		x.leaving, x.suspect = false, false
		m.tell(x)
	}
	if r.Leaving && !x.leaving {
		x.leaving = true
		m.tell(x)
	}
	m.weigh(now, x, r)
}

// weigh takes the record's evidence for or against the VM.
func (m *Machine) weigh(now clock.Time, x *member, r Record) {
	if r.HeardAge < m.cfg.SuspectAfter {
		unknown := !x.known && !x.listed
		if x.hear(now.Add(-max(r.HeardAge, 0))) || unknown {
			m.tell(x)
		}
		return
	}
	began := now.Add(m.cfg.SuspectAfter - r.HeardAge)
	if x.suspectSince(began) || !x.suspect {
		// A new suspicion, or one that what is known here refutes.
		m.tell(x)
	}
}

// tell makes the VM's record news.
func (m *Machine) tell(x *member) {
	x.news = spread * bits.Len(uint(len(m.members)))
	m.dirty = true
}

func (m *Machine) unanswered(now clock.Time, id string) {
	x := m.byID[id]
	if x == nil {
		return
	}
	x.failed++
	if x.failed < suspectAfterFailed {
		m.again = append(m.again, x.vm)
		return
	}
	if !m.isolated(now) && x.suspectSince(now) {
		m.tell(x)
	}
}

func (m *Machine) ensure(now clock.Time, vm VM) *member {
	if x := m.byID[vm.ID]; x != nil {
		return x
	}
	x := &member{vm: vm, seen: now}
	m.byID[vm.ID] = x
	i, _ := slices.BinarySearchFunc(m.members, vm.ID, compareID)
	m.members = slices.Insert(m.members, i, x)
	m.dirty = true
	return x
}

func compareID(x *member, id string) int { return cmp.Compare(x.vm.ID, id) }

// refresh works out Live and reports whether it changed.
func (m *Machine) refresh(now clock.Time) bool {
	m.dirty = false
	isolated := m.isolated(now)
	for _, x := range m.members {
		x.live = x.believe(now, &m.cfg, isolated)
	}
	m.members = slices.DeleteFunc(m.members, func(x *member) bool { return m.forget(now, x) })
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

// isolated reports whether this VM is the one that is cut off.
//
// Failure guarded against: a VM or an availability zone without network takes
// the whole fleet for dead and claims all its work. It shows as a storm of
// takeovers when the cut heals. Who hears nobody, or suspects most, waits.
func (m *Machine) isolated(now clock.Time) bool {
	if m.listed == 0 {
		return false
	}
	if now.Sub(m.answered) > m.cfg.SuspectAfter {
		return true
	}
	clear := 0
	for _, x := range m.members {
		if x.listed && !x.suspect {
			clear++
		}
	}
	return clear*isolatedShare < m.listed
}

func (m *Machine) forget(now clock.Time, x *member) bool {
	if x.listed || now.Sub(x.lastSign()) <= forgetFactor*m.cfg.UnlistedFor {
		return false
	}
	delete(m.byID, x.vm.ID)
	return true
}
