package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/internal/memnet"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// holder is a VM that holds a permission until it receives a revocation.
type holder struct {
	position uint64
	gaveUp   atomic.Int64
}

func (h *holder) State() LocalState { return LocalState{Catalog: &catalog.Catalog{}} }

func (h *holder) Revoke(_ string, revision int64, _ target.ID) timeline.Position {
	h.gaveUp.Store(revision)
	return timeline.Position{Term: 1, LSN: timeline.LSN(h.position)}
}

// holderFleet is a fleet of holders, in virtual time.
type holderFleet struct {
	net     *memnet.Network
	addrs   []string
	holders []*holder

	mu    sync.Mutex
	calls map[string]int // connections made, by VM
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1) }

// newHolderFleet starts n VMs except the dead ones, and a separate caller. The VMs in old are of a
// version that does not forward.
func newHolderFleet(t *testing.T, n int, dead, old map[int]bool) *holderFleet {
	c := &holderFleet{net: memnet.New(), calls: make(map[string]int)}
	for i := range n {
		h := &holder{position: uint64(i)}
		c.addrs, c.holders = append(c.addrs, addrOf(i)), append(c.holders, h)
		if dead[i] {
			continue
		}
		name := fmt.Sprint("vm", i)
		ln, err := c.net.Host(name).Listen(addrOf(i))
		require.NoError(t, err)
		handler := NewHandler(h, c.clients(name), &manualClock{})
		if old[i] {
			handler = gossippb.NewGossipServer(&oldServer{source: h})
		}
		server := NewHTTPServer(handler)
		go func() { _ = server.Serve(ln) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return c
}

// oldServer is the handler of a VM in a version that does not forward.
type oldServer struct{ source Source }

func (d *oldServer) Pull(context.Context, *gossippb.PullRequest) (*gossippb.PullReply, error) {
	return &gossippb.PullReply{}, nil
}

func (d *oldServer) Read(context.Context, *gossippb.ReadRequest) (*gossippb.ReadReply, error) {
	return nil, twirp.NewError(twirp.BadRoute, "not known")
}

func (d *oldServer) Revoke(_ context.Context, in *gossippb.RevokeRequest) (*gossippb.RevokeReply, error) {
	p := d.source.Revoke(in.GetService(), in.GetRevision(), target.ID(in.GetDeposed()))
	return &gossippb.RevokeReply{AcknowledgedTerm: uint64(p.Term), AcknowledgedNumber: uint64(p.LSN)}, nil
}

func (c *holderFleet) clients(name string) *Clients {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.mu.Lock()
		c.calls[name]++
		c.mu.Unlock()
		return c.net.Host(name).DialContext(ctx, network, addr)
	}
	return NewClients(dial, &manualClock{})
}

func (c *holderFleet) mostCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := 0
	for _, n := range c.calls {
		out = max(out, n)
	}
	return out
}

// checkAnswered checks that no VM that counts as answered still holds its permission.
func (c *holderFleet) checkAnswered(t *testing.T, out RevokeResult, revision int64) {
	t.Helper()
	for i, h := range c.holders {
		if _, missed := out.Unanswered[c.addrs[i]]; !missed {
			require.Equal(t, revision, h.gaveUp.Load(), "VM %d counts as answered and holds its permission", i)
		}
	}
}

func revokeIn(t *testing.T, n int, dead, old map[int]bool, check func(c *holderFleet, out RevokeResult)) {
	bubble.Test(t, func(t *testing.T) {
		c := newHolderFleet(t, n, dead, old)
		caller := c.clients("caller")
		out := caller.RevokeAll(context.Background(), c.addrs, Revocation{Service: "s", Revision: 30, Deposed: "a"})
		c.checkAnswered(t, out, 30)
		check(c, out)
	})
}

// Failure guarded against: the primary of a fleet of 300 VMs dies, and one VM calls all others
// directly, for which it has to open as many connections within a quarter of a second.
func TestLargeFleetsAreRevokedInBranches(t *testing.T) {
	revokeIn(t, 300, nil, nil, func(c *holderFleet, out RevokeResult) {
		require.Empty(t, out.Unanswered)
		require.Equal(t, timeline.Position{Term: 1, LSN: 299}, out.Acknowledged)
		require.Equal(t, 17, c.mostCalls())
	})
}

// Some VMs died with the primary. They may still hold permissions, so that they, and only they, are
// reported as unanswered, whether they are the first of a branch or a leaf.
func TestDeadPeersAreUnanswered(t *testing.T) {
	const first, leaf = 18, 40
	revokeIn(t, 300, map[int]bool{first: true, leaf: true}, nil, func(c *holderFleet, out RevokeResult) {
		require.Len(t, out.Unanswered, 2)
		require.Contains(t, out.Unanswered, addrOf(first))
		require.Contains(t, out.Unanswered, addrOf(leaf))
	})
}

// Failure guarded against: during an upgrade of the fleet some VMs do not forward yet, and the peers
// behind them keep their permissions unnoticed.
func TestBranchesOfOldVersionsAreRevokedDirectly(t *testing.T) {
	revokeIn(t, 300, nil, map[int]bool{0: true, 36: true, 40: true}, func(c *holderFleet, out RevokeResult) {
		require.Empty(t, out.Unanswered)
	})
}

// Failure guarded against: a single request makes a VM call an unbounded number of addresses.
func TestTooManyToForwardAreRefused(t *testing.T) {
	s := &Server{source: &holder{}, clients: NewClients(nil, &manualClock{}), clk: &manualClock{}}
	_, err := s.Revoke(context.Background(), &gossippb.RevokeRequest{Forward: make([]string, maxBranch+1)})
	require.Error(t, err)
}
