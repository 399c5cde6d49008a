package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// manualClock is a clock that only the test advances.
type manualClock struct{ now clock.Time }

func (m *manualClock) Now() clock.Time { return m.now }

type source struct {
	known   LocalState
	revoked map[string]int64
}

func (s *source) State() LocalState { return s.known }
func (s *source) Revoke(service string, r int64, _ target.ID) timeline.Position {
	s.revoked[service] = r
	return timeline.Position{Term: 3, LSN: 9}
}

func start(t *testing.T, k LocalState, server clock.Clock, client clock.Clock) (*source, *Clients, string) {
	t.Helper()
	s := &source{known: k, revoked: make(map[string]int64)}
	h := httptest.NewServer(NewHandler(s, nil, server))
	t.Cleanup(h.Close)
	return s, NewClients((&net.Dialer{}).DialContext, client), strings.TrimPrefix(h.URL, "http://")
}

func full() *catalog.Catalog {
	h := catalog.NewHolder()
	h.SetConfig(&catalog.Config{Version: 9, TransactionIdle: 3 * time.Second,
		Routes: map[string]*catalog.Route{"pay": {Name: "r", Database: "pay", Service: "s", Freshness: catalog.Own,
			MaxAge: 2500 * time.Millisecond, StatementTimeout: 800 * time.Millisecond, Objective: 250 * time.Millisecond, Priority: 2}},
		Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: 23, SyncReplicas: 1}}})
	h.SetTargets(map[target.ID]*catalog.Target{"a": {ID: "a", Service: "s", Addr: "x:1", Zone: "z", Slots: 3, Draining: true, Role: target.RolePrimary}}, 20)
	h.SetFleet([]catalog.VM{{ID: "vm", Zone: "z", Peer: "y:2", Incarnation: "vm-1", Capacity: 0.4}},
		map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 21, Primary: "a", Holder: "vm", Attempt: &catalog.Attempt{Holder: "vm", Nonce: "n", Deposed: "a"}}}, 22)
	return h.Load()
}

func TestPullReturnsOnlyNewerData(t *testing.T) {
	known := full()
	_, c, addr := start(t, LocalState{Catalog: known}, &manualClock{}, &manualClock{})
	n, err := c.Pull(context.Background(), addr, PullOptions{Self: "me", Known: &catalog.Catalog{}})
	require.NoError(t, err)
	require.Equal(t, known.Config, n.Config)
	require.Equal(t, known.Targets, n.Targets.Targets)
	require.Equal(t, known.VMs, n.Fleet.VMs)
	require.Equal(t, known.LeadershipRecords, n.Fleet.LeadershipRecords)
	n, err = c.Pull(context.Background(), addr, PullOptions{Self: "me", Known: known})
	require.NoError(t, err)
	require.Nil(t, n.Config)
	require.Nil(t, n.Targets)
	require.Nil(t, n.Fleet)
}

// Failure guarded against: a proof appears more recent than it is, and a read trusts it for too
// long. The clocks of two VMs are unrelated, and a reply may take long to arrive, so the age of a
// proof counts from the time at which the request was sent.
func TestProofIsNeverMoreRecentThanItIs(t *testing.T) {
	theirs, ours := &manualClock{now: clock.Time(time.Hour)}, &manualClock{now: clock.Time(time.Minute)}
	p := freshness.Proof{Term: 2, Leader: "a", At: theirs.now.Add(-300 * time.Millisecond), Position: timeline.Position{Term: 2, LSN: 7}}
	_, c, addr := start(t, LocalState{Catalog: full(), Proofs: map[string]freshness.Proof{"s": p}}, theirs, ours)
	n, err := c.Pull(context.Background(), addr, PullOptions{Self: "me", Known: full()})
	require.NoError(t, err)
	got := n.Proofs["s"]
	require.LessOrEqual(t, got.At, ours.now.Add(-300*time.Millisecond))
	require.Greater(t, got.At, ours.now.Add(-301*time.Millisecond))
	got.At = p.At
	require.Equal(t, p, got)
}

// Failure guarded against: a confirmation appears more recent than it is, or is applied to another
// list.
func TestConfirmationsArePerListAndNeverMoreRecent(t *testing.T) {
	theirs, ours := &manualClock{now: clock.Time(time.Hour)}, &manualClock{now: clock.Time(time.Minute)}
	confirmation := recency.Confirmation{Version: 9, Revision: 40, At: theirs.now.Add(-2 * time.Second)}
	_, c, addr := start(t, LocalState{Catalog: full(), Confirmations: map[recency.List]recency.Confirmation{recency.Config: confirmation}}, theirs, ours)
	n, err := c.Pull(context.Background(), addr, PullOptions{Self: "me", Known: full()})
	require.NoError(t, err)
	require.Len(t, n.Confirmations, 1, "lists without a confirmation are left out")
	got := n.Confirmations[recency.Config]
	require.Equal(t, []int64{9, 40}, []int64{got.Version, got.Revision})
	require.LessOrEqual(t, got.At, ours.now.Add(-2*time.Second))
	require.Greater(t, got.At, ours.now.Add(-2001*time.Millisecond))
}

func TestRevokeAndUnreachablePeer(t *testing.T) {
	s, c, addr := start(t, LocalState{Catalog: full()}, &manualClock{}, &manualClock{})
	out := c.RevokeAll(context.Background(), []string{addr}, Revocation{Service: "s", Revision: 30, Deposed: "a"})
	require.Empty(t, out.Unanswered)
	require.Equal(t, timeline.Position{Term: 3, LSN: 9}, out.Acknowledged)
	require.EqualValues(t, 30, s.revoked["s"])
	c.Retain(map[string]bool{})
	require.Empty(t, c.byAddr)
	_, err := c.Pull(context.Background(), "127.0.0.1:1", PullOptions{Self: "me", Known: full()})
	require.Error(t, err)
}

