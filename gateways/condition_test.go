package gateways

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
)

// yielding returns the fleet with the numbered VMs yielding.
func yielding(vms []catalog.VM, numbers ...int) []catalog.VM {
	out := slices.Clone(vms)
	for _, i := range numbers {
		out[i].Condition = catalog.Yielding
	}
	return out
}

// selected counts the targets of zone a for which each VM is selected.
func selected(vms []catalog.VM, targets int) map[string]int {
	out := make(map[string]int)
	for i := range targets {
		for _, vm := range Choose(targetWithID(fmt.Sprint("t", i)), vms, 2) {
			out[vm.ID]++
		}
	}
	return out
}

func names(vms []catalog.VM) (out []string) {
	for i := range vms {
		out = append(out, vms[i].ID)
	}
	return out
}

// Failure guarded against: a VM that yields or recovers, however many others yield, moves the targets of
// VMs that did not change.
func TestAVMThatChangesMovesOnlyItsOwnTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calm := fleet(rapid.IntRange(6, 40).Draw(t, "vms"), "a", "b")
		numbers := rapid.SliceOfDistinct(rapid.IntRange(0, len(calm)-1), rapid.ID[int]).Draw(t, "yielding")
		moved := rapid.IntRange(0, len(calm)-1).Draw(t, "moved")
		others := slices.DeleteFunc(numbers, func(i int) bool { return i == moved })
		to := targetWithID(rapid.String().Draw(t, "target"))
		normal, yields := names(Choose(to, yielding(calm, others...), 2)), names(Choose(to, yielding(calm, append(others, moved)...), 2))
		if name := calm[moved].ID; !slices.Contains(normal, name) {
			require.Equal(t, normal, yields)
		} else if !slices.Contains(yields, name) {
			kept := slices.DeleteFunc(normal, func(id string) bool { return id == name })
			require.Subset(t, yields, kept)
		}
	})
}

func TestAYieldingVMKeepsFewTargets(t *testing.T) {
	calm := fleet(30, "a")
	before := selected(calm, 6000)
	require.Less(t, selected(yielding(calm, 0), 6000)["vm00"], before["vm00"]/30)
	all := make([]int, len(calm))
	for i := range all {
		all[i] = i
	}
	require.Equal(t, before, selected(yielding(calm, all...), 6000), "all yield")
	require.True(t, containsVM(Choose(targetWithID("t"), yielding(fleet(6, "a", "b"), 0), 3), "vm00"), "its zone has no other")
	later := slices.Clone(calm)
	later[0].Condition = "of a later program"
	require.Equal(t, before, selected(later, 6000))
}

// Failure guarded against: a slow third of a zone, and a rolling restart of the others, leave the
// targets of the zone to one VM or to the slow ones.
func TestASlowThirdAndARollingRestartLeaveEachTargetItsGateways(t *testing.T) {
	vms := yielding(fleet(9, "a"), 0, 1, 2)
	for i := 3; i < len(vms); i++ {
		during := selected(slices.Delete(slices.Clone(vms), i, i+1), 300)
		slow := during["vm00"] + during["vm01"] + during["vm02"]
		require.Less(t, slow, 600/20)
		for n := 3; n < len(vms); n++ {
			require.Less(t, during[vms[n].ID], 600/3, "shared by the five others")
		}
	}
}
