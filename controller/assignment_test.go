package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/membership"
)

func fleet(n, zones int) []membership.VM {
	out := make([]membership.VM, n)
	for i := range out {
		out[i] = membership.VM{ID: fmt.Sprintf("p%d", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return out
}

// Every VM computes its assignment on its own. If two VMs with the same members disagreed, a group
// could be left without probers, and a dead primary would not be replaced.
func TestVMsAgreeOnTheProbersOfEveryGroup(t *testing.T) {
	vms := fleet(9, 3)
	for g := range 50 {
		group := fmt.Sprintf("group-%d", g)
		zones := map[string]bool{}
		probers := 0
		for _, vm := range vms {
			a := NewAssignment(vm)
			a.Update(vms)
			if a.Probes(group) {
				probers++
				zones[vm.Zone] = true
			}
		}
		require.Equal(t, probersPerGroup, probers)
		require.Len(t, zones, 3)
	}
}

// The fleet grows from 9 to 900 VMs. If every VM watched the store, the waiting calls alone would
// use up the store's rate limit.
func TestStoreWatchersDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{9, 900} {
		watchers := 0
		vms := fleet(n, 3)
		a := NewAssignment(vms[0])
		a.Update(vms)
		for _, vm := range vms {
			one := &Assignment{self: vm.ID}
			one.ring.Store(a.ring.Load())
			if one.Watches() {
				watchers++
			}
		}
		require.Equal(t, 3*watchersPerZone, watchers)
	}
}

// The fleet grows from 9 to 2,900 VMs. If every VM read the VM list as often as a watcher does,
// the reads would amount to 580 calls a second. All VMs together must stay within their share of
// the budget, and no VM may wait longer than membership considers others live on peers' reports
// alone.
func TestReadsOfTheVMListStayWithinTheirShare(t *testing.T) {
	for _, n := range []int{3, 9, 27, 900, 2900} {
		vms := fleet(n, 6)
		ring := NewAssignment(vms[0])
		ring.Update(vms)
		perSecond := 0.0
		for _, vm := range vms {
			one := &Assignment{self: vm.ID}
			one.ring.Store(ring.ring.Load())
			one.live.Store(int64(n))
			perSecond += 1 / one.ListInterval(true).Seconds()
			require.Less(t, one.ListInterval(true), 2*time.Minute)
			require.GreaterOrEqual(t, one.ListInterval(false), listInterval, "also while the store is down")
		}
		require.Less(t, perSecond, 33.0, "%d VMs", n)
	}
}
