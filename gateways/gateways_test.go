package gateways

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
)

func fleet(n int, zones ...string) []catalog.VM {
	vms := make([]catalog.VM, n)
	for i := range vms {
		vms[i] = catalog.VM{ID: fmt.Sprintf("vm%02d", i), Zone: zones[i%len(zones)], Capacity: 0.2}
	}
	return vms
}

func targetWithID(id string) *catalog.Target { return &catalog.Target{ID: target.ID(id), Zone: "a"} }

func catalogWithLimit(limit int, vms []catalog.VM) (*catalog.Catalog, *catalog.Target) {
	h := catalog.NewHolder()
	h.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: limit}}})
	t := &catalog.Target{ID: "t", Service: "s", Zone: "b"}
	h.SetTargets(map[target.ID]*catalog.Target{"t": t}, 1)
	h.SetFleet(vms, nil, 1)
	return h.Load(), t
}

func TestEnoughConnectionsNeedNoGateway(t *testing.T) {
	for _, x := range []struct{ limit, vms, kept, idle, running int }{{23, 9, 2, 1, 1}, {41, 7, 5, 2, 2}, {190, 23, 7, 3, 1}, {10, 9, 1, 1, 1}, {23, 2, 10, 5, 5}} {
		c, to := catalogWithLimit(x.limit, fleet(x.vms, "a", "b", "c"))
		to.Slots = 3
		p := NewAssignment("vm03", c)
		require.Empty(t, p.Route(to, ""))
		require.Equal(t, Share{MaxOpen: x.kept, MaxIdle: x.idle, MaxRunning: x.running}, p.Share(to))
		require.GreaterOrEqual(t, x.running*x.vms, 3*to.Slots, "no slot is idle while statements wait")
	}
	c, to := catalogWithLimit(23, fleet(59, "a", "b", "c"))
	require.True(t, NewAssignment("vm03", c).Share(to).Temporary)
}

// Failure guarded against: 89 VMs use a target that accepts 190 connections, so that each could
// have its own, but the target's queue holds 24 statements. If each VM sends independently, the
// target refuses most statements repeatedly, whatever their queue priority.
func TestManyVMsShareGatewaysThoughThereAreConnections(t *testing.T) {
	vms := fleet(89, "a", "b", "c")
	c, to := catalogWithLimit(190, vms)
	to.Slots = 3
	holders, running := 0, 0
	for _, vm := range vms {
		p := NewAssignment(vm.ID, c)
		share := p.Share(to)
		require.Equal(t, share.Temporary, len(p.Route(to, "")) > 0)
		if !share.Temporary {
			holders++
			running += share.MaxRunning
		}
	}
	require.Equal(t, 2, holders)
	require.Equal(t, 2*(3+1), running, "the target's own queue stays nearly empty")
}

// Failure guarded against: 59 VMs use a target that accepts 32 connections. Without gateways each
// VM opens a connection for a statement and closes it for the next VM's, which costs the target
// 12 ms each time, and consumers wait until their timeouts.
func TestScarceConnectionsAreHeldByAFew(t *testing.T) {
	vms := fleet(59, "a", "b", "c")
	c, to := catalogWithLimit(32, vms)
	kept, first := 0, map[string]int{}
	for _, vm := range vms {
		p := NewAssignment(vm.ID, c)
		share := p.Share(to)
		kept += share.MaxOpen
		route := p.Route(to, "")
		require.Equal(t, share.Temporary, len(route) > 0, "a VM without connections has a route to one that has some")
		if share.Temporary {
			first[route[0].ID]++
			require.Equal(t, "b", route[0].Zone, "it is in the target's zone")
			continue
		}
	}
	require.LessOrEqual(t, kept, 28)
	require.GreaterOrEqual(t, kept, 24)
	require.Len(t, first, 2, "the VMs spread over the gateways")
}

