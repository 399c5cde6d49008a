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

// downStore is a store that is unavailable.
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
		Clients: peer.NewClients(nil), Store: downStore{}, Assignment: NewAssignment(self), Drains: drains, Log: zap.NewNop(),
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

// The store is down and a daemon restarts without any state. It must serve from what a peer has
// cached: groups with their servers, and the newest profiles. A peer that was paused during two
// publications must not revert it to an older set.
func TestRestartedDaemonLearnsFromPeersAndNeverGoesBack(t *testing.T) {
	old, oldVM := newNode(t, "p1")
	old.views.Adopt(&view.Group{Name: "g", Term: 4, Primary: "b", Servers: []view.Server{{ID: "b", Addr: "127.0.0.1:9"}}})
	require.True(t, old.config.Offer(published(3, "4s"), "store"))

	restarted, _ := newNode(t, "p2")
	restarted.exchangeWith(context.Background(), oldVM)
	require.Equal(t, "127.0.0.1:9", restarted.views.Load().Groups["g"].Servers[0].Addr)
	require.Equal(t, profile.Generation(3), restarted.views.Load().Profiles.Generation)

	paused, pausedVM := newNode(t, "p3")
	require.True(t, paused.config.Offer(published(1, "9s"), "store"))
	restarted.exchangeWith(context.Background(), pausedVM)
	require.Equal(t, profile.Generation(3), restarted.config.Current().Generation)
	require.Equal(t, profile.Generation(3), paused.config.Current().Generation, "the paused peer receives the newer set")
}

// A peer sends a damaged copy of a set whose text does not match the published digest. It must not
// be put in force, however high its generation is.
func TestDamagedConfigurationIsRefused(t *testing.T) {
	n, _ := newNode(t, "p1")
	p := published(9, "4s")
	p.Text = append(p.Text, ' ')
	require.False(t, n.config.Offer(p, "peer"))
	require.Zero(t, n.config.Current().Generation)
}

// A target is drained for a kernel update and then takes work again. A VM that has received only
// the start of the drain keeps sending it. No VM may restore the drain, and the VM that does not
// watch the store must receive both changes.
func TestDrainsSpreadByPeersAndEndForGood(t *testing.T) {
	watcher, watcherVM := newNode(t, "p1")
	watcher.drains.Offer("db-a", true, 10)
	other, _ := newNode(t, "p2")
	other.exchangeWith(context.Background(), watcherVM)
	require.True(t, other.views.Load().Draining["db-a"])

	watcher.drains.Offer("db-a", false, 12)
	other.exchangeWith(context.Background(), watcherVM)
	require.False(t, watcher.views.Load().Draining["db-a"], "the mark of the outdated peer has an older revision")
	require.False(t, other.views.Load().Draining["db-a"])
}

// A VM is partitioned while a primary changes and reconnects after recentChangePeriod. It must
// learn of the new primary from peers. Once all VMs agree, exchanges carry no group: the state of
// 2,900 groups in each exchange would cost too many bytes.
func TestPartitionedVMCatchesUpAndThenNoGroupIsSent(t *testing.T) {
	current, currentVM := newNode(t, "p1")
	outdated, _ := newNode(t, "p2")
	for _, name := range []string{"g1", "g2", "g3", "g4", "g5"} {
		current.views.Adopt(&view.Group{Name: name, Term: 5, Primary: "b", Servers: []view.Server{{ID: "b"}}})
		outdated.views.Adopt(&view.Group{Name: name, Term: 4, Primary: "a", Servers: []view.Server{{ID: "b"}}})
	}
	current.request()
	for name := range current.changed {
		current.changed[name] = current.clk.Now().Add(-recentChangePeriod)
	}
	// A received update is relayed at once by further exchanges, which advance the rotation too,
	// so the number of exchanges until all groups have arrived is not fixed.
	for tries := 0; behind(outdated) > 0; tries++ {
		require.Less(t, tries, 100, "groups still differ after 100 exchanges")
		outdated.exchangeWith(context.Background(), currentVM)
	}
	req := outdated.request()
	req.Groups = nil
	require.Empty(t, current.answerGroups(req))
}

// behind counts the groups for which a node still has the old primary.
func behind(n node) int {
	count := 0
	for _, g := range n.views.Load().Groups {
		if g.Primary != "b" {
			count++
		}
	}
	return count
}
