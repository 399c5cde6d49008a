package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/target"
)

// ListChange is the difference between one state of a list, the fleet's or that of the targets, and
// a later one. It is immutable.
//
// With it, a VM that joins costs the others the size of its entry and not of the full list.
type ListChange[V ListEntry] struct {
	// From and To are revisions of the store.
	From, To int64
	// Updated are the entries that were added or changed.
	Updated []V
	// Removed are the names of the entries that were removed.
	Removed []string
	// Digest is the digest of the list that the change leads to.
	Digest uint64
}

// ListEntry is an entry of a list.
type ListEntry interface {
	comparable
	// Name identifies the entry within its list.
	Name() string
	// fields are all values of the entry, as the digest covers them.
	fields() []string
}

// Name implements ListEntry.
func (vm VM) Name() string { return vm.ID }

func (vm VM) fields() []string {
	out := []string{vm.ID, vm.Zone, vm.Peer, vm.Incarnation, strconv.FormatFloat(vm.Capacity, 'g', -1, 64)}
	if vm.Expiring {
		// Digests of other entries stay those of versions that do not know the field.
		out = append(out, "expiring")
	}
	if vm.Condition != Normal {
		out = append(out, "condition="+string(vm.Condition))
	}
	return out
}

// Name implements ListEntry.
func (t Target) Name() string { return string(t.ID) }

func (t Target) fields() []string {
	return []string{string(t.ID), t.Service, t.Addr, t.Zone, strconv.Itoa(t.Slots), strconv.FormatBool(t.Draining), t.Role.String(), strconv.FormatInt(t.Incarnation, 10)}
}

