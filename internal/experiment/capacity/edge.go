package capacity

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/promoter"
	"endivemoor.example/endivemoor/target"
)

// fleets are the measured fleet sizes. Each fleet has as many services as VMs.
var fleets = []int{10, 30, 100, 300, 1000, nodes}

// edgeMeasures returns the measures of a VM on the users' platform that uses groupsPerNode
// services.
func edgeMeasures() []measure {
	return []measure{
		{"edge, pool", "a change of the configuration", "ns", "service and VM", fleets, edgeConfigTime, nodes},
		{"edge, pool", "a change of the fleet", "ns", "service and VM", fleets, edgeFleetTime, nodes},
		{"edge, groups", "a change of either", "ns", "service", fleets, edgeGroupsTime, nodes},
		{"edge, groups", "a second of looking at primaries", "ns", "service", fleets, edgePromoterTime, nodes},
		{"edge, groups", "state, memory", "B", "service", fleets, edgeGroupsBytes, nodes},
		{"edge, catalog", "one target that changes", "ns", "service", fleets, edgeTargetChangeTime, nodes},
		{"edge, catalog", "one VM that restarts", "ns", "VM", fleets, edgeRestartTime, nodes},
		{"edge, catalog", "what is known, memory", "B", "service and VM", fleets, edgeCatalogBytes, nodes},
	}
}

// edgeCatalog returns the catalog of a fleet of n VMs and n services of three targets each.
func edgeCatalog(n int) *catalog.Catalog {
	h := catalog.NewHolder()
	h.SetConfig(edgeConfig(n))
	targets := make(map[target.ID]*catalog.Target, 3*n)
	vms := make([]catalog.VM, 0, n)
	for i := range n {
		for k, zone := range exampleZones {
			t := edgeTarget(i, k, zone)
			targets[t.ID] = t
		}
		vms = append(vms, catalog.VM{ID: fmt.Sprintf("vm-%04d", i), Zone: exampleZones[i%3], Peer: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200)})
	}
	h.SetTargets(targets, 1)
	h.SetFleet(vms, nil, 1)
	return h.Load()
}

func edgeService(i int) string { return fmt.Sprintf("ledger-%04d", i) }

func edgeTarget(i, k int, zone string) *catalog.Target {
	t := &catalog.Target{ID: target.ID(fmt.Sprintf("%s-%d", edgeService(i), k)), Service: edgeService(i), Zone: zone, Slots: 3, Role: target.RoleReplica}
	if k == 0 {
		t.Role = target.RolePrimary
	}
	return t
}

func edgeConfig(n int) *catalog.Config {
	c := &catalog.Config{Version: 1, Routes: make(map[string]*catalog.Route, n), Services: make(map[string]*catalog.Service, n)}
	for i := range n {
		s := edgeService(i)
		c.Services[s] = &catalog.Service{Name: s, MaxConnections: 190, SyncReplicas: 1}
		c.Routes[s] = &catalog.Route{Name: s, Database: s, Service: s, StatementTimeout: time.Second}
	}
	return c
}

// edgePool returns a pool that uses a node's share of the services.
func edgePool(c *catalog.Catalog, assignment *gateways.Assignment) *lane.Pool {
	p := lane.NewPool(monotonic.New(), func(*catalog.Target) lane.Dialer { return nil })
	p.Update(c, assignment.Share)
	for i := range groupsPerNode {
		for k, zone := range exampleZones {
			p.Lane(edgeTarget(i, k, zone).ID)
		}
	}
	return p
}

func edgeConfigTime(n int) float64 {
	c := edgeCatalog(n)
	assignment := gateways.NewAssignment("vm-0001", c)
	p := edgePool(c, assignment)
	return nanoseconds(func() {
		assignment = assignment.Next(c, len(c.VMs))
		p.Update(c, assignment.Share)
	})
}

