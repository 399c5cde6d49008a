// Package gateways decides which VMs hold the connections to a target if there are too few for
// every VM of the fleet to hold its own, or if the fleet is so large that its VMs would overfill
// the target's queue. These VMs are the target's gateways; the others send their statements
// through them.
//
// An Assignment holds the result for one state of the catalog: a VM's Share of the connections
// to a target, and the Route to the target's gateways. Opening connections and forwarding
// statements are left to packages lane and relay.
//
// Each VM computes the same result from the fleet's list, without messages to the others:
// gateways are selected by weighted rendezvous hashing, so that a VM that joins or leaves moves
// only its own targets, and a larger VM is the gateway of more of them. VMs whose lists differ
// temporarily do no harm: a gateway serves every VM that sends it a statement, and a target that
// has no connection left refuses further ones.
//
// A VM whose entry says that it yields has a small fraction of its weight: it loses nearly all of its
// targets, a change of one VM moves no other VM's targets, and if all VMs yield, the selection is the
// same as if none did.
//
// The package is pure: it does no I/O.
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
	// reservedFraction is the fraction of a target's limit that is reserved for the fleet's own
	// status queries and commands, which open connections in addition to all shares.
	reservedFraction = 0.1
	// minFleetForGateways is the fleet's size from which gateways are used however many
	// connections a target accepts. A target's own queue is short and first come, first
	// served. In a fleet of this size, one statement from each VM fills it: the target refuses
	// further ones, and which statements are served in time is left to chance.
	minFleetForGateways = 24
	// gatewaysPerTarget is the number of gateways of a target. Requests are ordered by due time
	// in the gateways' queues, and a single queue orders them best. A second gateway continues
	// if the first fails. More gateways would fill the target's own queue, which is first come,
	// first served.
	gatewaysPerTarget = 2
	// minConnectionsPerGateway keeps a connection that is held by a transaction from blocking
	// all requests that wait at the gateway.
	minConnectionsPerGateway = 4
	// extraRunning is the number of statements that a gateway sends at once in addition to the
	// target's slots: one is in transit while others run.
	extraRunning = 1
	// fleetGenerations is the number of fleets whose idle connections fit into a target's limit:
	// the current fleet and the one that replaces it.
	//
	// Failure guarded against: all VMs lose power at once and restart within a second. Their
	// targets hold the dead VMs' connections open for some more seconds, and refuse the new
	// ones.
	fleetGenerations = 2
	// statementsPerSlot is the number of statements for each of a target's slots that a fleet
	// sends at once if each VM holds its own connections: one runs, one is next, one is in
	// transit. The others wait at the VMs, ordered by queue priority. The target's own queue is
	// first come, first served: once it is full of statements that will be late, later ones are
	// late as well. Lanes with this bound also distinguish late requests from others, and refuse
	// those that cannot be served in time.
	statementsPerSlot = 3
	// defaultWeight is the weight of a VM whose entry has no capacity.
	defaultWeight = 1
	// yieldingDivisor divides the weight of a VM that yields.
	//
	// Failure guarded against: VMs that yield are placed behind all others unless too many do. The one
	// that is one too many moves the targets of all of them at once, and makes the slowest VM a gateway.
	yieldingDivisor = 64
)

// Share is a VM's share of a target's connections.
type Share struct {
	// MaxOpen is the number of connections that the VM may keep open.
	MaxOpen int
	// MaxRunning is the number of them that may run a statement at once. 0 means all: the
	// target's limit is unknown.
	MaxRunning int
	// MaxIdle is the number of them that stay open while idle.
	MaxIdle int
	// Temporary is set if the VM may open one connection only, and for a short time.
	Temporary bool
	// MaxFormer is the number of connections that a former gateway may have open while it hands over
	// to the present ones; 0 if Temporary is not set.
	MaxFormer int
	// PerWorkspace is set if requests belong to workspaces, each of which needs connections of its
	// own. More connections are then retained, but fewer while the target has none left.
	PerWorkspace bool
}

// Shared returns the share of a gateway that retains as many connections for workspaces as for
// requests that share connections.
func (s Share) Shared() Share {
	if s.PerWorkspace {
		return s.shared()
	}
	return s
}

func (s Share) shared() Share {
	s.MaxIdle, s.PerWorkspace = min(s.MaxOpen, max(s.MaxOpen/fleetGenerations, s.MaxRunning)), false
	return s
}

// Assignment is the mapping of targets to the VMs that hold the connections to them, for one
// state of the catalog. It is safe for concurrent use.
type Assignment struct {
	self    string
	catalog *catalog.Catalog
	// responding is the number of the fleet's VMs that respond.
	responding int

	mu         sync.Mutex
	selections map[target.ID]selection
}

