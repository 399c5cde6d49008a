// Package gateways decides which VMs hold the connections to a target where
// there are too few for every VM of the fleet to hold its own, or where so many VMs
// would overfill the target's queue. The others send their statements through
// them.
//
// Each VM computes the same answer from the fleet's list, without a word to the
// others: candidates are drawn by weighted rendezvous hashing, so that a VM
// that joins or goes moves only its own targets, and a larger VM carries more of
// them. VMs whose lists differ for a moment do no harm: a gateway serves whoever
// asks, and a target that has no connection left says so.
//
// The package is pure.
package gateways

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
)

const (
	// spareShare is the part of a target's limit that is left for the fleet's own
	// questions and orders, which open connections beyond all shares.
	spareShare = 0.1
	// crowdFrom is the fleet's size from which gateways are used however many
	// connections a target takes. A target's own queue is short and first come first
	// served; from there on one statement of each VM fills it, whoever comes next is
	// refused, and which statement is served in time is chance.
	crowdFrom = 24
	// perTarget is how many gateways a target has. Their queues are where requests
	// are ordered by when they are due, which one queue does best; a second one
	// goes on when the first is lost. More of them fill the target's own queue, which
	// is first come first served.
	perTarget = 2
	// leastKept is how many connections a gateway should have at least, so that
	// one that is held by a transaction does not block all that wait there.
	leastKept = 4
	// spareRunning is how many statements more than a target has slots a gateway
	// sends at once: one is on its way while another is being run.
	spareRunning = 1
	// generations is how many fleets' idle connections a target's limit has room for
	// where each VM holds its own: the present one's, and its successors'.
	//
	// Failure guarded against: all VMs lose power at once and start again within a
	// second. Their targets hold the dead VMs' connections open for seconds more, and
	// refuse the new ones.
	generations = 2
	// perSlot is how many statements for each of a target's slots a fleet sends it at
	// once where each VM holds its own connections: one runs, one is next, one is on
	// its way. The rest wait at the VMs, by how urgent they are; the target's own
	// queue is first come first served, and one full of statements that will be late
	// makes all that come late as well. Lanes with such a bound also tell late requests
	// from others, and refuse hopeless ones.
	perSlot = 3
	// usualWeight is that of a VM whose entry does not tell its size.
	usualWeight = 1
)

// Share is a VM's part of a target's connections.
type Share struct {
	// Kept is how many it may keep.
	Kept int
	// Running is how many of them may run a statement at once; 0 is all, if the
	// target's limit is not known.
	Running int
	// Idle is how many of them stay open while nothing runs on them.
	Idle int
	// Lent is set if it may open one for a short time only.
	Lent bool
}

// Plan says who holds the connections to each target, by one state of the
// catalog. It is safe for concurrent use.
type Plan struct {
	self    string
	catalog *catalog.Catalog
	// live is how many of the fleet's VMs answer.
	live int

	mu sync.Mutex
	at map[target.ID]drawn
}

// drawn is what was drawn for a target, and what it depends on besides the fleet.
type drawn struct {
	zone  string
	count int
	vms   []catalog.VM
}

// NewPlan returns a VM's plan for a fleet whose VMs all answer.
func NewPlan(self string, c *catalog.Catalog) *Plan {
	return &Plan{self: self, catalog: c, live: len(c.VMs), at: make(map[target.ID]drawn)}
}

