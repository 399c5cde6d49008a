package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/store"
)

func fleet(n, zones int) []membership.VM {
	var out []membership.VM
	for i := range n {
		out = append(out, membership.VM{ID: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return out
}

func TestProbersAreDistinctOwnerFirstAndSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "vms")
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		k := rapid.IntRange(1, 5).Draw(t, "k")
		group := rapid.StringMatching("[a-z]{1,8}").Draw(t, "group")
		ring := NewRing(fleet(n, zones))
		owner, ok := ring.Owner(group)
		require.True(t, ok)
		probers := ring.Probers(group, k)
		require.Equal(t, owner, probers[0])
		seen, in := map[string]bool{}, map[string]bool{}
		for _, vm := range probers {
			require.False(t, seen[vm.ID])
			seen[vm.ID], in[vm.Zone] = true, true
		}
		require.GreaterOrEqual(t, len(in), min(k, zones, n))
	})
}

// Failure guarded against: the assignment also moves groups of other VMs when one VM dies, so that
// a single dead VM disrupts the control of all groups.
func TestDeadVMMovesOnlyItsGroups(t *testing.T) {
	vms := fleet(30, 3)
	before, after := NewRing(vms), NewRing(vms[1:])
	moved := 0
	for i := range 1000 {
		group := fmt.Sprint("g", i)
		old, _ := before.Owner(group)
		now, _ := after.Owner(group)
		if old.ID == vms[0].ID {
			moved++
			continue
		}
		require.Equal(t, old, now)
	}
	require.InDelta(t, 1000.0/30, float64(moved), 25)
}

func TestAssignmentDoesNotDependOnOrder(t *testing.T) {
	vms := fleet(12, 4)
	rotated := append(append([]membership.VM{}, vms[5:]...), vms[:5]...)
	for i := range 100 {
		group := fmt.Sprint("g", i)
		require.Equal(t, Probers(group, vms, 3), Probers(group, rotated, 3))
	}
}

func TestNoLiveVMsMeansNoOwner(t *testing.T) {
	_, ok := Owner("g", nil)
	require.False(t, ok)
	require.Empty(t, Probers("g", nil, 3))
	require.Empty(t, NewRing(nil).Watchers("profiles", 2))
}

func TestWatchersAreAFewInEachZone(t *testing.T) {
	require.Len(t, NewRing(fleet(2900, 6)).Watchers("profiles", 2), 12)
	require.Len(t, NewRing(fleet(3, 3)).Watchers("profiles", 2), 3)
}

func TestCallsOfAPurposeStayWithinItsShareAtAnySize(t *testing.T) {
	b := DefaultBudget()
	for _, n := range []int{1, 9, 100, 2900} {
		for p, share := range b.Shares {
			rate := float64(n) / b.Interval(p, n, 0).Seconds()
			require.LessOrEqual(t, rate, 1.001*b.Total*share)
		}
	}
	require.Equal(t, time.Second, b.Interval(store.PurposeLease, 9, time.Second))
}

func BenchmarkProbersOfAllGroups(b *testing.B) {
	for _, n := range []int{9, 100, 725, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ring := NewRing(fleet(n, 6))
			for b.Loop() {
				for i := range n {
					ring.Probers(fmt.Sprint("g", i), 3)
				}
			}
		})
	}
}
