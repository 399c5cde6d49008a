package groups

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// deployment returns a catalog of some services with three targets each, without VMs.
func deployment(services int) *catalog.Holder {
	c := &catalog.Config{Version: 1, Services: make(map[string]*catalog.Service)}
	targets := make(map[target.ID]*catalog.Target)
	for i := range services {
		service := fmt.Sprint("s", i)
		c.Services[service] = &catalog.Service{Name: service}
		for j := range 3 {
			id := target.ID(fmt.Sprintf("%s-%d", service, j))
			targets[id] = &catalog.Target{ID: id, Service: service, Role: target.RoleReplica}
		}
		targets[target.ID(service+"-0")].Role = target.RolePrimary
	}
	h := catalog.NewHolder()
	h.SetConfig(c)
	h.SetTargets(targets, 1)
	return h
}

// Guards against: a VM that joins, and makes every other VM derive the state of all services again.
func TestVMThatJoinsCostsNoServiceAnything(t *testing.T) {
	for _, services := range []int{3, 30, 300, 3000} {
		h := deployment(services)
		r := NewRegistry(Config{Catalog: h, Clock: monotonic.New(), Log: zap.NewNop()})
		r.Update(h.Load())
		require.Equal(t, target.ID("s1-0"), r.Group("s1").Leadership.Current().Primary)
		h.SetFleet([]catalog.VM{{ID: "joined"}}, nil, 2)
		require.Zero(t, testing.AllocsPerRun(3, func() { r.Update(h.Load()) }), "%d services", services)
	}
}

// Guards against: a target or a leadership record that changes with the last catalog and is not
// taken, because the others are unchanged.
func TestEachChangeOfAServiceIsTaken(t *testing.T) {
	h := deployment(3)
	r := NewRegistry(Config{Catalog: h, Clock: monotonic.New(), Log: zap.NewNop()})
	r.Update(h.Load())
	changed := deployment(3).Load().Targets
	changed["s1-0"].Role, changed["s1-2"].Role = target.RoleReplica, target.RolePrimary
	h.SetTargets(changed, 2)
	r.Update(h.Load())
	require.Equal(t, target.ID("s1-2"), r.Group("s1").Leadership.Current().Primary)
	require.Equal(t, target.ID("s2-0"), r.Group("s2").Leadership.Current().Primary)

	contested := deployment(3).Load().Targets
	contested["s1-2"].Role = target.RolePrimary
	h.SetTargets(contested, 3)
	r.Update(h.Load())
	require.Equal(t, target.ID("s1-0"), r.Group("s1").Leadership.Current().Primary)
	h.SetLeadershipRecord(&catalog.LeadershipRecord{Service: "s1", Revision: 4, Primary: "s1-2"})
	r.Update(h.Load())
	require.Equal(t, target.ID("s1-2"), r.Group("s1").Leadership.Current().Primary)
}

// Guards against: replicas that are promoted in place of a primary that works and joins seconds after
// them, because thousands of targets join one after the other.
func TestPrimaryIsNotMissedWhileTargetsJoin(t *testing.T) {
	clk := &manual{now: 1}
	h := deployment(300)
	all := h.Load().Targets
	h.SetTargets(nil, 2)
	r := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop()})
	joined := make(map[target.ID]*catalog.Target)
	join := func(id target.ID) {
		joined[id] = all[id]
		h.SetTargets(maps.Clone(joined), h.Load().TargetsRevision+1)
		r.Update(h.Load())
		clk.now = clk.now.Add(30 * time.Millisecond)
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if id != "s0-0" {
			join(id)
			require.Less(t, r.Group("s0").Absent(), takeover.AbsentAfter)
		}
	}
	clk.now = clk.now.Add(takeover.AbsentAfter)
	require.GreaterOrEqual(t, r.Group("s0").Absent(), takeover.AbsentAfter, "nothing joins any more")

	join("s0-0")
	require.Zero(t, r.Group("s0").Absent())
	delete(joined, "s0-0")
	h.SetTargets(maps.Clone(joined), h.Load().TargetsRevision+1)
	r.Update(h.Load())
	clk.now = clk.now.Add(takeover.AbsentAfter)
	all["s0-3"] = &catalog.Target{ID: "s0-3", Service: "s0", Role: target.RoleReplica}
	join("s0-3")
	require.GreaterOrEqual(t, r.Group("s0").Absent(), takeover.AbsentAfter, "a primary that was known is missed while others join")
}

// Guards against: a line in the log of each VM for each service of the deployment, as the VM starts.
func TestFirstPrimaryOfAnUnusedServiceIsNotLogged(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	h := deployment(300)
	r := NewRegistry(Config{Catalog: h, Clock: &manual{now: 1}, Log: zap.New(core)})
	r.Use("s7")
	r.Update(h.Load())
	require.Equal(t, 1, logged.FilterMessage("primary-believed").Len())
	changed := deployment(300).Load().Targets
	changed["s1-0"].Role, changed["s1-2"].Role = target.RoleReplica, target.RolePrimary
	h.SetTargets(changed, 2)
	r.Update(h.Load())
	require.Equal(t, 2, logged.FilterMessage("primary-believed").Len(), "a change is logged, used or not")
}
