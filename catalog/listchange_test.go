package catalog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/target"
)

func drawVMs(t *rapid.T) []VM {
	var out []VM
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		if run := rapid.IntRange(0, 3).Draw(t, name); run > 0 {
			out = append(out, VM{ID: name, Incarnation: fmt.Sprint(run)})
		}
	}
	return out
}

// fleetOf and targetsOf are the catalogs of a VM that has read one list.
func fleetOf(vms []VM) *Catalog {
	h := NewHolder()
	h.SetFleet(vms, nil, 1)
	return h.Load()
}

func targetsOf(targets map[target.ID]*Target) *Catalog {
	h := NewHolder()
	h.SetTargets(targets, 1)
	return h.Load()
}

// VMs join, restart and are removed, and some lists have entries that are newer than their revision.
// A VM that applies the change since its revision has the list of the VM that sent the change, or
// detects that it has not.
func TestFleetChangesLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		type state struct {
			revision int64
			vms      []VM
		}
		var states []state
		revision := int64(1)
		for range rapid.IntRange(2, 8).Draw(t, "lists") {
			revision += int64(rapid.IntRange(0, 2).Draw(t, "step"))
			h.SetFleet(drawVMs(t), nil, revision)
			states = append(states, state{revision, h.Load().VMs})
		}
		now := h.Load()
		for _, at := range states {
			change := now.FleetSince(at.revision, 0)
			if change == nil {
				continue
			}
			vms, ok := ApplyVMs(change, fleetOf(at.vms))
			require.True(t, ok, "the change applies to an earlier list of the same holder")
			require.True(t, slices.Equal(now.VMs, vms))
			other := drawVMs(t)
			if vms, ok = ApplyVMs(change, fleetOf(other)); ok {
				require.True(t, slices.Equal(now.VMs, vms))
			}
		}
	})
}

// Failure guarded against: a VM is on a page that one peer read after the VM joined and another peer
// before, so that their lists differ at the same revision. With only the change since that revision,
// the second peer would never add the VM.
func TestAListThatDivergedIsNoticed(t *testing.T) {
	early, late := VM{ID: "early"}, VM{ID: "late"}
	h := NewHolder()
	many := make([]VM, 10)
	for i := range many {
		many[i].ID = fmt.Sprint(i)
	}
	h.SetFleet(append([]VM{early}, many...), nil, 10)
	h.SetFleet(append([]VM{early, late}, many...), nil, 12)
	change := h.Load().FleetSince(10, 0)
	require.Equal(t, []VM{late}, change.Updated)
	_, ok := ApplyVMs(change, fleetOf(many))
	require.False(t, ok)
	vms, ok := ApplyVMs(change, fleetOf(append(slices.Clone(many), early)))
	require.True(t, ok)
	require.Len(t, vms, 12)
}

// Failure guarded against: a target's entry expires while the store is unavailable. When the list
// changes next, one peer still retains the target and another has dropped it, and the change leaves
// the target in the list of a VM that got its list from the first peer.
func TestRetainedTargetOfAnExpiredEntryIsRemoved(t *testing.T) {
	targets := func(names ...target.ID) map[target.ID]*Target {
		out := make(map[target.ID]*Target)
		for _, id := range names {
			out[id] = &Target{ID: id}
		}
		return out
	}
	h := NewHolder()
	h.SetTargets(targets("a", "b", "c", "lapsed"), 10)
	retained := h.Load().Targets
	h.SetTargets(targets("a", "b", "c"), 10)
	dropped := h.Load().Targets
	h.SetTargets(targets("a", "b", "c", "d"), 12)
	now := h.Load()
	applied, ok := ApplyTargets(now.TargetsSince(10, 0), targetsOf(retained))
	require.True(t, ok, "an entry dropped at the same revision is part of the change")
	require.Equal(t, now.Targets, applied)
	_, ok = ApplyTargets(now.TargetsSince(10, 0), targetsOf(dropped))
	require.True(t, ok)
	_, ok = ApplyTargets(now.TargetsSince(10, 0), targetsOf(targets("a", "b", "c", "other")))
	require.False(t, ok)
}

// Targets join, change their service and are removed. What the catalog derives from the changes must
// equal what it derives from the last list alone.
func TestDerivedListsFollowTheChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		for revision := range rapid.Int64Range(2, 8).Draw(t, "lists") {
			targets := make(map[target.ID]*Target)
			for _, id := range []target.ID{"a", "b", "c", "d", "e"} {
				if service := rapid.SampledFrom([]string{"", "s", "t"}).Draw(t, string(id)); service != "" {
					targets[id] = &Target{ID: id, Service: service, Slots: rapid.IntRange(1, 2).Draw(t, "slots")}
				}
			}
			vms := drawVMs(t)
			h.SetTargets(targets, revision+1)
			h.SetFleet(vms, nil, revision+1)
			c, alone := h.Load(), targetsOf(targets)
			require.Equal(t, alone.ByService, c.ByService)
			require.Equal(t, alone.TargetsDigest(), c.TargetsDigest())
			require.Equal(t, DigestOfTargets(targets), c.TargetsDigest())
			require.Equal(t, fleetOf(vms).FleetDigest(), c.FleetDigest())
		}
	})
}

// Guards against: one target that changes, and makes every VM of the fleet decode, compare and index
// the full list again.
func TestOneChangeAllocatesLittleWhateverTheList(t *testing.T) {
	for _, n := range []int{30, 300, 3000} {
		targets := func(slots int) map[target.ID]*Target {
			out := make(map[target.ID]*Target)
			for i := range n {
				id := target.ID(fmt.Sprint("t", i))
				out[id] = &Target{ID: id, Service: fmt.Sprint("s", i/3)}
			}
			out["t7"].Slots = slots
			return out
		}
		sender := NewHolder()
		sender.SetTargets(targets(1), 10)
		sender.SetTargets(targets(2), 12)
		change, base := sender.Load().TargetsSince(10, 0), targetsOf(targets(1))
		allocations := testing.AllocsPerRun(3, func() {
			h := NewHolder()
			h.current.Store(base)
			after, ok := ApplyTargets(change, base)
			require.True(t, ok)
			require.True(t, h.SetTargets(after, 12))
		})
		require.Less(t, allocations, 120.0, "%d targets", n)
	}
}
