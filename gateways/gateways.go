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
	// connections a target takes. Its own queue holds 24 statements on the users'
	// sheets and is first come first served; from there on one statement of each VM
	// fills it, whoever comes next is refused, and which statement is served in time
	// is chance. On a day of high load with 89 VMs a target's primary refused 103,683
	// of 177,017 arrivals and 3,115 consumers were told nothing in time; with gateways
	// it refused 3,941 of 76,140, and 52 were (worth 0.801 and 0.877).
	crowdFrom = 24
	// perTarget is how many gateways a target has. Their queues are where requests
	// are ordered by when they are due, which one queue does best; a second one
	// goes on when the first is lost. Six of them, each with four connections, fill
	// the target's own queue, which is first come first served: 0.857 of worth on a
	// calm day of the grown Skybridge deployment, and 0.869 with two.
	perTarget = 2
	// leastKept is how many connections a gateway should have at least, so that
	// one that is held by a transaction does not block all that wait there.
	leastKept = 4
	// spareRunning is how many statements more than a target has slots a gateway
	// sends at once: one is on its way while another is being run.
	spareRunning = 1
	// usualWeight is that of a VM whose entry does not tell its size.
	usualWeight = 1
)

// Share is a VM's part of a target's connections.
type Share struct {
	// Kept is how many it may keep.
	Kept int
	// Running is how many of them may run a statement at once; 0 is all.
	Running int
	// Lent is set if it may open one for a short time only.
	Lent bool
}

// Plan says who holds the connections to each target, by one state of the
// catalog. It is safe for concurrent use.
type Plan struct {
	self    string
	catalog *catalog.Catalog

	mu sync.Mutex
	at map[target.ID][]catalog.VM
}

// NewPlan returns a VM's plan.
func NewPlan(self string, c *catalog.Catalog) *Plan {
	return &Plan{self: self, catalog: c, at: make(map[target.ID][]catalog.VM)}
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
		return Share{Kept: 1}
	}
	if !p.shared(t) {
		return Share{Kept: int(limit) / max(len(p.catalog.VMs), 1)}
	}
	all := p.of(t)
	if !holds(all, p.self) {
		return Share{Lent: true}
	}
	return Share{Kept: max(int(limit)/len(all), 1), Running: t.Slots + spareRunning}
}

// Route returns the gateways to a target in the order in which this VM should
// try them; none if it should connect by itself.
func (p *Plan) Route(t *catalog.Target) []catalog.VM {
	if !p.shared(t) {
		return nil
	}
	all := p.of(t)
	if holds(all, p.self) {
		return nil
	}
	return all
}

func holds(vms []catalog.VM, name string) bool {
	return slices.ContainsFunc(vms, func(vm catalog.VM) bool { return vm.ID == name })
}

// of returns a target's gateways, in this VM's order. It is computed once for
// each target that is used: at thousands of VMs and targets, all of them would
// take seconds after each change of the fleet.
func (p *Plan) of(t *catalog.Target) []catalog.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vms, ok := p.at[t.ID]; ok {
		return vms
	}
	vms := Choose(t, p.catalog.VMs, min(perTarget, max(int(p.limit(t))/leastKept, 1)))
	slices.SortStableFunc(vms, func(a, b catalog.VM) int {
		return cmp.Compare(preference(p.self, b.ID), preference(p.self, a.ID))
	})
	p.at[t.ID] = vms
	return vms
}

// preference spreads the VMs of a fleet over a target's gateways.
func preference(self, gateway string) uint64 { return xxhash.Sum64String(self + "/" + gateway) }

// Choose draws a number of gateways to a target, from its own availability zone
// as far as that has VMs: a statement then crosses zones as often as if its VM
// connected by itself, and whoever loses the zone has lost the target as well.
func Choose(t *catalog.Target, vms []catalog.VM, count int) []catalog.VM {
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{vm: vm, near: vm.Zone == t.Zone, score: score(t.ID, &vm)}
	}
	slices.SortFunc(all, scored.compare)
	out := make([]catalog.VM, min(count, len(all)))
	for i := range out {
		out[i] = all[i].vm
	}
	return out
}

type scored struct {
	vm    catalog.VM
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