// Failure guarded against: seven of nine VMs fail, and the remaining two cannot keep all slots of
// a target busy. They must do so within the connections that are guaranteed to be theirs.
func TestRemainingVMsUseAllSlots(t *testing.T) {
	c, to := catalogWithLimit(22, fleet(9, "a", "b", "c"))
	to.Slots = 3
	p := NewAssignment("vm03", c)
	require.Equal(t, 1, p.Share(to).MaxRunning)
	few := p.Next(c, 2).Share(to)
	require.GreaterOrEqual(t, 2*few.MaxRunning, to.Slots)
	require.Equal(t, p.Share(to).MaxOpen, few.MaxOpen)
	require.Equal(t, 9, p.Next(c, 0).Share(to).MaxRunning, "it is the only one left")
}

// Failure guarded against: connections serve one workspace each, and half of them are closed after
// each burst although the workspaces need them again; or all are retained, and gateways that restart
// cannot use the target's slots.
func TestWorkspacesRetainMoreConnections(t *testing.T) {
	c, to := catalogWithLimit(56, fleet(85, "a", "b", "c"))
	to.Slots = 4
	plain := *c.Config
	gateway := NewAssignment("vm03", c).gateways(to)[0].ID
	before := NewAssignment(gateway, c).Share(to)
	c.Config.Workspaces = map[string]*catalog.Workspace{"north": {Name: "north"}}
	after := NewAssignment(gateway, c).Share(to)
	require.Greater(t, after.MaxIdle, before.MaxIdle)
	require.GreaterOrEqual(t, 56-gatewaysPerTarget*after.MaxIdle, gatewaysPerTarget*after.MaxRunning)
	c.Config = &plain
	require.Equal(t, before, NewAssignment(gateway, c).Share(to), "without workspaces nothing changes")
}

// Failure guarded against: all gateways lose power at once. Their targets hold the dead
// connections open for 3 s, and refuse those of the next gateways if both together exceed the
// targets' limit.
func TestGatewaysLeaveRoomForTheirSuccessors(t *testing.T) {
	for _, x := range []struct{ limit, slots, idle int }{{53, 5, 11}, {190, 3, 42}, {32, 3, 7}, {9, 3, 4}} {
		c, to := catalogWithLimit(x.limit, fleet(59, "a", "b", "c"))
		to.Slots = x.slots
		for _, vm := range c.VMs {
			if s := NewAssignment(vm.ID, c).Share(to); !s.Temporary {
				require.Equal(t, x.idle, s.MaxIdle)
				require.GreaterOrEqual(t, s.MaxIdle, min(s.MaxRunning, s.MaxOpen), "running statements need no new connections")
			}
		}
	}
}

func TestLargerVMsCarryMore(t *testing.T) {
	vms := fleet(30, "a")
	for i := range 3 {
		vms[i].Capacity = 0.8
	}
	large := 0
	const targets = 3000
	for i := range targets {
		if Choose(targetWithID(fmt.Sprint("t", i)), vms, 1)[0].Capacity == 0.8 {
			large++
		}
	}
	require.InDelta(t, 3*0.8/(3*0.8+27*0.2), float64(large)/targets, 0.03)
}

// Failure guarded against: a VM is removed, all gateways are selected anew, and every VM closes
// and opens its connections at once, when the fleet is short of them already.
func TestRemovedVMMovesOnlyItsOwnTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(4, 40).Draw(t, "vms"), "a")
		count := rapid.IntRange(1, 3).Draw(t, "count")
		id := targetWithID(rapid.String().Draw(t, "target"))
		before := Choose(id, vms, count)
		removed := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "removed")]
		var remaining []catalog.VM
		for _, vm := range vms {
			if vm.ID != removed.ID {
				remaining = append(remaining, vm)
			}
		}
		after := Choose(id, remaining, count)
		for _, vm := range before {
			if vm.ID != removed.ID {
				require.True(t, containsVM(after, vm.ID), "%s was moved", vm.ID)
			}
		}
	})
}

// All VMs must select the same gateways, whatever the order of their lists.
func TestTheOrderOfTheListDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(1, 30).Draw(t, "vms"), "a", "b", "c")
		mixed := rapid.Permutation(vms).Draw(t, "mixed")
		require.ElementsMatch(t, Choose(targetWithID("t"), vms, 6), Choose(targetWithID("t"), mixed, 6))
	})
}

