package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
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
	require.False(t, g.question().Whole)
	g.take(&gossip.News{Diverged: true})
	require.True(t, g.question().Whole)
	g.take(&gossip.News{})
	require.True(t, g.question().Whole, "a peer with no news says nothing of it")
	g.take(&gossip.News{Fleet: &gossip.Fleet{Revision: 7}})
	require.False(t, g.question().Whole)
}
