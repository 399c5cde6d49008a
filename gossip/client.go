package gossip

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// callTimeout bounds one call to a peer. Peers are at most a few
	// milliseconds away; one that takes longer is asked again later.
	callTimeout = 250 * time.Millisecond
	// maxIdle and idleTimeout bound the connections kept to peers.
	maxIdle     = 1
	idleTimeout = 20 * time.Second
	// headerTimeout bounds a peer that opens a connection and says nothing.
	headerTimeout = 5 * time.Second
)

// Clients calls peers. It is safe for concurrent use.
type Clients struct {
	http *http.Client
	clk  clock.Clock

	mu sync.Mutex
	at map[string]gossippb.Gossip
}

// NewClients returns Clients that connect by dial.
func NewClients(dial func(ctx context.Context, network, addr string) (net.Conn, error), clk clock.Clock) *Clients {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &Clients{http: &http.Client{Transport: terse.Transport{RoundTripper: transport}, Timeout: callTimeout}, clk: clk, at: make(map[string]gossippb.Gossip)}
}

// Keep forgets the peers whose address is not among those given: a fleet
// replaces hundreds of VMs a day.
func (c *Clients) Keep(addrs map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.at {
		if !addrs[addr] {
			delete(c.at, addr)
		}
	}
}

func (c *Clients) client(addr string) gossippb.Gossip {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at[addr] == nil {
		c.at[addr] = gossippb.NewGossipProtobufClient("http://"+addr, c.http)
	}
	return c.at[addr]
}

// News is what a peer told.
type News struct {
	// Proofs by service, with their moments on this VM's clock.
	Proofs map[string]freshness.Proof
	// Acknowledged are positions that new primaries must hold, by service.
	Acknowledged map[string]timeline.Position
	// Config is nil unless the peer has a later version.
	Config *catalog.Config
	// Targets is nil unless the peer has a later list.
	Targets *Targets
	// Fleet is nil unless the peer has a later list.
	Fleet *Fleet
	// Diverged is set if the peer told what has changed in a list, and it does not
	// fit: whole lists are to be asked for.
	Diverged bool
	// Silences are the peers, by address, that somebody could not reach lately, and when.
	Silences map[string]clock.Time
	// Marks are the peer's evidence that its copies are up to date.
	Marks map[recency.List]recency.Mark
	// Bulks are lists that are too large to come along; Fetch reads them.
	Bulks []Bulk
}

// Question is what a VM asks of a peer.
type Question struct {
	// Self is the VM's name.
	Self string
	// Known is its catalog: only what is news beyond it is told.
	Known *catalog.Catalog
	// Selects limits the proofs to those of Services.
	Selects  bool
	Services []string
	// Whole asks for whole lists instead of what has changed in them.
	Whole bool
}

// Pull asks a peer for what it knows beyond the catalog.
func (c *Clients) Pull(ctx context.Context, addr string, q Question) (*News, error) {
	known := q.Known
	in := &gossippb.PullRequest{
		Vm: q.Self, ConfigVersion: known.ConfigVersion(), TargetsRevision: known.TargetsRevision, FleetRevision: known.FleetRevision,
		TakesChanges: !q.Whole, TakesBulks: true, Selects: q.Selects, Services: q.Services,
	}
	sent := c.clk.Now()
	out, err := c.client(addr).Pull(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "pull from %s", addr)
	}
	return newsOf(out, known, sent), nil
}
