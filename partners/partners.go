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
	crossZoneCount := 0
	for range PerRound {
		if rnd.Float64()*float64(PerRound*p.zoneSize) < crossZonePerRound {
			crossZoneCount++
		}
	}
	d := drawing{inBackoff: inBackoff, rnd: rnd, drawn: make([]catalog.VM, 0, PerRound)}
	d.draw(p.crossZone, crossZoneCount)
	d.draw(p.sameZone, PerRound-len(d.drawn))
	d.draw(p.crossZone, PerRound-len(d.drawn))
	return d.drawn
}

// drawing is the selection of the peers of one round.
type drawing struct {
	inBackoff func(vm catalog.VM) bool
	rnd       *rand.Rand
	drawn     []catalog.VM
}

// drawTries is how often a peer is drawn at random before all peers are checked for those that are
// available: with half of a fleet in backoff, 16 draws find none in one of 65,000 cases.
const drawTries = 16

// draw adds n different available VMs at random, or all that there are.
//
// Failure guarded against: each VM of a large fleet checks every other VM in each round.
func (d *drawing) draw(vms []catalog.VM, n int) {
	n += len(d.drawn)
	for tries := 0; len(d.drawn) < n && tries < drawTries && len(vms) > 0; tries++ {
		if vm := vms[d.rnd.IntN(len(vms))]; d.available(vm) {
			d.drawn = append(d.drawn, vm)
		}
	}
	if len(d.drawn) == n {
		return
	}
	var rest []catalog.VM
	for _, vm := range vms {
		if d.available(vm) {
			rest = append(rest, vm)
		}
	}
	d.rnd.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	d.drawn = append(d.drawn, rest[:min(n-len(d.drawn), len(rest))]...)
}

// available reports whether a VM is neither drawn already nor in backoff.
func (d *drawing) available(vm catalog.VM) bool {
	for _, other := range d.drawn {
		if other.ID == vm.ID {
			return false
		}
	}
	return d.inBackoff == nil || !d.inBackoff(vm)
}
