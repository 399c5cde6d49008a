package controller

import (
	"slices"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/ownership"
	"endivemoor.example/endivemoor/store"
)

const (
	// probersPerGroup is how many VMs run a group's failover machine. Five are
	// spread over the availability zones, so that two zones can agree while one
	// zone and one VM more are gone; and control does not grow with the fleet.
	probersPerGroup = 5
	// watchersPerZone is how many VMs of an availability zone watch the store;
	// the rest learn from peers, so calls to the store do not grow either.
	watchersPerZone = 2
	// listEvery is the interval between a watcher's reads of the platform's VM
	// list, and of tries while it cannot be read.
	listEvery = 5 * time.Second
	// listSeldom is the least interval of all other VMs. It stays, as their
	// share of the budget does at thousands of VMs, below the two minutes that
	// membership keeps a VM live on its peers' word alone.
	listSeldom = 30 * time.Second
	// watchTopic names the watchers' duty in the assignment.
	watchTopic = "store-watch"
)

// Duty says what this VM has to do, by the assignment over the live VMs. It is
// replaced as a whole on each change of membership.
type Duty struct {
	self string
	ring atomic.Pointer[ownership.Ring]
	// live is how many VMs are live.
	live atomic.Int64
}

// NewDuty returns the duties of the VM while it knows of no other.
func NewDuty(self membership.VM) *Duty {
	d := &Duty{self: self.ID}
	d.ring.Store(ownership.NewRing([]membership.VM{self}))
	return d
}

// Update takes the live VMs.
func (d *Duty) Update(live []membership.VM) {
	d.ring.Store(ownership.NewRing(live))
	d.live.Store(int64(len(live)))
}

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

// ListInterval returns how long to wait until the next read of the VM list.
//
// Failure guarded against: the fleet grows until its reads of the list alone
// eat the store's rate, and leases are refused. It shows as calls a second that
// grow with the VMs. Watchers are few, and the others share a fixed budget; they
// hear of new and dead VMs from peers first anyway.
func (d *Duty) ListInterval(known bool) time.Duration {
	if d.Watches() {
		return listEvery
	}
	least := listSeldom
	if !known {
		least = listEvery
	}
	return ownership.DefaultBudget().Interval(store.PurposeVMs, int(d.live.Load()), least)
}

func (d *Duty) among(vms []membership.VM) bool {
	return slices.ContainsFunc(vms, func(vm membership.VM) bool { return vm.ID == d.self })
}
