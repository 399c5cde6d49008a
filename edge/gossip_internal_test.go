package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gossip"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/platform/boot"
)

// Guards against: a VM that never recovers from a diverged list. A peer sends the changes of a
// list, and they do not fit this VM's copy. The VM requests whole lists until it has received one,
// because later changes would not fit either.
func TestWholeListsAreRequestedAfterADivergence(t *testing.T) {
	e := &Edge{settings: &boot.Settings{}, catalog: catalog.NewHolder(), clk: monotonic.New(), log: zap.NewNop()}
	e.groups = groups.NewRegistry(groups.Config{Catalog: e.catalog, Clock: e.clk, Log: e.log})
	g := &gossiper{edge: e}
	require.False(t, g.pullOptions().FullLists)
	g.apply(&gossip.Update{Diverged: true})
	require.True(t, g.pullOptions().FullLists)
	g.apply(&gossip.Update{})
	require.True(t, g.pullOptions().FullLists, "an update without lists does not end the divergence")
	g.apply(&gossip.Update{Fleet: &gossip.Fleet{Revision: 7}})
	require.False(t, g.pullOptions().FullLists)
}

// Guards against: a pull that names all services which a VM of a large deployment uses, ten times a
// second, and so passes the bytes that a VM has for control.
func TestAPullNamesFewServicesHoweverManyAreUsed(t *testing.T) {
	for _, services := range []int{9, 30, 300, 3000} {
		e := &Edge{settings: &boot.Settings{}, catalog: catalog.NewHolder(), clk: monotonic.New(), log: zap.NewNop()}
		e.groups = groups.NewRegistry(groups.Config{Catalog: e.catalog, Clock: e.clk, Log: e.log})
		for i := range services {
			e.groups.Use(fmt.Sprint("s", i))
		}
		require.Len(t, (&gossiper{edge: e}).pullOptions().Services, min(services, maxProofServices))
	}
}

// Some VMs have been unreachable for a while, one only for a short time, and one is no longer on
// the list.
func TestLiveVMsAreThoseThatAnswer(t *testing.T) {
	clk := &manualClock{now: clock.Time(time.Minute)}
	g := &gossiper{edge: &Edge{clk: clk}, unreachableSince: map[string]clock.Time{
		"b": clk.now.Add(-time.Minute / 2), "c": clk.now.Add(-deadAfter), "removed": 1,
	}}
	h := catalog.NewHolder()
	h.SetFleet([]catalog.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}, nil, 1)
	require.Equal(t, 3, g.liveCount(h.Load()))
	clk.now = clk.now.Add(time.Millisecond)
	require.Equal(t, 2, g.liveCount(h.Load()))
}

// manualClock is a clock that advances only when a test sets it.
type manualClock struct{ now clock.Time }

func (s *manualClock) Now() clock.Time { return s.now }