// digestOf returns the digest of an entry. The digest of a list is the sum of those of its entries: it
// does not depend on their order, and a change of the list costs the size of the change.
func digestOf[V ListEntry](v V) uint64 {
	h := xxhash.New()
	for _, field := range v.fields() {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// differenceOfTargets returns the change that leads from one list to another, without its revisions
// and digest.
func differenceOfTargets(from, to map[target.ID]*Target) *ListChange[Target] {
	out := &ListChange[Target]{}
	added := 0
	for id, t := range to {
		old := from[id]
		if old == nil {
			added++
		}
		if old != t && (old == nil || *old != *t) {
			out.Updated = append(out.Updated, *t)
		}
	}
	if len(from)+added == len(to) {
		return out
	}
	for id := range from {
		if to[id] == nil {
			out.Removed = append(out.Removed, string(id))
		}
	}
	return out
}

// DifferenceOfVMs returns the change that leads from one list to another, both in the order of the
// names, without its revisions and digest.
func DifferenceOfVMs(from, to []VM) *ListChange[VM] {
	out := &ListChange[VM]{}
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || (len(from) > 0 && from[0].ID < to[0].ID):
			out.Removed = append(out.Removed, from[0].ID)
			from = from[1:]
		case len(from) == 0 || to[0].ID < from[0].ID:
			out.Updated = append(out.Updated, to[0])
			to = to[1:]
		default:
			if from[0] != to[0] {
				out.Updated = append(out.Updated, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return out
}

func (c *ListChange[V]) from() int64 { return c.From }

func (c *ListChange[V]) entries() int { return len(c.Updated) + len(c.Removed) }

// digestAfter returns the digest of a list after the change, from its digest before; find looks up an
// entry of the list before.
func (c *ListChange[V]) digestAfter(digest uint64, find func(name string) (V, bool)) uint64 {
	for _, v := range c.Updated {
		if old, ok := find(v.Name()); ok {
			digest -= digestOf(old)
		}
		digest += digestOf(v)
	}
	for _, name := range c.Removed {
		if old, ok := find(name); ok {
			digest -= digestOf(old)
		}
	}
	return digest
}

// DigestOfTargets returns the digest of a list of targets, by which lists are compared.
func DigestOfTargets(targets map[target.ID]*Target) uint64 {
	sum := uint64(0)
	for _, t := range targets {
		sum += digestOf(*t)
	}
	return sum
}

// ApplyVMs returns the result of a change on the fleet's list of a catalog; false if the result does
// not have the digest of the change.
//
// Failure guarded against: the lists of two VMs differ at the same revision, because a list of many
// pages may hold entries that are newer than its revision, and because a target is retained for some
// time after its entry expired. The change of one VM's list is then not the complete change of the
// other's, and a part of the fleet permanently lacks some VMs or targets. The digest covers the full
// list of the VM that sends the change.
func ApplyVMs(c *ListChange[VM], base *Catalog) ([]VM, bool) {
	if c.digestAfter(base.fleetDigest, base.VM) != c.Digest {
		return nil, false
	}
	out := slices.Clone(base.VMs)
	for _, vm := range c.Updated {
		at, known := slices.BinarySearchFunc(out, vm, byName)
		if known {
			out[at] = vm
			continue
		}
		out = slices.Insert(out, at, vm)
	}
	for _, name := range c.Removed {
		if at, known := slices.BinarySearchFunc(out, VM{ID: name}, byName); known {
			out = slices.Delete(out, at, at+1)
		}
	}
	return out, true
}

func byName(a, b VM) int { return cmp.Compare(a.ID, b.ID) }

// ApplyTargets is ApplyVMs for the list of targets.
func ApplyTargets(c *ListChange[Target], base *Catalog) (map[target.ID]*Target, bool) {
	if c.digestAfter(base.targetsDigest, base.target) != c.Digest {
		return nil, false
	}
	out := maps.Clone(base.Targets)
	if out == nil {
		out = make(map[target.ID]*Target, len(c.Updated))
	}
	for i := range c.Updated {
		out[c.Updated[i].ID] = &c.Updated[i]
	}
	for _, name := range c.Removed {
		delete(out, target.ID(name))
	}
	return out, true
}

// target returns the named target's entry; false if the list has no such target.
func (c *Catalog) target(name string) (Target, bool) {
	if t := c.Targets[target.ID(name)]; t != nil {
		return *t, true
	}
	return Target{}, false
}

// history holds the latest changes of a list, the oldest first; each starts from the revision that
// the previous one ends with.
type history[V ListEntry] []*ListChange[V]

// next returns the history with one more change, to a list of the given size. The first list starts
// an empty history.
func (h history[V]) next(change *ListChange[V], before, after int64, size int) history[V] {
	if before == 0 {
		return nil
	}
	change.From, change.To = before, after
	return appendBounded(h, change, size)
}

// since returns the change that leads from a revision to the current list, in which find looks up an
// entry; nil if the changes since that revision are not retained, or if the change has no fewer
// entries than the full list.
//
// The revision need not be one at which this list changed: VMs that watch the store receive its
// changes in different batches. The change then contains entries that the other list has already,
// and the digest shows whether it leads to the same list.
func (h history[V]) since(revision int64, size int, find func(name string) (V, bool)) *ListChange[V] {
	if len(h) == 0 || revision < h[0].From {
		return nil
	}
	// A step may begin and end at the same revision, as when a target's grace period ends.
	first := slices.IndexFunc(h, func(c *ListChange[V]) bool { return c.To > revision || c.From == revision })
	if first < 0 {
		return nil
	}
	chain := h[first:]
	last := chain[len(chain)-1]
	out := &ListChange[V]{From: revision, To: last.To, Digest: last.Digest}
	touched := make(map[string]bool)
	for _, step := range chain {
		for _, v := range step.Updated {
			touched[v.Name()] = true
		}
		for _, name := range step.Removed {
			touched[name] = true
		}
	}
	for name := range touched {
		if v, ok := find(name); ok {
			out.Updated = append(out.Updated, v)
			continue
		}
		out.Removed = append(out.Removed, name)
	}
	if out.entries() >= size {
		return nil
	}
	return out
}

// FleetSince returns the change of the fleet's list since a revision, at which it had a digest, or 0
// if that is not known; nil if the full list must be sent.
//
// Failure guarded against: the VMs of a fleet that starts read the same list at different revisions.
// None of them remembers how the others came to theirs, and each sends every other the full list.
func (c *Catalog) FleetSince(revision int64, digest uint64) *ListChange[VM] {
	if digest != 0 && digest == c.fleetDigest {
		return &ListChange[VM]{From: revision, To: c.FleetRevision, Digest: digest}
	}
	return c.fleetHistory.since(revision, len(c.VMs), c.VM)
}

// TargetsSince is FleetSince for the list of targets.
func (c *Catalog) TargetsSince(revision int64, digest uint64) *ListChange[Target] {
	if digest != 0 && digest == c.targetsDigest {
		return &ListChange[Target]{From: revision, To: c.TargetsRevision, Digest: digest}
	}
	return c.targetsHistory.since(revision, len(c.Targets), c.target)
}
