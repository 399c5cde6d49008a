package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
)

const tick = clock.Time(500 * time.Millisecond)

func vm(i int) VM {
	return VM{ID: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprintf("z%d", i%3), Addr: "192.0.2.1:1"}
}

func listOf(ids ...int) Listed {
	var e Listed
	for _, i := range ids {
		v := vm(i)
		e.VMs = append(e.VMs, store.VM{ID: v.ID, Zone: v.Zone, Addr: v.Addr})
	}
	return e
}

func contactWith(i int) Exchanged { return Exchanged{From: Record{VM: vm(i), Incarnation: 1}} }

func ids(vms []VM) []string {
	var out []string
	for _, v := range vms {
		out = append(out, v.ID)
	}
	return out
}

func newMachine(self int) *Machine { return New(Config{Incarnation: 1, Seed: 7}, vm(self)) }

// run ticks from one instant to another. The VMs in up answer exchanges; exchanges with the others
// are unanswered.
func run(m *Machine, from, to clock.Time, up ...int) {
	for now := from; now < to; now += tick {
		for _, a := range m.Step(now, Tick{}) {
			e, ok := a.(Exchange)
			if !ok {
				continue
			}
			i := slices.IndexFunc(up, func(i int) bool { return vm(i).ID == e.With.ID })
			if i < 0 {
				m.Step(now, Unanswered{ID: e.With.ID})
				continue
			}
			m.Step(now, contactWith(up[i]))
		}
	}
}

const second = clock.Time(time.Second)

func TestContactedVMIsLiveBeforeThePlatformListsIt(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1))
	m.Step(2, contactWith(2))
	require.Equal(t, []string{"vm-0000", "vm-0001", "vm-0002"}, ids(m.Live()))
}

// Failure guarded against: a VM dies, the platform lists it for minutes more, and its groups have no
// owner until the list is up to date. Unanswered exchanges with all peers move them within seconds.
func TestUnresponsiveVMIsDeadThoughListed(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1, 2, 3))
	run(m, 1, 5*second, 1, 2, 3)
	run(m, 5*second, 15*second, 1, 2)
	require.Equal(t, []string{"vm-0000", "vm-0001", "vm-0002"}, ids(m.Live()))
}

// Failure guarded against: this VM loses its network, gets no reply from any peer, and takes over
// the work of the whole fleet.
func TestIsolatedVMMovesNothing(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1, 2, 3))
	run(m, 1, 5*second, 1, 2, 3)
	before := ids(m.Live())
	run(m, 5*second, 60*second)
	require.Equal(t, before, ids(m.Live()))
}

// Failure guarded against: a VM restarts every few seconds, and without a settling time each restart
// moves its share of the groups to it and away again.
func TestReturningVMMustSettle(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1, 2, 3))
	run(m, 1, 5*second, 1, 2, 3)
	run(m, 5*second, 15*second, 1, 2)
	require.NotContains(t, ids(m.Live()), "vm-0003")
	m.Step(15*second, contactWith(3))
	m.Step(16*second, Tick{})
	require.NotContains(t, ids(m.Live()), "vm-0003")
	m.Step(17*second, Tick{})
	require.Contains(t, ids(m.Live()), "vm-0003")
}

// One VM cannot reach another VM, but all others can. Its suspicion spreads, and so do the later
// contacts of the others, so that the VM stays live.
func TestSuspicionIsRefutedByALaterContact(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1, 2, 3))
	run(m, 1, 2*second, 1, 2, 3)
	bad := Record{VM: vm(3), Incarnation: 1, ContactAge: 2500 * time.Millisecond}
	m.Step(3*second, Exchanged{From: Record{VM: vm(1), Incarnation: 1}, Others: []Record{bad}})
	good := Record{VM: vm(3), Incarnation: 1, ContactAge: 100 * time.Millisecond}
	m.Step(4*second, Exchanged{From: Record{VM: vm(2), Incarnation: 1}, Others: []Record{good}})
	require.Contains(t, m.Records(4*second), Record{VM: vm(3), Incarnation: 1, ContactAge: 100 * time.Millisecond})
	m.Step(60*second, Tick{})
	require.Contains(t, ids(m.Live()), "vm-0003")
}