// selection holds the gateways selected for a target, and what they depend on besides the fleet.
type selection struct {
	zone  string
	count int
	vms   []catalog.VM
}

// NewAssignment returns a VM's assignment for a fleet whose VMs all respond.
func NewAssignment(self string, c *catalog.Catalog) *Assignment {
	return &Assignment{self: self, catalog: c, responding: len(c.VMs), selections: make(map[target.ID]selection)}
}

// Next returns the assignment for a later state of the catalog and the number of VMs that
// respond. Of the selected gateways it keeps what the change of the fleet leaves valid.
//
// Failure guarded against: many VMs of a large fleet restart, and with each of them every VM selects
// the gateways of all targets that it uses from the whole fleet again.
func (a *Assignment) Next(c *catalog.Catalog, responding int) *Assignment {
	next := NewAssignment(a.self, c)
	next.responding = responding
	change := changeOf(a.catalog, c)
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, d := range a.selections {
		t := c.Targets[id]
		if t == nil || t.Zone != d.zone {
			continue
		}
		if vms, ok := change.applyTo(d, t); ok {
			sortByPreference(a.self, vms)
			next.selections[id] = selection{zone: d.zone, count: d.count, vms: vms}
		}
	}
	return next
}

// limit returns the number of connections that a target accepts for the fleet's requests; 0 if
// it is unknown.
func (a *Assignment) limit(t *catalog.Target) float64 {
	s := a.catalog.Service(t.Service)
	if s == nil {
		return 0
	}
	return float64(s.MaxConnections) * (1 - reservedFraction)
}

// UsesGateways reports whether the VMs use gateways to a target: if there is less than one
// connection for each VM, or if there are too many VMs for the target's queue.
func (a *Assignment) UsesGateways(t *catalog.Target) bool {
	limit, vms := a.limit(t), len(a.catalog.VMs)
	return limit > 0 && (limit < float64(vms) || vms >= minFleetForGateways)
}

// UsedFor reports whether the VMs use gateways to a service's targets.
func (a *Assignment) UsedFor(service string) bool {
	targets := a.catalog.ByService[service]
	return len(targets) > 0 && a.UsesGateways(targets[0])
}

// Share returns this VM's share of a target's connections.
func (a *Assignment) Share(t *catalog.Target) Share {
	limit := a.limit(t)
	if limit == 0 {
		return Share{MaxOpen: 1, MaxIdle: 1}
	}
	if !a.UsesGateways(t) {
		kept := int(limit) / max(len(a.catalog.VMs), 1)
		return Share{MaxOpen: kept, MaxIdle: max(kept/fleetGenerations, 1), MaxRunning: a.maxRunning(t)}
	}
	all := a.gateways(t)
	kept, running := max(int(limit)/len(all), 1), t.Slots+extraRunning
	if !containsVM(all, a.self) {
		return Share{Temporary: true, MaxFormer: kept}
	}
	out := Share{MaxOpen: kept, MaxRunning: running}.shared()
	if len(a.catalog.Config.Workspaces) > 0 {
		out.MaxIdle, out.PerWorkspace = max(out.MaxIdle, kept-running), true
	}
	return out
}

// maxRunning returns this VM's share of the statements that a fleet without gateways sends to a
// target at once.
//
// Failure guarded against: most VMs of the fleet fail, and the remaining ones still limit
// themselves to their small shares, so that a third of the targets' slots are idle while
// requests wait. Statements are therefore divided among the VMs that respond. Connections are
// divided among all VMs, because those of the failed ones may still be open.
func (a *Assignment) maxRunning(t *catalog.Target) int {
	responding := max(a.responding, 1)
	return (statementsPerSlot*t.Slots + responding - 1) / responding
}

// Route returns the gateways to a target in the order in which this VM should try them; none if
// the VM should connect to the target itself.
//
// All VMs send the requests of one workspace to the same gateway, because a connection serves
// one workspace only: spread over the gateways, the requests would need a connection at each.
func (a *Assignment) Route(t *catalog.Target, workspace string) []catalog.VM {
	if !a.UsesGateways(t) {
		return nil
	}
	all := a.gateways(t)
	if workspace != "" {
		all = slices.Clone(all)
		sortByPreference(workspace, all)
	}
	self := slices.IndexFunc(all, func(vm catalog.VM) bool { return vm.ID == a.self })
	switch {
	case self < 0:
		return all
	case workspace == "":
		return nil
	default:
		return all[:self]
	}
}

