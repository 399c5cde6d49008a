package groups

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// drainTimeout is how long a draining target of an ordersWorld may be given work.
const drainTimeout = 5 * time.Second

// drain lets the primary report that it leaves.
func (w *ordersWorld) drain() {
	w.change(func(s *moment) {
		s.targets = maps.Clone(s.targets)
		leaving := *s.targets["p"]
		leaving.Draining = true
		s.targets["p"] = &leaving
		s.listed = s.revision
	})
}

// Failure guarded against: among lists that are heard late and VMs that start there is an order in which a leaving
// primary gets work for longer than the time since its report allows.
func TestNoOrderOfListsGivesALeavingPrimaryWorkForLong(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &ordersWorld{t: t, now: clock.Time(time.Second), replicas: map[target.ID]*replica{"q": {run: 1, follows: true}, "r": {run: 1, follows: true}}}
		w.store = moment{targets: map[target.ID]*catalog.Target{"p": {ID: "p", Service: "s", Role: target.RolePrimary, Incarnation: 1}}}
		w.list("q")
		w.list("r")
		w.boot(w.now)
		var reported clock.Time
		for range 30 {
			w.now += clock.Time(time.Second)
			event := rapid.SampledFrom([]string{"targets", "targets", "join", "list", "restart", "restart VM", "drain"}).Draw(t, "event")
			if event == "drain" && reported == 0 {
				reported = w.now
				w.drain()
			}
			w.act(event)
			g := w.registry.Group("s")
			g.ConfirmTargets()
			switch p := w.holder.Load().Targets["p"]; {
			case p == nil || !p.Draining:
			case w.now.Sub(reported) >= drainTimeout:
				require.False(t, g.AcceptsWork("p"), "%s after its report", w.now.Sub(reported))
			case g.AcceptsWork("p"):
				served++
			}
		}
	})
	require.NotZero(t, served, "it serves until then")
}

// Failure guarded against: a process whose clock has just begun finds a leaving primary in its first list, and
// takes it for one that has just reported.
func TestLeavingPrimaryOfTheFirstListGetsNoWork(t *testing.T) {
	h := catalog.NewHolder()
	h.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s"}}})
	h.SetTargets(map[target.ID]*catalog.Target{"p": {ID: "p", Service: "s", Role: target.RolePrimary, Draining: true}}, 7)
	clk := &manual{now: clock.Time(time.Second)}
	r := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), TargetsConfirmedAt: clk.Now, DrainTimeout: drainTimeout})
	r.Update(h.Load())
	r.Group("s").ConfirmTargets()
	require.False(t, r.Group("s").AcceptsWork("p"))
}
