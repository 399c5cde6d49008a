package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/platform/boot"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/standin/objectstore"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// peerState answers pulls with an empty catalog.
type peerState struct{}

func (peerState) State() gossip.LocalState { return gossip.LocalState{Catalog: &catalog.Catalog{}} }
func (peerState) Revoke(string, int64, target.ID) timeline.Position {
	return timeline.Position{}
}

// sweeper is a VM "a" that has not reached "b", whose peers' address is given, for two minutes.
func sweeper(t *testing.T, peer string) (*fleetEntry, *objectstore.Store, *manualClock) {
	store := objectstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put(kindFleet, prefixVM+"b", vmRecord{Peer: peer, Incarnation: "b-1"})
	clk := &manualClock{now: clock.Time(time.Hour)}
	e := &Edge{
		settings: &boot.Settings{Node: "a"}, catalog: catalog.NewHolder(), clk: clk, log: zap.NewNop(), incarnation: "a-1",
		store: objects.New(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
	}
	e.catalog.SetFleet([]catalog.VM{{ID: "b", Peer: peer, Incarnation: "b-1"}}, nil, 1)
	e.groups = groups.NewRegistry(groups.Config{Catalog: e.catalog, Clock: clk, Log: e.log})
	e.gossip = &gossiper{
		edge: e, clients: gossip.NewClients((&net.Dialer{}).DialContext, clk), outcomes: newPullOutcomes(e.log, prometheus.NewRegistry(), clk.now),
		backoffUntil: make(map[string]clock.Time), unreachableSince: map[string]clock.Time{"b": clk.now.Add(-2 * time.Minute)},
	}
	return newFleetEntry(e), store, clk
}

func (f *fleetEntry) sweepOnce() { f.sweepAll(context.Background(), f.edge.gossip.removableVMs()) }

func expiring(t *testing.T, store *objectstore.Store) bool {
	o, ok := store.Get(kindFleet, prefixVM+"b")
	require.True(t, ok, "the entry was removed")
	var r vmRecord
	require.NoError(t, json.Unmarshal(o.Spec, &r))
	return r.Expiring
}

const nobody = "127.0.0.1:1"

// A VM that is dead is removed from the list, so that lists and attempts do not grow for good.
func TestEntryOfADeadVMIsRemovedAfterNotice(t *testing.T) {
	f, store, clk := sweeper(t, nobody)
	f.sweepOnce()
	require.True(t, expiring(t, store))
	clk.now = clk.now.Add(expiryNotice)
	f.sweepOnce()
	require.True(t, expiring(t, store), "it stays until the notice is over")
	clk.now = clk.now.Add(time.Millisecond)
	f.sweepOnce()
	_, ok := store.Get(kindFleet, prefixVM+"b")
	require.False(t, ok)
}

// Guards against: an attempt that does not ask a VM to give up its read permission, because a VM that
// does not reach it has removed it from the list although it serves.
func TestVMThatWritesItsEntryAgainStaysListed(t *testing.T) {
	f, store, clk := sweeper(t, nobody)
	for range 5 {
		f.sweepOnce()
		require.True(t, expiring(t, store))
		clk.now = clk.now.Add(expiryNotice + time.Second)
		store.Put(kindFleet, prefixVM+"b", vmRecord{Peer: nobody, Incarnation: "b-1"})
	}
	require.False(t, expiring(t, store))
}

// Guards against: a VM that is removed from the list because a pull from it failed a minute ago, as
// it restarted. In a large fleet no other pull was tried since.
func TestVMThatAnswersAgainIsNotSwept(t *testing.T) {
	peer := httptest.NewServer(gossip.NewHandler(peerState{}, nil, &manualClock{}))
	defer peer.Close()
	f, store, _ := sweeper(t, strings.TrimPrefix(peer.URL, "http://"))
	f.sweepOnce()
	require.False(t, expiring(t, store))
	require.Empty(t, f.edge.gossip.removableVMs())
}

// Guards against: a VM that keeps its read permission while its entry is about to be removed.
func TestVMWithAnExpiringEntryIsNotEligible(t *testing.T) {
	f, _, clk := sweeper(t, nobody)
	e := f.edge
	e.eras = newEras(e.log, clk, prometheus.NewRegistry())
	list := func(revision int64, vm catalog.VM) {
		e.catalog.SetFleet([]catalog.VM{vm}, nil, revision)
		e.recordConfirmation(recency.Fleet, revision, clk.now)
	}
	list(2, catalog.VM{ID: "a", Incarnation: "a-1"})
	require.True(t, e.gossip.eligible())
	list(3, catalog.VM{ID: "a", Incarnation: "a-1", Expiring: true})
	require.False(t, e.gossip.eligible())
	require.False(t, e.hasOwnEntry(e.catalog.Load()), "it writes its entry again")
}

// Guards against: a VM that spends its time on the entries of a dead half of the fleet. It takes up a
// few, and leaves them alone until their notice is over.
func TestFewEntriesAreSweptAtATime(t *testing.T) {
	f, _, clk := sweeper(t, nobody)
	var dead []string
	for i := range 500 {
		dead = append(dead, fmt.Sprint("dead", i))
	}
	first := f.nextSweeps(dead)
	require.Len(t, first, maxSweeps)
	for _, vm := range first {
		f.expiring[vm] = expiringEntry{1, clk.now}
	}
	require.Empty(t, f.nextSweeps(dead))
	clk.now = clk.now.Add(expiryNotice + 1)
	require.Equal(t, first, f.nextSweeps(dead))
	require.Len(t, f.nextSweeps(dead[1:]), maxSweeps, "another takes the place of one that is reached again")
}
