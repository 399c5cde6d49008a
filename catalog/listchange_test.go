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
			vms, ok := ApplyVMs(change, at.vms)
			require.True(t, ok, "the change applies to an earlier list of the same holder")
			require.True(t, slices.Equal(now.VMs, vms))
			other := drawVMs(t)
			if vms, ok = ApplyVMs(change, other); ok {
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
	_, ok := ApplyVMs(change, many)
	require.False(t, ok)
	vms, ok := ApplyVMs(change, append(slices.Clone(many), early))
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
	applied, ok := ApplyTargets(now.TargetsSince(10, 0), retained)
	require.True(t, ok, "an entry dropped at the same revision is part of the change")
	require.Equal(t, now.Targets, applied)
	_, ok = ApplyTargets(now.TargetsSince(10, 0), dropped)
	require.True(t, ok)
	_, ok = ApplyTargets(now.TargetsSince(10, 0), targets("a", "b", "c", "other"))
	require.False(t, ok)
}
