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
	// probersPerGroup is how many VMs run a group's failover machine. Five VMs are spread over the
	// availability zones, so that VMs of two zones can still agree after the loss of one zone and
	// of one more VM. The number is constant, so that control traffic for a group does not grow
	// with the fleet.
	probersPerGroup = 5
	// watchersPerZone is how many VMs of an availability zone watch the store. All others receive
	// changes from peers, so that the number of watch calls to the store does not grow with the
	// fleet.
	watchersPerZone = 2
	// listInterval is the interval between two reads of the platform's VM list by a watcher, and
	// between two attempts of any VM while the list cannot be read.
	listInterval = 5 * time.Second
	// nonWatcherListInterval is the shortest interval of all other VMs. This interval, and also
	// the longer one that results from their share of the budget at thousands of VMs, stays below
	// the two minutes for which membership considers a VM live on peers' reports alone.
	nonWatcherListInterval = 30 * time.Second
	// watchTopic is the key under which the designated watchers of the store are assigned.
	watchTopic = "store-watch"
)

// Assignment determines which groups this VM probes and whether it watches the store, by
// assignment over the live VMs. Each change of membership replaces it as a whole.
type Assignment struct {
	self string
	ring atomic.Pointer[ownership.Ring]
	// live is the number of live VMs.
	live atomic.Int64
}

// NewAssignment returns the assignment of a VM that has not discovered any other VM yet.
func NewAssignment(self membership.VM) *Assignment {
	a := &Assignment{self: self.ID}
	a.ring.Store(ownership.NewRing([]membership.VM{self}))
	return a
}

// Update recomputes the assignment for the given live VMs.
func (a *Assignment) Update(live []membership.VM) {
	a.ring.Store(ownership.NewRing(live))
	a.live.Store(int64(len(live)))
}

// Probers returns the VMs that run the group's failover machine.
func (a *Assignment) Probers(group string) []membership.VM {
	return a.ring.Load().Probers(group, probersPerGroup)
}

// Probes reports whether this VM runs the group's failover machine.
func (a *Assignment) Probes(group string) bool { return a.includesSelf(a.Probers(group)) }

// Watches reports whether this VM watches the store.
func (a *Assignment) Watches() bool {
	return a.includesSelf(a.ring.Load().Watchers(watchTopic, watchersPerZone))
}

// ListInterval returns how long to wait until the next read of the VM list. succeeded states
// whether the last read succeeded.
//
// Failure guarded against: the fleet grows until its reads of the VM list use up the store's rate
// limit, and lease renewals are refused. The symptom is a call rate that grows with the number of
// VMs. Watchers are few, and all other VMs share a fixed budget; peers inform them of new and dead
// VMs earlier than the list does.
func (a *Assignment) ListInterval(succeeded bool) time.Duration {
	if a.Watches() {
		return listInterval
	}
	least := nonWatcherListInterval
	if !succeeded {
		least = listInterval
	}
	return ownership.DefaultBudget().Interval(store.PurposeVMs, int(a.live.Load()), least)
}

func (a *Assignment) includesSelf(vms []membership.VM) bool {
	return slices.ContainsFunc(vms, func(vm membership.VM) bool { return vm.ID == a.self })
}
