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

// VMs join, start anew and go, and now and then a list has entries that are newer
// than its revision. Whoever is told what has changed since its revision ends with
// the teller's list, or knows that it did not.
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
			change := now.FleetSince(at.revision)
			if change == nil {
				continue
			}
			vms, ok := ApplyVMs(change, at.vms)
			require.True(t, ok, "one of its own earlier lists fits")
			require.True(t, slices.Equal(now.VMs, vms))
			other := drawVMs(t)
			if vms, ok = ApplyVMs(change, other); ok {
				require.True(t, slices.Equal(now.VMs, vms))
			}
		}
	})
}

// A VM was listed on a page that was read after it joined, so that one peer has it
// at a revision and another has not. Told what changed since, the second one would
// never hear of it.
func TestAListThatDivergedIsNoticed(t *testing.T) {
	early, late := VM{ID: "early"}, VM{ID: "late"}
	h := NewHolder()
	many := make([]VM, 10)
	for i := range many {
		many[i].ID = fmt.Sprint(i)
	}
	h.SetFleet(append([]VM{early}, many...), nil, 10)
	h.SetFleet(append([]VM{early, late}, many...), nil, 12)
	change := h.Load().FleetSince(10)
	require.Equal(t, []VM{late}, change.Other)
	_, ok := ApplyVMs(change, many)
	require.False(t, ok)
	vms, ok := ApplyVMs(change, append(slices.Clone(many), early))
	require.True(t, ok)
	require.Len(t, vms, 12)
}

// A target's entry lapses while the store is down. One peer still keeps the target
// when the list changes next, another has let it go. The change does not fit whoever
// learned the list from the first one.
func TestATargetThatIsKeptForAWhileDoesNotStay(t *testing.T) {
	targets := func(names ...target.ID) map[target.ID]*Target {
		out := make(map[target.ID]*Target)
		for _, id := range names {
			out[id] = &Target{ID: id}
		}
		return out
	}
	h := NewHolder()
	h.SetTargets(targets("a", "b", "c", "lapsed"), 10)
	kept := h.Load().Targets
	h.SetTargets(targets("a", "b", "c"), 10)
	let := h.Load().Targets
	h.SetTargets(targets("a", "b", "c", "d"), 12)
	now := h.Load()
	fits, ok := ApplyTargets(now.TargetsSince(10), kept)
	require.True(t, ok, "what was let go at one revision is told as well")
	require.Equal(t, now.Targets, fits)
	_, ok = ApplyTargets(now.TargetsSince(10), let)
	require.True(t, ok)
	_, ok = ApplyTargets(now.TargetsSince(10), targets("a", "b", "c", "other"))
	require.False(t, ok)
}
