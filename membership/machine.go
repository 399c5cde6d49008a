package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// isolatedShare: below a third of the listed VMs heard, this VM is cut off.
const isolatedShare = 3

// member is what the Machine knows of one VM.
type member struct {
	vm          VM
	incarnation uint64
	// heard is the latest instant at which anybody heard the VM; valid if known.
	heard clock.Time
	known bool
	// leaving is the VM's own word, listLeaving the platform's.
	leaving     bool
	listLeaving bool
	listed      bool
	// live is the present belief; back is since when a VM that was gone is
	// heard again.
	live bool
	back clock.Time
	gone bool
	// since is when the member was first seen.
	since clock.Time
}

// Machine holds one VM's belief. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	self    VM
	leaving bool
	rnd     *rand.Rand
	members map[string]*member
	order   []string // sorted ids of members
	live    []VM
	listed  int
	cursor  int
}

// New returns a Machine that knows only itself.
func New(cfg Config, self VM) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:     cfg,
		self:    self,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		members: make(map[string]*member),
	}
	m.live = []VM{self}
	return m
}

// Live returns the VMs believed to be live, sorted by id. It always has this VM
// unless that is leaving. The slice is replaced, never changed.
func (m *Machine) Live() []VM { return m.live }

// Self returns this VM's own record.
func (m *Machine) Self() Record {
	return Record{VM: m.self, Incarnation: m.cfg.Incarnation, Leaving: m.leaving}
}

// Step takes an event at now and returns what is to be done.
func (m *Machine) Step(now clock.Time, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case Tick:
		out = m.partners()
	case Listed:
		m.list(now, e)
	case Exchanged:
		e.From.HeardAge = 0
		m.learn(now, e.From)
		for _, r := range e.Others {
			m.learn(now, r)
		}
	case Leave:
		m.leaving = true
	}
	if m.refresh(now) {
		out = append(out, Changed{})
	}
	return out
}

// Records returns what to tell a partner: this VM, and up to MaxRecords others,
// going round the fleet so that each exchange tells of other VMs.
func (m *Machine) Records(now clock.Time) []Record {
	n := min(len(m.order), m.cfg.MaxRecords)
	out := make([]Record, 0, n)
	for range n {
		m.cursor = (m.cursor + 1) % len(m.order)
		x := m.members[m.order[m.cursor]]
		if !x.known || now.Sub(x.heard) > m.deadAfter() {
			continue
		}
		out = append(out, x.record(now))
	}
	return out
}

func (x *member) record(now clock.Time) Record {
	return Record{
		VM: x.vm, Incarnation: x.incarnation,
		HeardAge: now.Sub(x.heard), Leaving: x.leaving,
	}
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
		x.listed, x.listLeaving = true, vm.Leaving
		m.listed++
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
		x.incarnation = r.Incarnation
		x.vm = r.VM
		x.leaving = false
	}
	x.leaving = x.leaving || r.Leaving
	at := now.Add(-max(r.HeardAge, 0))
	if !x.known || at.After(x.heard) {
		x.heard, x.known = at, true
	}
}

func (m *Machine) ensure(now clock.Time, vm VM) *member {
	if x := m.members[vm.ID]; x != nil {
		return x
	}
	x := &member{vm: vm, since: now}
	m.members[vm.ID] = x
	i, _ := slices.BinarySearch(m.order, vm.ID)
	m.order = slices.Insert(m.order, i, vm.ID)
	return x
}

// deadAfter allows for the time that a record needs around a large fleet: each
// round passes on Fanout exchanges of MaxRecords.
func (m *Machine) deadAfter() time.Duration {
	rounds := len(m.order) / (m.cfg.MaxRecords * m.cfg.Fanout)
	return m.cfg.DeadAfter + time.Duration(spreadRounds*rounds)*m.cfg.Interval
}

// spreadRounds is how often the whole fleet's records must pass by before a
// silence means something.
const spreadRounds = 3

// refresh works out Live and reports whether it changed.
func (m *Machine) refresh(now clock.Time) bool {
	isolated := m.isolated(now)
	for id, x := range m.members {
		x.live = m.believe(now, x, isolated)
		if m.forgettable(now, x) {
			m.forget(id)
		}
	}
	next := make([]VM, 0, len(m.order)+1)
	if !m.leaving {
		next = append(next, m.self)
	}
	for _, id := range m.order {
		if x := m.members[id]; x.live {
			next = append(next, x.vm)
		}
	}
	slices.SortFunc(next, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(next, m.live) {
		return false
	}
	m.live = next
	return true
}

// believe applies the table of the package comment to one VM.
func (m *Machine) believe(now clock.Time, x *member, isolated bool) bool {
	if x.leaving || x.listLeaving {
		return false
	}
	if m.heardWithin(now, x) {
		return m.settled(now, x)
	}
	if isolated {
		return x.live
	}
	x.gone, x.back = true, 0
	return false
}

// heardWithin reports whether the silence is short enough for what the list
// says. A listed VM that nobody has heard yet gets its time from when it was
// first seen here.
func (m *Machine) heardWithin(now clock.Time, x *member) bool {
	limit := m.cfg.SuspectAfter
	if x.listed {
		limit = m.deadAfter()
	}
	if !x.known {
		return x.listed && now.Sub(x.since) < limit
	}
	return now.Sub(x.heard) < limit
}

func (m *Machine) settled(now clock.Time, x *member) bool {
	if !x.gone {
		return true
	}
	if x.back == 0 {
		x.back = now
	}
	if now.Sub(x.back) < m.cfg.SettleFor {
		return false
	}
	x.gone, x.back = false, 0
	return true
}

// isolated reports whether this VM hears so few that it is the one cut off.
func (m *Machine) isolated(now clock.Time) bool {
	if m.listed == 0 {
		return false
	}
	heard := 0
	for _, x := range m.members {
		if x.listed && (x.listLeaving || x.leaving || m.heardWithin(now, x)) {
			heard++
		}
	}
	return heard*isolatedShare < m.listed
}

// forgettable reports whether the VM is neither listed nor heard for so long
// that no peer tells of it any more.
func (m *Machine) forgettable(now clock.Time, x *member) bool {
	if x.listed {
		return false
	}
	last := x.since
	if x.known {
		last = x.heard
	}
	return now.Sub(last) > forgetFactor*m.deadAfter()
}

const forgetFactor = 4

func (m *Machine) forget(id string) {
	delete(m.members, id)
	if i, ok := slices.BinarySearch(m.order, id); ok {
		m.order = slices.Delete(m.order, i, i+1)
	}
}