// sortByPreference orders gateways by a hash of the name, so that each of them is the first one
// for an equal fraction of all names.
func sortByPreference(name string, vms []catalog.VM) {
	slices.SortStableFunc(vms, func(a, b catalog.VM) int {
		return cmp.Compare(preference(name, b.ID), preference(name, a.ID))
	})
}

func containsVM(vms []catalog.VM, id string) bool {
	return slices.ContainsFunc(vms, func(vm catalog.VM) bool { return vm.ID == id })
}

// gateways returns a target's gateways, in this VM's order. They are computed when a target is
// first used: with thousands of VMs and targets, computing all of them would take seconds after
// each change of the fleet.
func (a *Assignment) gateways(t *catalog.Target) []catalog.VM {
	count := min(gatewaysPerTarget, max(int(a.limit(t))/minConnectionsPerGateway, 1))
	a.mu.Lock()
	defer a.mu.Unlock()
	if d, ok := a.selections[t.ID]; ok && d.zone == t.Zone && d.count == count {
		return d.vms
	}
	vms := Choose(t, a.catalog.VMs, count)
	sortByPreference(a.self, vms)
	a.selections[t.ID] = selection{zone: t.Zone, count: count, vms: vms}
	return vms
}

// fleetChange is the difference between two states of the fleet's list.
type fleetChange struct {
	// joined are the VMs that are new, or that hash to other scores than before.
	joined []catalog.VM
	// left are the VMs that were removed, or that hash to other scores, by name.
	left map[string]bool
	// changed are the VMs that changed otherwise, as when one restarts, by name.
	changed map[string]catalog.VM
}

// changeOf returns the change of the fleet between two catalogs.
func changeOf(from, to *catalog.Catalog) fleetChange {
	out := fleetChange{left: make(map[string]bool), changed: make(map[string]catalog.VM)}
	difference := catalog.DifferenceOfVMs(from.VMs, to.VMs)
	for _, vm := range difference.Updated {
		old, known := from.VM(vm.ID)
		switch {
		case !known:
			out.joined = append(out.joined, vm)
		case old.Zone == vm.Zone && weight(&old) == weight(&vm):
			out.changed[vm.ID] = vm
		default:
			out.left[vm.ID] = true
			out.joined = append(out.joined, vm)
		}
	}
	for _, name := range difference.Removed {
		out.left[name] = true
	}
	return out
}

// applyTo returns the VMs that are selected for a target after the change; false if a selected VM
// has left, so that any VM may take its place.
func (f *fleetChange) applyTo(d selection, t *catalog.Target) (vms []catalog.VM, ok bool) {
	vms = make([]catalog.VM, 0, len(d.vms)+len(f.joined))
	for _, vm := range d.vms {
		if f.left[vm.ID] {
			return nil, false
		}
		if changed, ok := f.changed[vm.ID]; ok {
			vm = changed
		}
		vms = append(vms, vm)
	}
	if len(f.joined) == 0 {
		return vms, true
	}
	return Choose(t, append(vms, f.joined...), d.count), true
}

// preference is a hash that spreads names evenly over a target's gateways.
func preference(name, gateway string) uint64 { return xxhash.Sum64String(name + "/" + gateway) }

// Choose selects count gateways to a target, from the target's own availability zone as far as
// the zone has VMs: a statement then crosses zones as often as if its VM connected to the target
// itself, and a VM that cannot reach the zone cannot reach the target either.
func Choose(t *catalog.Target, vms []catalog.VM, count int) []catalog.VM {
	best := make([]candidate, 0, count+1)
	for i := range vms {
		one := newCandidate(t, &vms[i])
		at, _ := slices.BinarySearchFunc(best, one, candidate.compare)
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

type candidate struct {
	vm       *catalog.VM
	sameZone bool
	score    float64
}

func newCandidate(t *catalog.Target, vm *catalog.VM) candidate {
	return candidate{vm: vm, sameZone: vm.Zone == t.Zone, score: score(t.ID, vm)}
}

// compare puts the better candidate first.
func (a candidate) compare(b candidate) int {
	if a.sameZone != b.sameZone {
		if a.sameZone {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
}

// score returns the score of weighted rendezvous hashing: the largest one wins, and a VM's
// fraction of wins is its fraction of the sum of all weights.
func score(id target.ID, vm *catalog.VM) float64 {
	h := xxhash.Sum64String(string(id) + "/" + vm.ID)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight(vm) / math.Log(u)
}

func weight(vm *catalog.VM) float64 {
	out := vm.Capacity
	if out <= 0 {
		out = defaultWeight
	}
	if vm.Condition == catalog.Yielding {
		out /= yieldingDivisor
	}
	return out
}
