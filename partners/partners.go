// Package partners selects the peers that a VM pulls updates from in one round.
//
// Updates cross the border of an availability zone a fixed number of times in each round, whatever
// the zone's size, and spread within the zone from there: the more VMs share a VM's zone, the more
// rarely it pulls from cross-zone peers instead of same-zone ones. Cross-zone traffic so grows with
// the number of zones, not of VMs, and updates still reach a fleet in a number of rounds that grows
// with the logarithm of its size.
//
// Begin with Peers. The package does no I/O; it does not track which peers are reachable.
//
// # Alternatives
//
// One designated VM for each zone that pulls from the other zones was considered: the VMs would
// have to agree on it, and its zone would receive no updates while it is dead, slow or partitioned.
// Selecting peers from the whole fleet sends most updates over a zone border that a same-zone VM
// has already carried them over.
package partners

import (
	"math/rand/v2"

	"endivemoor.example/endivemoor/catalog"
)

const (
	// PerRound is the number of peers that a VM pulls from in a round.
	PerRound = 2
	// crossZonePerRound is the number of cross-zone peers that the VMs of one zone together pull
	// from in a round: some of them may be dead, slow or without new updates.
	crossZonePerRound = 4
)

// Peers are the peers that one VM may pull from. It is immutable.
type Peers struct {
	sameZone, crossZone []catalog.VM
	// zoneSize is the number of VMs in the zone, this one included.
	zoneSize int
}

// New returns the peers of a VM in a zone, from the fleet's list. It omits VMs without an address.
func New(self, zone string, vms []catalog.VM) *Peers {
	p := &Peers{zoneSize: 1}
	for _, vm := range vms {
		switch {
		case vm.ID == self || vm.Peer == "":
		case vm.Zone == zone:
			p.sameZone = append(p.sameZone, vm)
		default:
			p.crossZone = append(p.crossZone, vm)
		}
	}
	p.zoneSize += len(p.sameZone)
	return p
}

// Empty reports whether there are no peers.
func (p *Peers) Empty() bool { return len(p.sameZone)+len(p.crossZone) == 0 }

// Draw selects the peers of one round among those not in backoff; a nil inBackoff means that none
// is. If there are too few same-zone peers, cross-zone peers replace them, and vice versa.
func (p *Peers) Draw(inBackoff func(vm catalog.VM) bool, rnd *rand.Rand) []catalog.VM {
	sameZone, crossZone := available(p.sameZone, inBackoff), available(p.crossZone, inBackoff)
	crossZoneCount := 0
	for range PerRound {
		if rnd.Float64()*float64(PerRound*p.zoneSize) < crossZonePerRound {
			crossZoneCount++
		}
	}
	sameZoneCount := min(PerRound-min(crossZoneCount, len(crossZone)), len(sameZone))
	crossZoneCount = min(PerRound-sameZoneCount, len(crossZone))
	return append(pick(sameZone, sameZoneCount, rnd), pick(crossZone, crossZoneCount, rnd)...)
}

func available(vms []catalog.VM, inBackoff func(vm catalog.VM) bool) []catalog.VM {
	if inBackoff == nil {
		return vms
	}
	var out []catalog.VM
	for _, vm := range vms {
		if !inBackoff(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// pick selects n different VMs at random; n must not exceed their number.
func pick(vms []catalog.VM, n int, rnd *rand.Rand) []catalog.VM {
	taken := make(map[int]bool, n)
	out := make([]catalog.VM, 0, PerRound)
	for len(out) < n {
		i := rnd.IntN(len(vms))
		if !taken[i] {
			taken[i] = true
			out = append(out, vms[i])
		}
	}
	return out
}