// edgeFleetTime is the time for a VM that restarts again and again.
func edgeFleetTime(n int) float64 {
	states := []*catalog.Catalog{edgeCatalog(n), restarted(edgeCatalog(n))}
	assignment := gateways.NewAssignment("vm-0001", states[0])
	p := edgePool(states[0], assignment)
	calls := 0
	return nanoseconds(func() {
		calls++
		assignment = assignment.Next(states[calls%2], n)
		p.Update(states[calls%2], assignment.Share)
	})
}

// restarted returns the catalog after one of its VMs has restarted.
func restarted(c *catalog.Catalog) *catalog.Catalog {
	h := catalog.NewHolder()
	h.SetConfig(c.Config)
	h.SetTargets(c.Targets, c.TargetsRevision)
	vms := slices.Clone(c.VMs)
	vms[len(vms)/2].Incarnation = "restarted"
	h.SetFleet(vms, nil, c.FleetRevision)
	return h.Load()
}

// edgeTargetChangeTime is the time to apply a change of one target that a peer has sent.
func edgeTargetChangeTime(n int) float64 {
	before := edgeCatalog(n).Targets
	after := maps.Clone(before)
	one := edgeTarget(0, 0, exampleZones[0])
	one.Draining = true
	after[one.ID] = one
	between := func(from, to map[target.ID]*catalog.Target) *catalog.ListChange[catalog.Target] {
		h := catalog.NewHolder()
		h.SetTargets(from, 1)
		h.SetTargets(to, 2)
		return h.Load().TargetsSince(1, 0)
	}
	changes := []*catalog.ListChange[catalog.Target]{between(before, after), between(after, before)}
	h := catalog.NewHolder()
	h.SetTargets(before, 1)
	calls := int64(0)
	return nanoseconds(func() {
		targets, _ := catalog.ApplyTargets(changes[calls%2], h.Load())
		calls++
		h.SetTargets(targets, 1+calls)
	})
}

// edgeRestartTime is the time to apply the restart of one VM that a peer has sent.
func edgeRestartTime(n int) float64 {
	before := edgeCatalog(n)
	after := restarted(before)
	between := func(from, to *catalog.Catalog) *catalog.ListChange[catalog.VM] {
		h := catalog.NewHolder()
		h.SetFleet(from.VMs, nil, 1)
		h.SetFleet(to.VMs, nil, 2)
		return h.Load().FleetSince(1, 0)
	}
	changes := []*catalog.ListChange[catalog.VM]{between(before, after), between(after, before)}
	h := catalog.NewHolder()
	h.SetFleet(before.VMs, nil, 1)
	calls := int64(0)
	return nanoseconds(func() {
		vms, _ := catalog.ApplyVMs(changes[calls%2], h.Load())
		calls++
		h.SetFleet(vms, nil, 1+calls)
	})
}

func edgeGroups(c *catalog.Catalog) *groups.Registry {
	h := catalog.NewHolder()
	h.SetTargets(c.Targets, 1)
	r := groups.NewRegistry(groups.Config{Catalog: h, Clock: monotonic.New(), Log: zap.NewNop()})
	r.Update(c)
	for i := range groupsPerNode {
		r.Use(edgeService(i))
	}
	return r
}

func edgeGroupsTime(n int) float64 {
	c := edgeCatalog(n)
	r := edgeGroups(c)
	return nanoseconds(func() { r.Update(c) })
}

func edgeGroupsBytes(n int) float64 {
	c := edgeCatalog(n)
	return heapBytes(func() any { return edgeGroups(c) })
}

func edgeCatalogBytes(n int) float64 {
	return heapBytes(func() any { return edgeCatalog(n) })
}

func edgePromoterTime(n int) float64 {
	h := catalog.NewHolder()
	p := promoter.New(promoter.Config{Node: "vm-0001", Clock: monotonic.New(), Log: zap.NewNop(), Catalog: h, Groups: edgeGroups(edgeCatalog(n))})
	return nanoseconds(func() {
		for tick := range groups.Ticks {
			p.CheckDue(context.Background(), tick)
		}
	})
}
