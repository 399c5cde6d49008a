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
	// parts is how many owners a workspace has.
	parts = 3
	// settleAfter is how long a VM waits before it acts as an owner in the place of another
	// that lives: the former one has learned of it by then.
	settleAfter = 1500 * time.Millisecond
	// remembered is how long replaced lists are kept: an owner for so long has a full
	// bucket, and need not prove more.
	remembered = 10 * time.Second
)

// Plan says who owns which workspace, by one state of the fleet's list. It is safe for
// concurrent use.
type Plan struct {
	self  string
	vms   []catalog.VM
	since clock.Time
	// before is the plan that this one has replaced, for as long as that is remembered.
	before *Plan

	mu sync.Mutex
	of map[string][]catalog.VM
}

// NewPlan returns a VM's plan of a fleet that it has just learned of.
func NewPlan(self string, vms []catalog.VM, now clock.Time) *Plan {
	return &Plan{self: self, vms: vms, since: now, of: make(map[string][]catalog.VM)}
}

// Next returns the plan for a later state of the list. An empty list tells nothing.
func (p *Plan) Next(vms []catalog.VM, now clock.Time) *Plan {
	if len(vms) == 0 || p.IsOf(vms) {
		return p
	}
	next := NewPlan(p.self, vms, now)
	if len(p.vms) > 0 {
		next.before = p
		next.forget(now)
	}
	return next
}

// IsOf reports whether the plan is of a list, or of one that makes the same owners.
func (p *Plan) IsOf(vms []catalog.VM) bool {
	return slices.EqualFunc(p.vms, vms, func(a, b catalog.VM) bool { return a.ID == b.ID && a.Zone == b.Zone && a.Peer == b.Peer })
}

// forget drops the plans that were replaced long ago.
func (p *Plan) forget(now clock.Time) {
	for q := p; q != nil; q = q.before {
		if now.Sub(q.since) >= remembered {
			q.before = nil
		}
	}
}

// Owners returns the owners of a workspace.
func (p *Plan) Owners(workspace string) []catalog.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, ok := p.of[workspace]
	if !ok {
		out = choose(workspace, p.vms)
		p.of[workspace] = out
	}
	return out
}

// Part is what a VM owns of a workspace's limit: one of so many equal parts. Of is 0 if
// it owns none, or does not yet.
type Part struct {
	Of int
	// Since is a moment from which on it has been the owner.
	Since clock.Time
}

// Part returns what this VM owns of a workspace's limit.
func (p *Plan) Part(workspace string, now clock.Time) Part {
	out := Part{Of: len(p.Owners(workspace))}
	q := p
	for ; q != nil && q.owns(workspace); q = q.before {
		out.Since = q.since
	}
	if q == p || (q != nil && now.Sub(out.Since) < settleAfter && p.displaces(q.Owners(workspace), workspace)) {
		return Part{}
	}
	return out
}

// displaces reports whether one of some former owners of a workspace is on the list still,
// and no owner any more: it goes on until it has learned of that. One that is off the list
// has stopped before.
func (p *Plan) displaces(former []catalog.VM, workspace string) bool {
	return slices.ContainsFunc(former, func(vm catalog.VM) bool {
		is := func(other catalog.VM) bool { return other.ID == vm.ID }
		return slices.ContainsFunc(p.vms, is) && !slices.ContainsFunc(p.Owners(workspace), is)
	})
}

func (p *Plan) owns(workspace string) bool {
	return slices.ContainsFunc(p.Owners(workspace), func(vm catalog.VM) bool { return vm.ID == p.self })
}

// Nearest returns the owners in the order in which a VM of a zone asks them.
func (p *Plan) Nearest(workspace, zone string) []catalog.VM {
	out := slices.Clone(p.Owners(workspace))
	rank := func(vm catalog.VM) uint64 {
		if vm.Zone == zone {
			return 0
		}
		return max(hash(p.self, workspace, vm.ID), 1)
	}
	slices.SortStableFunc(out, func(a, b catalog.VM) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

// candidate is a VM with its rank within its zone, 0 being the first.
type candidate struct {
	vm   catalog.VM
	rank int
}

// choose draws owners by rendezvous hashing, of as many zones as there are, so that a VM
// which joins or goes changes few workspaces' owners.
func choose(workspace string, vms []catalog.VM) []catalog.VM {
	byZone := make(map[string][]catalog.VM)
	for _, vm := range vms {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	var all []candidate
	for _, zone := range byZone {
		slices.SortFunc(zone, func(a, b catalog.VM) int {
			return cmp.Or(cmp.Compare(hash(workspace, a.ID), hash(workspace, b.ID)), cmp.Compare(a.ID, b.ID))
		})
		for i, vm := range zone[:min(parts, len(zone))] {
			all = append(all, candidate{vm, i})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(hash(workspace, a.vm.Zone), hash(workspace, b.vm.Zone)), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	out := make([]catalog.VM, 0, parts)
	for _, c := range all[:min(parts, len(all))] {
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
