package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/target"
)

// idle is a Runner whose targets have no load.
type idle struct{ dispatch.Runner }

func (idle) Load(target.ID) lane.Load { return lane.Load{} }

// Without early refusals a request waits for its whole time in an outage, without the budget every
// statement may be repeated, and neither needs the other.
func TestEarlyRefusalsAndBudgetAreSwitchedOffAlone(t *testing.T) {
	for _, off := range []feature.Part{feature.EarlyRefusals, feature.RepeatBudget} {
		e, clk := newTestEngine()
		e.cfg.Features = feature.Without(off)
		s, g := &Session{engine: e}, e.cfg.Groups.Group("s")
		w := &work{route: &catalog.Route{Service: "s", StatementTimeout: 900 * time.Millisecond}, arrived: clk.now, costly: true}
		g.Breaker.Failed(clk.now, clk.now.Add(-200*time.Millisecond), groups.Unproven)
		whole := s.outageTimeout(g, w, groups.Unproven) == w.route.StatementTimeout
		require.Equal(t, off == feature.EarlyRefusals, whole)
		repeats := 0
		for repeats < 1000 && s.mayRepeat(w) {
			repeats++
		}
		require.Equal(t, off == feature.RepeatBudget, repeats == 1000)
	}
}

func TestReadsHaveNoHomeWithoutWarmConnections(t *testing.T) {
	e, clk := newTestEngine()
	e.cfg.Placing, e.cfg.Runner = placing.NewTracker(), idle{}
	targets := make(map[target.ID]*catalog.Target)
	for _, id := range []target.ID{"x", "y", "z"} {
		targets[id] = &catalog.Target{ID: id, Service: "s"}
	}
	require.True(t, e.cfg.Catalog.SetTargets(targets, 1))
	w := &work{route: &catalog.Route{Service: "s", Objective: time.Second}, arrived: clk.now}
	homes := func(features feature.Set) int {
		e.cfg.Features = features
		used := make(map[target.ID]bool)
		for _, workspace := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			id, _ := (&Session{engine: e, workspace: workspace}).place(e.cfg.Groups.Group("s"), w, nil)
			used[id] = true
		}
		return len(used)
	}
	require.Greater(t, homes(feature.Set{}), 1)
	require.Equal(t, 1, homes(feature.Without(feature.WarmConnections)))
}
