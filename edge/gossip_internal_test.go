package edge

import (
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

// A peer tells what has changed in a list, and that does not fit the list that this
// VM has. It asks for whole lists until one came: what changes next would not fit
// either.
func TestAfterADivergenceWholeListsAreAskedFor(t *testing.T) {
	e := &Edge{set: &boot.Settings{}, catalog: catalog.NewHolder(), clk: monotonic.New(), log: zap.NewNop()}
	e.groups = groups.NewRegistry(groups.Config{Catalog: e.catalog, Clock: e.clk, Log: e.log})
	g := &gossiper{edge: e}
	require.False(t, g.question().FullLists)
	g.take(&gossip.Update{Diverged: true})
	require.True(t, g.question().FullLists)
	g.take(&gossip.Update{})
	require.True(t, g.question().FullLists, "a peer with no news says nothing of it")
	g.take(&gossip.Update{Fleet: &gossip.Fleet{Revision: 7}})
	require.False(t, g.question().FullLists)
}

// Some VMs have not answered for a while, one only just now, and one is off the list.
func TestLiveVMsAreThoseThatAnswer(t *testing.T) {
	clk := &steps{now: clock.Time(time.Minute)}
	g := &gossiper{edge: &Edge{clk: clk}, silent: map[string]clock.Time{
		"b": clk.now.Add(-time.Minute / 2), "c": clk.now.Add(-deadAfter), "gone": 1,
	}}
	h := catalog.NewHolder()
	h.SetFleet([]catalog.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}, nil, 1)
	require.Equal(t, 3, g.live(h.Load()))
	clk.now = clk.now.Add(time.Millisecond)
	require.Equal(t, 2, g.live(h.Load()))
}

// steps is a clock that stands still until it is moved.
type steps struct{ now clock.Time }

func (s *steps) Now() clock.Time { return s.now }