// The platform removes a VM from its list and no peer has contact with it: it is dead within
// SuspectAfter, without the wait of DeadAfter for a listed VM.
func TestUnlistedVMIsDeadWithoutContact(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1, 2))
	m.Step(2, contactWith(1))
	m.Step(second, listOf())
	require.Equal(t, []string{"vm-0000", "vm-0001"}, ids(m.Live()))
	m.Step(3*second, Tick{})
	require.Equal(t, []string{"vm-0000"}, ids(m.Live()))
}

// Failure guarded against: a VM drains, ends and starts again, and a record of its former
// incarnation that still circulates marks the new one as leaving.
func TestRecordOfAFormerIncarnationIsIgnored(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1))
	old := Record{VM: vm(1), Incarnation: 1, Leaving: true}
	m.Step(2, Exchanged{From: old})
	require.NotContains(t, ids(m.Live()), "vm-0001")
	m.Step(3, Exchanged{From: Record{VM: vm(1), Incarnation: 2}})
	m.Step(4, Exchanged{From: Record{VM: vm(2), Incarnation: 1}, Others: []Record{old}})
	require.Contains(t, ids(m.Live()), "vm-0001")
}

func TestLeavingVMIsNotLive(t *testing.T) {
	m := newMachine(0)
	m.Step(1, listOf(1, 2))
	require.Contains(t, m.Step(2, Leave{}), Changed{})
	require.Equal(t, []string{"vm-0001", "vm-0002"}, ids(m.Live()))
	require.True(t, m.Self().Leaving)
}

func TestPartnersAreBoundedAndOfTwoZones(t *testing.T) {
	m := newMachine(0)
	var all []int
	for i := range 200 {
		all = append(all, i)
	}
	m.Step(1, listOf(all...))
	for i := range 100 {
		actions := m.Step(clock.Time(i+2), Tick{})
		require.Len(t, actions, 2)
		require.Equal(t, "z0", actions[0].(Exchange).With.Zone)
		require.NotEqual(t, "z0", actions[1].(Exchange).With.Zone)
	}
}

func TestMachineRemovesMembersWithoutEvidence(t *testing.T) {
	m := newMachine(0)
	for i := 1; i < 2000; i++ {
		m.Step(clock.Time(i)*second, contactWith(i))
	}
	require.Less(t, len(m.members), 300)
	require.Len(t, m.byID, len(m.members))
}

// fleet exchanges records between Machines in rounds, without loss.
type fleet struct {
	machines map[string]*Machine
	order    []string
	down     map[string]bool
}

func newFleet(n int) *fleet {
	f := &fleet{machines: map[string]*Machine{}, down: map[string]bool{}}
	var all []int
	for i := range n {
		all = append(all, i)
	}
	for i := range n {
		m := New(Config{Incarnation: 1, Seed: uint64(i)}, vm(i))
		m.Step(1, listOf(all...))
		f.machines[vm(i).ID] = m
		f.order = append(f.order, vm(i).ID)
	}
	return f
}

func (f *fleet) round(now clock.Time) {
	for _, id := range f.order {
		if f.down[id] {
			continue
		}
		for _, a := range f.machines[id].Step(now, Tick{}) {
			if e, ok := a.(Exchange); ok {
				f.exchange(now, id, e.With.ID)
			}
		}
	}
}

func (f *fleet) exchange(now clock.Time, from, to string) {
	a, b := f.machines[from], f.machines[to]
	if f.down[to] {
		a.Step(now, Unanswered{ID: to})
		return
	}
	b.Step(now, Exchanged{From: a.Self(), Others: a.Records(now)})
	a.Step(now, Exchanged{From: b.Self(), Others: b.Records(now)})
}

func TestFleetAgreesOnDeadVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 20).Draw(t, "vms")
		dead := rapid.IntRange(0, n-1).Draw(t, "dead")
		f := newFleet(n)
		now := second
		for ; now < 10*second; now += tick {
			f.round(now)
		}
		f.down[vm(dead).ID] = true
		for ; now < 25*second; now += tick {
			f.round(now)
		}
		for _, id := range f.order {
			if !f.down[id] {
				require.Len(t, f.machines[id].Live(), n-1, id)
			}
		}
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{9, 100, 725, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(1)
			m := f.machines[vm(0).ID]
			var all []int
			for i := range n {
				all = append(all, i)
			}
			m.Step(1, listOf(all...))
			now := clock.Time(2)
			for b.Loop() {
				m.Step(now, Tick{})
				now++
			}
		})
	}
}
