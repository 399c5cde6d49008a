package partners

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
)

// fleetOf returns a fleet whose VMs are spread evenly over its zones.
func fleetOf(vms, zones int) []catalog.VM {
	out := make([]catalog.VM, vms)
	for i := range out {
		out[i] = catalog.VM{ID: fmt.Sprint("vm", i), Zone: fmt.Sprint("zone", i%zones), Peer: fmt.Sprint("peer", i)}
	}
	return out
}

// spreadUpdate runs rounds of pulls by all VMs until an update has spread from a few VMs to all. It
// returns the number of rounds and the cross-zone pulls per round.
func spreadUpdate(vms, zones, initial int, rnd *rand.Rand) (rounds int, crossZonePulls float64) {
	fleet := fleetOf(vms, zones)
	number := make(map[string]int, vms)
	updated := make([]bool, vms)
	peers := make([]*Peers, vms)
	for i, vm := range fleet {
		number[vm.ID] = i
		updated[i] = i < initial
		peers[i] = New(vm.ID, vm.Zone, fleet)
	}
	crossZone := 0
	for remaining := vms - initial; remaining > 0; rounds++ {
		updatedBefore := append([]bool{}, updated...)
		for i := range fleet {
			for _, vm := range peers[i].Draw(nil, rnd) {
				if vm.Zone != fleet[i].Zone {
					crossZone++
				}
				if updatedBefore[number[vm.ID]] && !updated[i] {
					updated[i] = true
					remaining--
				}
			}
		}
	}
	return rounds, float64(crossZone) / float64(rounds)
}

// Guards against: cross-zone traffic that grows with the fleet. If hundreds of VMs select peers
// from the whole fleet, most of their pulls cross a zone border that a VM of the same zone has
// already carried the update over. A configuration must still be in force everywhere six seconds
// after it was accepted. A hanging watch takes four tenths of that, which leaves eighteen rounds of
// 200 ms.
func TestUpdatesCrossZonesSeldomAndReachAllVMs(t *testing.T) {
	const maxRounds = 18
	for _, size := range []struct{ vms, zones int }{{3, 3}, {9, 3}, {7, 4}, {30, 3}, {59, 5}, {200, 5}, {1000, 5}} {
		t.Run(fmt.Sprintf("%d VMs in %d zones", size.vms, size.zones), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, uint64(size.vms)))
			slowest, crossZone := 0, 0.0
			const runs = 5
			for range runs {
				rounds, pulls := spreadUpdate(size.vms, size.zones, min(2, size.vms), rnd)
				slowest, crossZone = max(slowest, rounds), crossZone+pulls/runs
			}
			t.Logf("%d rounds, %.1f cross-zone pulls in each", slowest, crossZone)
			require.LessOrEqual(t, slowest, maxRounds)
			if size.vms/size.zones > crossZonePerRound {
				require.LessOrEqual(t, crossZone, 2*float64(crossZonePerRound*size.zones), "twice the number of cross-zone pulls that the zones are meant to make")
			}
		})
	}
}

// Guards against: a VM that pulls from fewer peers than it could. Its zone has lost all other VMs,
// or some peers do not answer.
func TestDrawReplacesUnavailablePeers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	fleet := fleetOf(6, 2)
	require.Len(t, New("new", "elsewhere", fleet).Draw(nil, rnd), PerRound)
	require.Len(t, New("vm0", "zone0", fleet[:2]).Draw(nil, rnd), 1)
	require.Empty(t, New("vm0", "zone0", fleet[:1]).Draw(nil, rnd))
	peers := New("vm0", "zone0", fleet)
	for range 20 {
		drawn := peers.Draw(func(vm catalog.VM) bool { return vm.Zone != "zone0" }, rnd)
		require.Len(t, drawn, PerRound)
		require.NotEqual(t, drawn[0].ID, drawn[1].ID)
		drawn = peers.Draw(func(vm catalog.VM) bool { return vm.Zone == "zone0" }, rnd)
		require.Len(t, drawn, PerRound)
	}
}

// Guards against: a round of pulls that checks every VM of the fleet.
func TestDrawChecksFewPeersWhateverTheFleet(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 3))
	for _, vms := range []int{30, 300, 1000, 3000} {
		fleet, checked, rounds := fleetOf(vms, 5), 0, 100
		peers := New("vm0", "zone0", fleet)
		for range rounds {
			drawn := peers.Draw(func(vm catalog.VM) bool { checked++; return len(vm.ID)%2 == 0 && vms > 100 }, rnd)
			require.Len(t, drawn, PerRound)
		}
		require.Less(t, checked, rounds*PerRound*drawTries)
	}
}

// Guards against: peers that are drawn again and again while others are not. Half of them are in
// backoff.
func TestDrawIsEvenAmongAvailablePeers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 4))
	peers, times := New("new", "zone0", fleetOf(40, 1)), make(map[string]int)
	const rounds = 4000
	for range rounds {
		for _, vm := range peers.Draw(func(vm catalog.VM) bool { return len(vm.ID) == 3 }, rnd) {
			times[vm.ID]++
		}
	}
	require.Len(t, times, 30)
	for vm, n := range times {
		require.InDelta(t, rounds*PerRound/30, n, rounds*PerRound/30/3, vm)
	}
}
