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

// Every VM works its duties out for itself. If two VMs with the same members
// disagreed, a group would be watched by nobody and its dead primary stay.
func TestEveryGroupHasProbersInSeveralZonesThatKnowIt(t *testing.T) {
	vms := fleet(9, 3)
	for g := range 50 {
		group := fmt.Sprintf("group-%d", g)
		zones := map[string]bool{}
		probers := 0
		for _, vm := range vms {
			d := NewDuty(vm)
			d.Update(vms)
			if d.Probes(group) {
				probers++
				zones[vm.Zone] = true
			}
		}
		require.Equal(t, probersPerGroup, probers)
		require.Len(t, zones, 3)
	}
}

// The fleet grows from 9 to 900 VMs. Were every VM to watch the store, the
// waiting calls alone would take its whole rate.
func TestStoreWatchersDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{9, 900} {
		watchers := 0
		vms := fleet(n, 3)
		d := NewDuty(vms[0])
		d.Update(vms)
		for _, vm := range vms {
			one := &Duty{self: vm.ID}
			one.ring.Store(d.ring.Load())
			if one.Watches() {
				watchers++
			}
		}
		require.Equal(t, 3*watchersPerZone, watchers)
	}
}

// The fleet grows from 9 to 2,900 VMs. Were every VM to read the list as often
// as a watcher, that alone would be 580 calls a second. All together they stay
// within the share, and no VM waits longer than its peers' word keeps others live.
func TestReadsOfTheVMListStayWithinTheirShare(t *testing.T) {
	for _, n := range []int{3, 9, 27, 900, 2900} {
		vms := fleet(n, 6)
		ring := NewDuty(vms[0])
		ring.Update(vms)
		perSecond := 0.0
		for _, vm := range vms {
			one := &Duty{self: vm.ID}
			one.ring.Store(ring.ring.Load())
			one.live.Store(int64(n))
			perSecond += 1 / one.ListInterval(true).Seconds()
			require.Less(t, one.ListInterval(true), 2*time.Minute)
			require.GreaterOrEqual(t, one.ListInterval(false), listEvery, "also while the store is down")
		}
		require.Less(t, perSecond, 33.0, "%d VMs", n)
	}
}