// many returns a configuration of the size that the users plan for.
func many(version int64, timeout time.Duration) *catalog.Config {
	const services = 2900
	c := &catalog.Config{Version: version, Routes: map[string]*catalog.Route{}, Services: map[string]*catalog.Service{}}
	for i := range services {
		name := fmt.Sprintf("ledger-%d", i)
		c.Services[name] = &catalog.Service{Name: name, MaxConnections: 190, SyncReplicas: 1}
		database := fmt.Sprintf("ledger-%d.purchases.example", i)
		c.Routes[database] = &catalog.Route{Name: name + "-purchases", Database: database, Service: name, StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond, Priority: 1}
	}
	c.Routes["ledger-7.purchases.example"].StatementTimeout = timeout
	return c
}

// Failure guarded against: an operator changes one route out of 2,900, as happens every 13 seconds,
// and each VM pulls the full configuration from a peer, which takes 22 KB a second per VM for the
// configuration alone.
func TestOneRouteCostsOneRoute(t *testing.T) {
	h := catalog.NewHolder()
	before, after := many(7, time.Second), many(8, 2*time.Second)
	h.SetConfig(before)
	h.SetConfig(after)
	s := &Server{source: &source{known: LocalState{Catalog: h.Load()}}, clk: &manualClock{}}
	reply := func(in *gossippb.PullRequest) *gossippb.PullReply {
		out, err := s.Pull(context.Background(), in)
		require.NoError(t, err)
		return out
	}
	change := reply(&gossippb.PullRequest{ConfigVersion: 7, TakesChanges: true})
	require.Less(t, proto.Size(change), 200)
	require.Equal(t, after, updateOf(change, &catalog.Catalog{Config: before}, 0).Config)
	full := reply(&gossippb.PullRequest{ConfigVersion: 7})
	require.Greater(t, proto.Size(full), 200_000)
	require.Equal(t, after, updateOf(full, &catalog.Catalog{Config: before}, 0).Config)
	unknown := reply(&gossippb.PullRequest{ConfigVersion: 3, TakesChanges: true})
	require.Equal(t, after, updateOf(unknown, &catalog.Catalog{Config: many(3, time.Second)}, 0).Config)
	t.Logf("change %d B, full %d B", proto.Size(change), proto.Size(full))
}

// Failure guarded against: a VM that serves consumers of one service out of thousands pulls the
// proofs of all services ten times a second, which takes 1.4 MB a second.
func TestPullReturnsProofsOfSelectedServices(t *testing.T) {
	clk := &manualClock{now: clock.Time(time.Hour)}
	proofs := map[string]freshness.Proof{"s": {Term: 1, At: clk.now}, "t": {Term: 1, At: clk.now}, "u": {Term: 1, At: clk.now}}
	_, c, addr := start(t, LocalState{Catalog: full(), Proofs: proofs}, clk, clk)
	pull := func(selects bool, services ...string) map[string]freshness.Proof {
		n, err := c.Pull(context.Background(), addr, PullOptions{Self: "me", Known: full(), Selects: selects, Services: services})
		require.NoError(t, err)
		return n.Proofs
	}
	require.Len(t, pull(false), 3)
	require.Empty(t, pull(true))
	some := pull(true, "t", "v")
	require.Len(t, some, 1)
	require.Contains(t, some, "t")
}

// manyVMs is a fleet of the size that the users plan for.
func manyVMs() []catalog.VM {
	const vms = 2900
	out := make([]catalog.VM, vms)
	for i := range out {
		name := fmt.Sprintf("edge-%04d", i)
		out[i] = catalog.VM{ID: name, Zone: "zone-a", Peer: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200), Incarnation: name + "-5f3a", Capacity: 0.4}
	}
	return out
}

// Failure guarded against: one VM out of 2,900 is replaced, as happens every two minutes, or a
// leadership record changes, and each VM pulls the full list, which takes up to 3 KB a second per
// VM.
func TestOneVMCostsOneVM(t *testing.T) {
	h := catalog.NewHolder()
	h.SetFleet(manyVMs(), map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 9}}, 10)
	before := h.Load()
	vms := manyVMs()
	vms[7].Incarnation = "edge-0007-ffff"
	h.SetFleet(vms, map[string]*catalog.LeadershipRecord{"t": {Service: "t", Revision: 11}}, 11)
	after := h.Load()
	s := &Server{source: &source{known: LocalState{Catalog: after}}, clk: &manualClock{}}
	pull := func(in *gossippb.PullRequest) *gossippb.PullReply {
		out, err := s.Pull(context.Background(), in)
		require.NoError(t, err)
		return out
	}
	change := pull(&gossippb.PullRequest{FleetRevision: 10, TakesChanges: true})
	require.Less(t, proto.Size(change), 200)
	update := updateOf(change, before, 0)
	require.Equal(t, after.VMs, update.Fleet.VMs)
	require.Len(t, update.Fleet.LeadershipRecords, 1, "only the newer record")
	require.NotNil(t, update.Fleet.LeadershipRecords["t"])

	others := catalog.NewHolder()
	others.SetFleet(before.VMs[1:], nil, 10)
	other := others.Load()
	update = updateOf(change, other, 0)
	require.Nil(t, update.Fleet)
	require.True(t, update.Diverged)

	full := pull(&gossippb.PullRequest{FleetRevision: 10})
	require.Greater(t, proto.Size(full), 100_000)
	require.Equal(t, after.VMs, updateOf(full, other, 0).Fleet.VMs)
	t.Logf("change %d B, full %d B", proto.Size(change), proto.Size(full))
}