// Next returns the plan for a later state of the catalog, and for the number of VMs
// that answer. What was drawn is drawn anew only if the fleet has changed, which it
// does far less often than the configuration.
func (p *Plan) Next(c *catalog.Catalog, live int) *Plan {
	next := NewPlan(p.self, c)
	next.live = live
	if !slices.Equal(p.catalog.VMs, c.VMs) {
		return next
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, d := range p.at {
		if c.Targets[id] != nil {
			next.at[id] = d
		}
	}
	return next
}

// limit is how many connections a target takes from the fleet's requests; 0 if
// it is not known.
func (p *Plan) limit(t *catalog.Target) float64 {
	s := p.catalog.Service(t.Service)
	if s == nil {
		return 0
	}
	return float64(s.MaxConnections) * (1 - spareShare)
}

// shared reports whether the VMs go through gateways: if there is less than one
// connection for each of them, or if they are too many for the target's queue.
func (p *Plan) shared(t *catalog.Target) bool {
	limit, vms := p.limit(t), len(p.catalog.VMs)
	return limit > 0 && (limit < float64(vms) || vms >= crowdFrom)
}

// Share is this VM's part of a target's connections.
func (p *Plan) Share(t *catalog.Target) Share {
	limit := p.limit(t)
	if limit == 0 {
		return Share{Kept: 1, Idle: 1}
	}
	if !p.shared(t) {
		kept := int(limit) / max(len(p.catalog.VMs), 1)
		return Share{Kept: kept, Idle: max(kept/generations, 1), Running: p.running(t)}
	}
	all := p.of(t)
	if !holds(all, p.self) {
		return Share{Lent: true}
	}
	kept, running := max(int(limit)/len(all), 1), t.Slots+spareRunning
	return Share{Kept: kept, Idle: min(kept, max(kept/generations, running)), Running: running}
}

// running is this VM's part of what a fleet without gateways sends to a target at
// once.
//
// Failure guarded against: most VMs of the fleet are lost, and those that are left
// go on to send their small parts: a third of the targets' slots would lie idle
// while requests wait. So the parts are those of the VMs that answer. Of connections
// each VM keeps its part of all: the lost ones' may be open still.
func (p *Plan) running(t *catalog.Target) int {
	live := max(p.live, 1)
	return (perSlot*t.Slots + live - 1) / live
}

// Route returns the gateways to a target in the order in which this VM should
// try them; none if it should connect by itself.
//
// The requests of one workspace go to the same gateway from everywhere, as a connection
// serves one workspace only: spread over the gateways they would need one at each.
func (p *Plan) Route(t *catalog.Target, workspace string) []catalog.VM {
	if !p.shared(t) {
		return nil
	}
	all := p.of(t)
	if workspace != "" {
		all = slices.Clone(all)
		preferBy(workspace, all)
	}
	self := slices.IndexFunc(all, func(vm catalog.VM) bool { return vm.ID == p.self })
	switch {
	case self < 0:
		return all
	case workspace == "":
		return nil
	default:
		return all[:self]
	}
}

// preferBy orders gateways by a name, so that each comes first for as many names.
func preferBy(name string, vms []catalog.VM) {
	slices.SortStableFunc(vms, func(a, b catalog.VM) int {
		return cmp.Compare(preference(name, b.ID), preference(name, a.ID))
	})
}

func holds(vms []catalog.VM, name string) bool {
	return slices.ContainsFunc(vms, func(vm catalog.VM) bool { return vm.ID == name })
}

// of returns a target's gateways, in this VM's order. It is computed once for
// each target that is used: at thousands of VMs and targets, all of them would
// take seconds after each change of the fleet.
func (p *Plan) of(t *catalog.Target) []catalog.VM {
	count := min(perTarget, max(int(p.limit(t))/leastKept, 1))
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.at[t.ID]; ok && d.zone == t.Zone && d.count == count {
		return d.vms
	}
	vms := Choose(t, p.catalog.VMs, count)
	preferBy(p.self, vms)
	p.at[t.ID] = drawn{zone: t.Zone, count: count, vms: vms}
	return vms
}

// preference spreads names over a target's gateways.
func preference(name, gateway string) uint64 { return xxhash.Sum64String(name + "/" + gateway) }

// Choose draws a number of gateways to a target, from its own availability zone
// as far as that has VMs: a statement then crosses zones as often as if its VM
// connected by itself, and whoever loses the zone has lost the target as well.
func Choose(t *catalog.Target, vms []catalog.VM, count int) []catalog.VM {
	best := make([]scored, 0, count+1)
	for i := range vms {
		vm := &vms[i]
		one := scored{vm: vm, near: vm.Zone == t.Zone, score: score(t.ID, vm)}
		at, _ := slices.BinarySearchFunc(best, one, scored.compare)
		if at < count {
			best = slices.Insert(best, at, one)[:min(len(best)+1, count)]
		}
	}
	out := make([]catalog.VM, len(best))
	for i := range best {
		out[i] = *best[i].vm
	}
	return out
}

type scored struct {
	vm    *catalog.VM
	near  bool
	score float64
}

// compare puts the better candidate first.
func (a scored) compare(b scored) int {
	if a.near != b.near {
		if a.near {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
}

// score is that of weighted rendezvous hashing: the largest wins, and a VM wins
// as often as its weight has part in all weights.
func score(id target.ID, vm *catalog.VM) float64 {
	weight := vm.Capacity
	if weight <= 0 {
		weight = usualWeight
	}
	h := xxhash.Sum64String(string(id) + "/" + vm.ID)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
