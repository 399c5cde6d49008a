// Package ownership assigns the control of groups, and the few places that read
// the store, to VMs.
//
// Every VM works the assignment out for itself by rendezvous hashing over the
// VMs that it believes live, so that nothing is agreed on and a VM that joins
// or leaves moves only its own share. Two VMs with different beliefs may both
// think that they own a group; the lease and the terms of package failover make
// that harmless.
//
// A group has an owner, which keeps its lease, and a few probers in different
// availability zones, of which the owner is the first: nothing is all-to-all.
// The fleet's calls to the store are a fixed Budget, whatever its size.
//
// The package is pure.
package ownership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"endivemoor.example/endivemoor/membership"
)

// maxTries bounds the search for a further prober of a zone.
const maxTries = 8

// Ring is the assignment for one set of live VMs. It is immutable: a new one is
// built when the set changes.
type Ring struct {
	vms    map[string]membership.VM
	all    *rendezvous.Rendezvous
	byZone map[string]*rendezvous.Rendezvous
	order  []string
}

// NewRing returns the assignment for the given VMs. Their order is of no
// matter.
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
	for zone, of := range members {
		r.order = append(r.order, zone)
		r.byZone[zone] = rendezvous.New(of, xxhash.Sum64String)
	}
	return r
}

// Owner returns the VM that owns the group; false if no VM is live.
func (r *Ring) Owner(group string) (membership.VM, bool) {
	vm, ok := r.vms[r.all.Lookup(group)]
	return vm, ok
}

// Probers returns up to k VMs that probe the group's servers, the owner first
// and then others, from as many availability zones as there are.
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

// zonesFor lists the zones in the group's own order, the owner's zone last.
func (r *Ring) zonesFor(group, last string) []string {
	rest := make([]string, 0, len(r.order))
	for _, zone := range r.order {
		if zone != last {
			rest = append(rest, zone)
		}
	}
	out := make([]string, 0, len(r.order))
	for len(rest) > 0 {
		next := rendezvous.New(rest, xxhash.Sum64String).Lookup(group)
		out = append(out, next)
		rest = without(rest, next)
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

// pick appends the zone's VM for key unless it is chosen already.
func (r *Ring) pick(chosen []membership.VM, zone, key string) []membership.VM {
	id := r.byZone[zone].Lookup(key)
	for _, vm := range chosen {
		if vm.ID == id {
			return chosen
		}
	}
	return append(chosen, r.vms[id])
}

// Watchers returns up to perZone VMs in each availability zone that watch the
// store; the others learn from them. topic names what is watched.
func (r *Ring) Watchers(topic string, perZone int) []membership.VM {
	var out []membership.VM
	for _, zone := range r.order {
		from := len(out)
		for round := 0; len(out)-from < perZone && round < perZone+maxTries; round++ {
			out = r.pick(out, zone, topic+"#"+strconv.Itoa(round))
		}
	}
	return out
}

// Owner returns the group's owner among vms; false if there is none. Use a Ring
// for more than one group.
func Owner(group string, vms []membership.VM) (membership.VM, bool) {
	return NewRing(vms).Owner(group)
}

// Probers returns up to k probers of the group among vms, the owner first.
func Probers(group string, vms []membership.VM, k int) []membership.VM {
	return NewRing(vms).Probers(group, k)
}
