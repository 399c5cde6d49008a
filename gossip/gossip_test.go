package gossip

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// manual is a clock that only the test moves.
type manual struct{ now clock.Time }

func (m *manual) Now() clock.Time { return m.now }

type source struct {
	known   Knowledge
	revoked map[string]int64
}

func (s *source) Know() Knowledge { return s.known }
func (s *source) Revoke(service string, r int64, _ target.ID) timeline.Position {
	s.revoked[service] = r
	return timeline.Position{Term: 3, LSN: 9}
}

func start(t *testing.T, k Knowledge, server clock.Clock, client clock.Clock) (*source, *Clients, string) {
	t.Helper()
	s := &source{known: k, revoked: make(map[string]int64)}
	h := httptest.NewServer(NewHandler(s, server))
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
		map[string]*catalog.Reign{"s": {Service: "s", Revision: 21, Primary: "a", Holder: "vm", Attempt: &catalog.Attempt{Holder: "vm", Nonce: "n", Deposed: "a"}}}, 22)
	return h.Load()
}

func TestPullBringsWhatIsNews(t *testing.T) {
	known := full()
	_, c, addr := start(t, Knowledge{Catalog: known}, &manual{}, &manual{})
	n, err := c.Pull(context.Background(), addr, "me", &catalog.Catalog{})
	require.NoError(t, err)
	require.Equal(t, known.Config, n.Config)
	require.Equal(t, known.Targets, n.Targets.Targets)
	require.Equal(t, known.VMs, n.Fleet.VMs)
	require.Equal(t, known.Reigns, n.Fleet.Reigns)
	n, err = c.Pull(context.Background(), addr, "me", known)
	require.NoError(t, err)
	require.Nil(t, n.Config)
	require.Nil(t, n.Targets)
	require.Nil(t, n.Fleet)
}

// Two VMs' clocks have nothing in common, and the answer may be long on its
// way. A proof must never look younger than it is, or a read trusts it for too
// long; so its age counts from the moment of the question.
func TestProofIsNeverYoungerThanItIs(t *testing.T) {
	theirs, ours := &manual{now: clock.Time(time.Hour)}, &manual{now: clock.Time(time.Minute)}
	p := freshness.Proof{Term: 2, Leader: "a", At: theirs.now.Add(-300 * time.Millisecond), Position: timeline.Position{Term: 2, LSN: 7}}
	_, c, addr := start(t, Knowledge{Catalog: full(), Proofs: map[string]freshness.Proof{"s": p}, StoreAge: time.Second}, theirs, ours)
	n, err := c.Pull(context.Background(), addr, "me", full())
	require.NoError(t, err)
	got := n.Proofs["s"]
	require.LessOrEqual(t, got.At, ours.now.Add(-300*time.Millisecond))
	require.Greater(t, got.At, ours.now.Add(-301*time.Millisecond))
	require.Equal(t, ours.now.Add(-time.Second), n.Store)
	got.At = p.At
	require.Equal(t, p, got)
}

func TestRevokeAndSilence(t *testing.T) {
	s, c, addr := start(t, Knowledge{Catalog: full()}, &manual{}, &manual{})
	acknowledged, err := c.Revoke(context.Background(), addr, "s", 30, "a")
	require.NoError(t, err)
	require.Equal(t, timeline.Position{Term: 3, LSN: 9}, acknowledged)
	require.EqualValues(t, 30, s.revoked["s"])
	c.Keep(map[string]bool{})
	require.Empty(t, c.at)
	_, err = c.Pull(context.Background(), "127.0.0.1:1", "me", full())
	require.Error(t, err)
}
