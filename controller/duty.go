package controller

import (
	"slices"
	"sync/atomic"

	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/ownership"
)

const (
	// probersPerGroup is how many VMs run a group's failover machine. Five are
	// spread over the availability zones, so that two zones can agree while one
	// zone and one VM more are gone; and control does not grow with the fleet.
	probersPerGroup = 5
	// watchersPerZone is how many VMs of an availability zone watch the store;
	// the rest learn from peers, so calls to the store do not grow either.
	watchersPerZone = 2
	// watchTopic names the watchers' duty in the assignment.
	watchTopic = "store-watch"
)

// Duty says what this VM has to do, by the assignment over the live VMs. It is
// replaced as a whole on each change of membership.
type Duty struct {
	self string
	ring atomic.Pointer[ownership.Ring]
}

// NewDuty returns the duties of the VM while it knows of no other.
func NewDuty(self membership.VM) *Duty {
	d := &Duty{self: self.ID}
	d.ring.Store(ownership.NewRing([]membership.VM{self}))
	return d
}

// Update takes the live VMs.
func (d *Duty) Update(live []membership.VM) { d.ring.Store(ownership.NewRing(live)) }

// Probers returns the VMs that control a group.
func (d *Duty) Probers(group string) []membership.VM {
	return d.ring.Load().Probers(group, probersPerGroup)
}

// Probes reports whether this VM controls the group.
func (d *Duty) Probes(group string) bool { return d.among(d.Probers(group)) }

// Watches reports whether this VM watches the store.
func (d *Duty) Watches() bool {
	return d.among(d.ring.Load().Watchers(watchTopic, watchersPerZone))
}

func (d *Duty) among(vms []membership.VM) bool {
	return slices.ContainsFunc(vms, func(vm membership.VM) bool { return vm.ID == d.self })
}
