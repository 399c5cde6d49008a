package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const (
	ownersPerWorkspace = 3
	// settlePeriod is how long a VM waits before it acts as an owner in place of a VM that is
	// still alive: the former owner has received the new list by then.
	settlePeriod = 1500 * time.Millisecond
	// historyRetention is how long replaced assignments are retained: a VM that has been an
	// owner for this long has a full bucket, so that the earlier history is not needed.
	historyRetention = 10 * time.Second
)

// Assignment is the mapping of workspaces to owners by one version of the fleet's list. It
// is safe for concurrent use.
type Assignment struct {
	self  string
	vms   []catalog.VM
	since clock.Time
	// previous is the assignment that this one has replaced, while that is retained.
	previous *Assignment

	mu     sync.Mutex
	owners map[string][]catalog.VM
}

// NewAssignment returns a VM's assignment for a fleet's list that it has just received.
func NewAssignment(self string, vms []catalog.VM, now clock.Time) *Assignment {
	return &Assignment{self: self, vms: vms, since: now, owners: make(map[string][]catalog.VM)}
}

// Next returns the assignment for a later version of the list. An empty list is ignored.
func (a *Assignment) Next(vms []catalog.VM, now clock.Time) *Assignment {
	if len(vms) == 0 || a.Matches(vms) {
		return a
	}
	next := NewAssignment(a.self, vms, now)
	if len(a.vms) > 0 {
		next.previous = a
		next.pruneHistory(now)
	}
	return next
}

// Matches reports whether the assignment was made from the list, or from one that results
// in the same owners.
func (a *Assignment) Matches(vms []catalog.VM) bool {
	return slices.EqualFunc(a.vms, vms, func(x, y catalog.VM) bool { return x.ID == y.ID && x.Zone == y.Zone && x.Peer == y.Peer })
}

// pruneHistory drops the assignments that were replaced longer than historyRetention ago.
func (a *Assignment) pruneHistory(now clock.Time) {
	for q := a; q != nil; q = q.previous {
		if now.Sub(q.since) >= historyRetention {
			q.previous = nil
		}
	}
}

// Owners returns the owners of a workspace.
func (a *Assignment) Owners(workspace string) []catalog.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	out, ok := a.owners[workspace]
	if !ok {
		out = chooseOwners(workspace, a.vms)
		a.owners[workspace] = out
	}
	return out
}

// Share is a VM's share of a workspace's limit, which is divided equally among the owners.
type Share struct {
	// Owners is the number of owners of the workspace; 0 if the VM is not an owner, or does
	// not act as one yet.
	Owners int
	// Since is a time since which the VM has been an owner.
	Since clock.Time
}

// Share returns this VM's share of a workspace's limit.
func (a *Assignment) Share(workspace string, now clock.Time) Share {
	out := Share{Owners: len(a.Owners(workspace))}
	q := a
	for ; q != nil && q.owns(workspace); q = q.previous {
		out.Since = q.since
	}
	if q == a || (q != nil && now.Sub(out.Since) < settlePeriod && a.displacesActiveOwner(q.Owners(workspace), workspace)) {
		return Share{}
	}
	return out
}

// displacesActiveOwner reports whether one of the former owners of a workspace is still on
// the list but no longer an owner: it goes on granting tokens until it has received the new
// list. A VM that is no longer on the list stopped granting before its entry was removed.
func (a *Assignment) displacesActiveOwner(former []catalog.VM, workspace string) bool {
	return slices.ContainsFunc(former, func(vm catalog.VM) bool {
		is := func(other catalog.VM) bool { return other.ID == vm.ID }
		return slices.ContainsFunc(a.vms, is) && !slices.ContainsFunc(a.Owners(workspace), is)
	})
}

func (a *Assignment) owns(workspace string) bool {
	return slices.ContainsFunc(a.Owners(workspace), func(vm catalog.VM) bool { return vm.ID == a.self })
}

// Nearest returns the owners in the order in which a VM of a zone requests tokens from them.
func (a *Assignment) Nearest(workspace, zone string) []catalog.VM {
	out := slices.Clone(a.Owners(workspace))
	rank := func(vm catalog.VM) uint64 {
		if vm.Zone == zone {
			return 0
		}
		return max(hash(a.self, workspace, vm.ID), 1)
	}
	slices.SortStableFunc(out, func(x, y catalog.VM) int { return cmp.Compare(rank(x), rank(y)) })
	return out
}

// candidate is a VM with its rank within its zone; 0 is the first.
type candidate struct {
	vm   catalog.VM
	rank int
}

// chooseOwners selects owners by rendezvous hashing, so that a VM that joins or leaves
// changes the owners of few workspaces. It spreads them over as many zones as there are.
func chooseOwners(workspace string, vms []catalog.VM) []catalog.VM {
	byZone := make(map[string][]catalog.VM)
	for _, vm := range vms {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	var all []candidate
	for _, zone := range byZone {
		slices.SortFunc(zone, func(a, b catalog.VM) int {
			return cmp.Or(cmp.Compare(hash(workspace, a.ID), hash(workspace, b.ID)), cmp.Compare(a.ID, b.ID))
		})
		for i, vm := range zone[:min(ownersPerWorkspace, len(zone))] {
			all = append(all, candidate{vm, i})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(hash(workspace, a.vm.Zone), hash(workspace, b.vm.Zone)), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	out := make([]catalog.VM, 0, ownersPerWorkspace)
	for _, c := range all[:min(ownersPerWorkspace, len(all))] {
		out = append(out, c.vm)
	}
	return out
}

func hash(names ...string) uint64 {
	d := xxhash.New()
	for _, name := range names {
		_, _ = d.WriteString(name)
		_, _ = d.WriteString("/")
	}
	return d.Sum64()
}
