package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// downStore answers no call.
type downStore struct{ store.Store }

func (downStore) VMs(context.Context) ([]store.VM, error) { return nil, store.ErrUnavailable }

type node struct {
	*Exchange
	views *view.Holder
}

func (n node) OnObserve(*peerpb.ObserveRequest) *peerpb.ObserveReply { return nil }
func (n node) OnCancel(uint32, []byte) bool                          { return false }

func newNode(t *testing.T, id string) (node, membership.VM) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	self := membership.VM{ID: id, Zone: "z", Addr: ln.Addr().String()}
	views := view.NewHolder()
	drains := NewDrains(views, zap.NewNop())
	x := NewExchange(ExchangeConfig{
		Clock: monotonic.New(), Views: views, Config: NewConfiguration(views, zap.NewNop()),
		Clients: peer.NewClients(nil), Store: downStore{}, Duty: NewDuty(self), Drains: drains, Log: zap.NewNop(),
		OnGroup:  func(g *view.Group) { views.Adopt(g) },
		OnDrain:  func(id target.ID, d bool, rev int64) { drains.Offer(id, d, rev) },
		OnChange: func([]membership.VM) {},
		Machine:  membership.New(membership.Config{Incarnation: 1}, self),
		Rand:     rand.New(rand.NewPCG(1, 2)),
	})
	n := node{x, views}
	srv := peer.NewServer(n, nil)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return n, self
}

func published(g profile.Generation, grace string) Published {
	text := []byte("[p]\ndrain-grace = " + grace + "\n")
	return Published{Generation: g, Digest: profile.Digest(text), Text: text}
}

// The store is down and a daemon restarts with nothing. It must serve from what
// a peer knows: groups with their servers, and the newest profiles. A peer that
// slept through two publications must not take it back.
func TestRestartedDaemonLearnsFromPeersAndNeverGoesBack(t *testing.T) {
	old, oldVM := newNode(t, "p1")
	old.views.Adopt(&view.Group{Name: "g", Term: 4, Primary: "b", Servers: []view.Server{{ID: "b", Addr: "127.0.0.1:9"}}})
	require.True(t, old.config.Offer(published(3, "4s"), "store"))

	fresh, _ := newNode(t, "p2")
	fresh.exchangeWith(context.Background(), oldVM)
	require.Equal(t, "127.0.0.1:9", fresh.views.Load().Groups["g"].Servers[0].Addr)
	require.Equal(t, profile.Generation(3), fresh.views.Load().Profiles.Generation)

	asleep, asleepVM := newNode(t, "p3")
	require.True(t, asleep.config.Offer(published(1, "9s"), "store"))
	fresh.exchangeWith(context.Background(), asleepVM)
	require.Equal(t, profile.Generation(3), fresh.config.Current().Generation)
	require.Equal(t, profile.Generation(3), asleep.config.Current().Generation, "and the sleeper is brought forward")
}

// A damaged copy of a set arrives from a peer: its text does not match the
// digest that was published. It must not be put in force, whatever its number.
func TestDamagedConfigurationIsRefused(t *testing.T) {
	n, _ := newNode(t, "p1")
	p := published(9, "4s")
	p.Text = append(p.Text, ' ')
	require.False(t, n.config.Offer(p, "peer"))
	require.Zero(t, n.config.Current().Generation)
}

// A target is drained for a kernel update and taken back. A VM that heard of the
// drain only goes on telling it. Nobody may take the drain up again, and the VM
// that does not watch the store must hear of both.
func TestDrainsSpreadByPeersAndEndForGood(t *testing.T) {
	watcher, watcherVM := newNode(t, "p1")
	watcher.drains.Offer("db-a", true, 10)
	other, _ := newNode(t, "p2")
	other.exchangeWith(context.Background(), watcherVM)
	require.True(t, other.views.Load().Draining["db-a"])

	watcher.drains.Offer("db-a", false, 12)
	other.exchangeWith(context.Background(), watcherVM)
	require.False(t, watcher.views.Load().Draining["db-a"], "the late peer's mark is older")
	require.False(t, other.views.Load().Draining["db-a"])
}

// A VM is cut off from everybody while a primary changes, and comes back long
// after that was news. It must learn of the new primary from peers. Once all
// agree, exchanges carry no group: 2,900 groups would cost every VM its bytes.
func TestLateVMCatchesUpAndThenNothingIsSent(t *testing.T) {
	knows, knowsVM := newNode(t, "p1")
	late, _ := newNode(t, "p2")
	for _, name := range []string{"g1", "g2", "g3", "g4", "g5"} {
		knows.views.Adopt(&view.Group{Name: name, Term: 5, Primary: "b", Servers: []view.Server{{ID: "b"}}})
		late.views.Adopt(&view.Group{Name: name, Term: 4, Primary: "a", Servers: []view.Server{{ID: "b"}}})
	}
	knows.request()
	for name := range knows.changed {
		knows.changed[name] = knows.clk.Now().Add(-newsFor)
	}
	// What is learned is relayed at once, by exchanges of its own that take their
	// turns too, so the number of exchanges until all are there is not fixed.
	for tries := 0; behind(late) > 0; tries++ {
		require.Less(t, tries, 100, "exchanges without an end")
		late.exchangeWith(context.Background(), knowsVM)
	}
	ask := late.request()
	ask.Groups = nil
	require.Empty(t, knows.answerGroups(ask))
}

// behind counts the groups of which a VM still believes in the old primary.
func behind(n node) int {
	count := 0
	for _, g := range n.views.Load().Groups {
		if g.Primary != "b" {
			count++
		}
	}
	return count
}