// Choose keeps only the best candidates as it goes; the result must be that of sorting all VMs.
func TestChooseIsTheHeadOfTheWholeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(0, 30).Draw(t, "vms"), "a", "b", "c")
		to, count := targetWithID(rapid.String().Draw(t, "target")), rapid.IntRange(1, 4).Draw(t, "count")
		all := make([]candidate, len(vms))
		for i := range vms {
			all[i] = newCandidate(to, &vms[i])
		}
		slices.SortFunc(all, candidate.compare)
		want := []catalog.VM{}
		for _, one := range all[:min(count, len(all))] {
			want = append(want, *one.vm)
		}
		require.Equal(t, want, Choose(to, vms, count))
	})
}

// The operator changes a route every 13 seconds, and a VM joins or leaves every minute. A VM's
// selection of gateways stays valid until the fleet or the target's limit changes.
func TestSelectionsSurviveAConfigurationChange(t *testing.T) {
	c, to := catalogWithLimit(32, fleet(59, "a", "b", "c"))
	p := NewAssignment("vm03", c)
	first := p.gateways(to)
	same := *c
	require.Equal(t, p.selections, p.Next(&same, len(same.VMs)).selections)

	smaller, _ := catalogWithLimit(4, fleet(59, "a", "b", "c"))
	require.Len(t, p.Next(smaller, len(smaller.VMs)).gateways(to), 1, "the limit has changed")
	fewer, _ := catalogWithLimit(32, slices.DeleteFunc(slices.Clone(c.VMs), func(vm catalog.VM) bool { return vm.ID == first[0].ID }))
	require.NotContains(t, p.Next(fewer, len(fewer.VMs)).gateways(to), first[0], "the fleet has changed")
	moved := *to
	moved.Zone = "c"
	require.Equal(t, "c", p.Next(&same, len(same.VMs)).gateways(&moved)[0].Zone, "the target has moved to another zone")
}

// VMs join, leave, restart, and change their zone, capacity or condition. The gateways that are kept
// over these changes must be those that a VM selects which has only the last list.
func TestKeptSelectionsAreThoseOfTheLastList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() []catalog.VM {
			var out []catalog.VM
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				if rapid.IntRange(0, 3).Draw(t, name) > 0 {
					zone := rapid.SampledFrom([]string{"x", "b"}).Draw(t, "zone")
					condition := rapid.SampledFrom([]catalog.Condition{catalog.Normal, catalog.Yielding}).Draw(t, "condition")
					out = append(out, catalog.VM{ID: name, Zone: zone, Incarnation: rapid.StringN(0, 1, 1).Draw(t, "run"), Capacity: float64(rapid.IntRange(1, 2).Draw(t, "cores")), Condition: condition})
				}
			}
			return out
		}
		// The limit is below the number of VMs, so that there are gateways.
		c, to := catalogWithLimit(10, append(draw(), fleet(9, "b")...))
		kept := NewAssignment("a", c)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			kept.Route(to, "")
			c, to = catalogWithLimit(10, append(draw(), fleet(9, "b")...))
			kept = kept.Next(c, len(c.VMs))
			require.Equal(t, NewAssignment("a", c).Route(to, ""), kept.Route(to, ""))
		}
	})
}

// Guards against: gateways of all targets in use that every VM selects again for each VM that joins
// or restarts.
func TestAVMThatJoinsMovesFewSelections(t *testing.T) {
	const targets = 300
	for _, vms := range []int{30, 300, 1000, 3000} {
		before := fleet(vms, "a", "b", "c")
		c, _ := catalogWithLimit(30, before)
		p := NewAssignment("vm00", c)
		for i := range targets {
			to := targetWithID(fmt.Sprint("t", i))
			to.Service = "s"
			c.Targets[to.ID] = to
			p.Route(to, "")
		}
		after := slices.Clone(before)
		after[vms/2].Incarnation = "restarted"
		next, _ := catalogWithLimit(30, append(after, catalog.VM{ID: "vn", Zone: "a", Capacity: 0.2}))
		next.Targets = c.Targets
		require.Len(t, p.Next(next, vms).selections, targets)
		gone, _ := catalogWithLimit(30, before[1:])
		gone.Targets = c.Targets
		require.Greater(t, len(p.Next(gone, vms).selections), targets/2)
	}
}
