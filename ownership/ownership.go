// Package ownership assigns the control of groups, and the designated watchers of the store, to
// VMs. Start with Ring for the assignment and Budget for the rate of calls to the store.
//
// Each VM computes the assignment itself by rendezvous hashing over the VMs that it considers live.
// The VMs therefore need no agreement, and a VM that joins or leaves moves only its own share. Two
// VMs with different sets of live VMs may both consider themselves the owner of a group; the lease
// and the terms of package failover make that harmless.
//
// A group has an owner, which holds its lease, and a few probers in different availability zones,
// of which the owner is the first. No traffic is all-to-all. The fleet's calls to the store have a
// fixed Budget that is independent of the fleet's size.
//
// The package is pure: it makes no calls itself and does not track which VMs are live.
package ownership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"endivemoor.example/endivemoor/membership"
)

// maxTries bounds the rounds of the search for further VMs of a zone.
const maxTries = 8

// Ring is the assignment for one set of live VMs. It is immutable; a new Ring is built when the set
// changes.
type Ring struct {
	vms    map[string]membership.VM
	all    *rendezvous.Rendezvous
	byZone map[string]*rendezvous.Rendezvous
	zones  []string
}

// NewRing returns the assignment for the given VMs, which does not depend on their order.
func NewRing(vms []membership.VM) *Ring {
	r := &Ring{
		vms:    make(map[string]membership.VM, len(vms)),
		byZone: make(map[string]*rendezvous.Rendezvous),
	}
	var ids []string
	members := make(map[string][]string)
	for _, vm := range vms {
		ids = append(ids, vm.ID)
		members[vm.Zone] = append(members[vm.Zone], vm.ID)
		r.vms[vm.ID] = vm
	}
	r.all = rendezvous.New(ids, xxhash.Sum64String)
	for zone, zoneIDs := range members {
		r.zones = append(r.zones, zone)
		r.byZone[zone] = rendezvous.New(zoneIDs, xxhash.Sum64String)
	}
	return r
}

// Owner returns the VM that owns the group, or false if no VM is live.
func (r *Ring) Owner(group string) (membership.VM, bool) {
	vm, ok := r.vms[r.all.Lookup(group)]
	return vm, ok
}

// Probers returns up to k VMs that probe the group's servers, starting with the owner, from as many
// availability zones as possible.
func (r *Ring) Probers(group string, k int) []membership.VM {
	owner, ok := r.Owner(group)
	if !ok || k < 1 {
		return nil
	}
	chosen := []membership.VM{owner}
	zones := r.zonesFor(group, owner.Zone)
	for round := 0; len(chosen) < min(k, len(r.vms)) && round < maxTries; round++ {
		key := group + "#" + strconv.Itoa(round)
		for _, zone := range zones {
			if len(chosen) == k {
				return chosen
			}
			chosen = r.pick(chosen, zone, key)
		}
	}
	return chosen
}

// zonesFor returns the zones in an order that depends on the group, with the zone last at the end.
func (r *Ring) zonesFor(group, last string) []string {
	remaining := make([]string, 0, len(r.zones))
	for _, zone := range r.zones {
		if zone != last {
			remaining = append(remaining, zone)
		}
	}
	out := make([]string, 0, len(r.zones))
	for len(remaining) > 0 {
		next := rendezvous.New(remaining, xxhash.Sum64String).Lookup(group)
		out = append(out, next)
		remaining = without(remaining, next)
	}
	return append(out, last)
}

func without(list []string, x string) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		if s != x {
			out = append(out, s)
		}
	}
	return out
}

// pick appends the zone's VM for key to chosen unless chosen contains it.
func (r *Ring) pick(chosen []membership.VM, zone, key string) []membership.VM {
	id := r.byZone[zone].Lookup(key)
	for _, vm := range chosen {
		if vm.ID == id {
			return chosen
		}
	}
	return append(chosen, r.vms[id])
}

// Watchers returns the designated watchers of topic: up to perZone VMs in each availability zone
// that watch the store. The other VMs receive the updates from them.
func (r *Ring) Watchers(topic string, perZone int) []membership.VM {
	var out []membership.VM
	for _, zone := range r.zones {
		from := len(out)
		for round := 0; len(out)-from < perZone && round < perZone+maxTries; round++ {
			out = r.pick(out, zone, topic+"#"+strconv.Itoa(round))
		}
	}
	return out
}

// Owner returns the group's owner among vms, or false if vms is empty. For more than one group, a
// Ring avoids computing the assignment each time.
func Owner(group string, vms []membership.VM) (membership.VM, bool) {
	return NewRing(vms).Owner(group)
}

// Probers returns up to k probers of the group among vms, starting with the owner.
func Probers(group string, vms []membership.VM, k int) []membership.VM {
	return NewRing(vms).Probers(group, k)
}
