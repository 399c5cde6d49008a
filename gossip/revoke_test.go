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

// holder is a VM that holds a permission until it is asked to give it up.
type holder struct {
	position uint64
	gaveUp   atomic.Int64
}

func (h *holder) Know() Knowledge { return Knowledge{Catalog: &catalog.Catalog{}} }

func (h *holder) Revoke(_ string, revision int64, _ target.ID) timeline.Position {
	h.gaveUp.Store(revision)
	return timeline.Position{Term: 1, LSN: timeline.LSN(h.position)}
}

// crowd is a fleet of holders, in virtual time.
type crowd struct {
	net     *memnet.Network
	addrs   []string
	holders []*holder

	mu    sync.Mutex
	calls map[string]int // connections made, by VM
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1) }

// newCrowd starts n VMs but for those that are dead, and a caller beside them. Old
// VMs are of a version that does not forward.
func newCrowd(t *testing.T, n int, dead, old map[int]bool) *crowd {
	c := &crowd{net: memnet.New(), calls: make(map[string]int)}
	for i := range n {
		h := &holder{position: uint64(i)}
		c.addrs, c.holders = append(c.addrs, addrOf(i)), append(c.holders, h)
		if dead[i] {
			continue
		}
		name := fmt.Sprint("vm", i)
		ln, err := c.net.Host(name).Listen(addrOf(i))
		require.NoError(t, err)
		handler := NewHandler(h, c.clients(name), &manual{})
		if old[i] {
			handler = gossippb.NewGossipServer(&deaf{source: h})
		}
		server := NewHTTPServer(handler)
		go func() { _ = server.Serve(ln) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return c
}

// deaf is a VM's face in a version that does not forward.
type deaf struct{ source Source }

func (d *deaf) Pull(context.Context, *gossippb.PullRequest) (*gossippb.PullReply, error) {
	return &gossippb.PullReply{}, nil
}

func (d *deaf) Read(context.Context, *gossippb.ReadRequest) (*gossippb.ReadReply, error) {
	return nil, twirp.NewError(twirp.BadRoute, "not known")
}

func (d *deaf) Revoke(_ context.Context, in *gossippb.RevokeRequest) (*gossippb.RevokeReply, error) {
	p := d.source.Revoke(in.GetService(), in.GetRevision(), target.ID(in.GetDeposed()))
	return &gossippb.RevokeReply{AcknowledgedTerm: uint64(p.Term), AcknowledgedNumber: uint64(p.LSN)}, nil
}

func (c *crowd) clients(name string) *Clients {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.mu.Lock()
		c.calls[name]++
		c.mu.Unlock()
		return c.net.Host(name).DialContext(ctx, network, addr)
	}
	return NewClients(dial, &manual{})
}

func (c *crowd) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := 0
	for _, n := range c.calls {
		out = max(out, n)
	}
	return out
}

// judge sees whether a VM passes for asked that still holds its permission.
func (c *crowd) judge(t *testing.T, out Revoked, revision int64) {
	t.Helper()
	for i, h := range c.holders {
		if _, missed := out.Unanswered[c.addrs[i]]; !missed {
			require.Equal(t, revision, h.gaveUp.Load(), "VM %d counts as asked and holds its permission", i)
		}
	}
}

func revokeIn(t *testing.T, n int, dead, old map[int]bool, check func(c *crowd, out Revoked)) {
	bubble.Test(t, func(t *testing.T) {
		c := newCrowd(t, n, dead, old)
		caller := c.clients("caller")
		out := caller.RevokeAll(context.Background(), c.addrs, Revocation{Service: "s", Revision: 30, Deposed: "a"})
		c.judge(t, out, 30)
		check(c, out)
	})
}

// A primary dies under a fleet of 300 VMs. Were one VM to ask all others itself, it
// would need their number of connections in a quarter of a second.
func TestLargeFleetsAreAskedInBranches(t *testing.T) {
	revokeIn(t, 300, nil, nil, func(c *crowd, out Revoked) {
		require.Empty(t, out.Unanswered)
		require.Equal(t, timeline.Position{Term: 1, LSN: 299}, out.Acknowledged)
		require.Equal(t, 17, c.most())
	})
}

// Some VMs died with the primary. They hold permissions as far as anybody knows,
// and only they do, whether they were to be asked first or through another.
func TestDeadPeersAreNotTakenForAsked(t *testing.T) {
	const first, leaf = 18, 40
	revokeIn(t, 300, map[int]bool{first: true, leaf: true}, nil, func(c *crowd, out Revoked) {
		require.Len(t, out.Unanswered, 2)
		require.Contains(t, out.Unanswered, addrOf(first))
		require.Contains(t, out.Unanswered, addrOf(leaf))
	})
}

// The fleet is upgraded, and some VMs do not forward yet. What they were to ask
// would keep its permission unseen.
func TestBranchesOfOldVersionsAreAskedDirectly(t *testing.T) {
	revokeIn(t, 300, nil, map[int]bool{0: true, 36: true, 40: true}, func(c *crowd, out Revoked) {
		require.Empty(t, out.Unanswered)
	})
}

// Nobody lets a VM ask half the world for a message that it got.
func TestTooManyToForwardAreRefused(t *testing.T) {
	s := &Server{source: &holder{}, clients: NewClients(nil, &manual{}), clk: &manual{}}
	_, err := s.Revoke(context.Background(), &gossippb.RevokeRequest{Forward: make([]string, maxBranch+1)})
	require.Error(t, err)
}
