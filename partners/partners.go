// Package partners decides which peers a VM pulls news from in one round.
//
// News cross the border of an availability zone a fixed number of times in each
// round, whatever the zone's size, and spread within the zone from there: a VM asks
// far peers the more seldom the more VMs share its zone, and near ones else. Bytes
// between zones so grow with the number of zones, not of VMs, and news still reach
// a fleet in a number of rounds that grows with the logarithm of its size.
//
// # Alternatives
//
// One VM a zone that asks the others was weighed: it has to be agreed on, and its
// zone hears nothing while it is dead, slow or cut off. Drawing peers from the whole
// fleet sends most news over a border that somebody nearby has carried already.
//
// The package is pure.
package partners

import (
	"math/rand/v2"

	"endivemoor.example/endivemoor/catalog"
)

const (
	// PerRound is how many peers a VM asks in a round.
	PerRound = 2
	// farPerRound is how many far peers the VMs of one zone ask together in a round:
	// some may be dead, slow or know nothing new.
	farPerRound = 4
)

// Peers are those that one VM may ask. It is immutable.
type Peers struct {
	near, far []catalog.VM
	// all is how many VMs the zone has, this one included.
	all int
}

// Of returns the peers of a VM in a zone, by the fleet's list. A VM without an
// address cannot be asked.
func Of(self, zone string, vms []catalog.VM) *Peers {
	p := &Peers{all: 1}
	for _, vm := range vms {
		switch {
		case vm.ID == self || vm.Peer == "":
		case vm.Zone == zone:
			p.near = append(p.near, vm)
		default:
			p.far = append(p.far, vm)
		}
	}
	p.all += len(p.near)
	return p
}

// None reports whether there is nobody to ask.
func (p *Peers) None() bool { return len(p.near)+len(p.far) == 0 }

// Draw chooses the peers of one round among those that do not rest; nil is that none
// does. If there are too few near peers, far ones take their place, and the other way
// round.
func (p *Peers) Draw(rests func(vm catalog.VM) bool, rnd *rand.Rand) []catalog.VM {
	near, far := awake(p.near, rests), awake(p.far, rests)
	fromFar := 0
	for range PerRound {
		if rnd.Float64()*float64(PerRound*p.all) < farPerRound {
			fromFar++
		}
	}
	fromNear := min(PerRound-min(fromFar, len(far)), len(near))
	fromFar = min(PerRound-fromNear, len(far))
	return append(pick(near, fromNear, rnd), pick(far, fromFar, rnd)...)
}

func awake(vms []catalog.VM, rests func(vm catalog.VM) bool) []catalog.VM {
	if rests == nil {
		return vms
	}
	var out []catalog.VM
	for _, vm := range vms {
		if !rests(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// pick draws n different VMs; there are at least as many.
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
