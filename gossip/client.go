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
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// callTimeout bounds one call to a peer. Peers are at most a few milliseconds away; a peer that
	// takes longer is called again later.
	callTimeout = 250 * time.Millisecond
	// maxIdle and idleTimeout bound the connections kept to peers.
	maxIdle     = 1
	idleTimeout = 20 * time.Second
	// headerTimeout bounds how long a peer may take to send a request's header on an open
	// connection.
	headerTimeout = 5 * time.Second
)

// Clients calls peers. It is safe for concurrent use.
type Clients struct {
	http *http.Client
	clk  clock.Clock

	mu     sync.Mutex
	byAddr map[string]gossippb.Gossip
}

// NewClients returns Clients that connect with dial.
func NewClients(dial func(ctx context.Context, network, addr string) (net.Conn, error), clk clock.Clock) *Clients {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &Clients{http: &http.Client{Transport: terse.Transport{RoundTripper: transport}, Timeout: callTimeout}, clk: clk, byAddr: make(map[string]gossippb.Gossip)}
}

// Retain drops the clients of peers whose address is not in addrs: a fleet replaces hundreds of VMs
// a day.
func (c *Clients) Retain(addrs map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.byAddr {
		if !addrs[addr] {
			delete(c.byAddr, addr)
		}
	}
}

func (c *Clients) client(addr string) gossippb.Gossip {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddr[addr] == nil {
		c.byAddr[addr] = gossippb.NewGossipProtobufClient("http://"+addr, c.http)
	}
	return c.byAddr[addr]
}

// Update is what a peer sent in reply to a pull.
type Update struct {
	// Proofs by service, with their times on this VM's clock.
	Proofs map[string]freshness.Proof
	// Acknowledged are positions that new primaries must hold, by service.
	Acknowledged map[string]timeline.Position
	// Config is nil unless the peer has a later version.
	Config *catalog.Config
	// Targets is nil unless the peer has a later list.
	Targets *Targets
	// Fleet is nil unless the peer has a later list.
	Fleet *Fleet
	// Diverged is set if the peer sent a change of a list that does not apply to the list of this
	// VM: the next pull must request full lists.
	Diverged bool
	// Unreachable are the peers, by address, that some VM recently could not reach, and when.
	Unreachable map[string]clock.Time
	// Confirmations are the peer's evidence that its copies of the lists are up to date.
	Confirmations map[recency.List]recency.Confirmation
	// LoadReports are the peer's reports of targets.
	LoadReports []loadreport.Report
	// Bulks are lists that are too large for the reply; Fetch reads them.
	Bulks []Bulk
}

// PullOptions are the parameters of a pull.
type PullOptions struct {
	// Self is the name of the VM that pulls, and Peer of the one that it pulls from.
	Self, Peer string
	// Known is the catalog of that VM: the peer sends only what is newer.
	Known *catalog.Catalog
	// Selects limits the proofs to those of Services.
	Selects  bool
	Services []string
	// LoadReports requests reports of the targets of Services, or of all unless Selects is set.
	LoadReports bool
	// FullLists requests full lists instead of changes.
	FullLists bool
}

// Pull requests from a peer what is newer than q.Known.
func (c *Clients) Pull(ctx context.Context, addr string, q PullOptions) (*Update, error) {
	known := q.Known
	in := &gossippb.PullRequest{
		Vm: q.Self, ConfigVersion: known.ConfigVersion(), TargetsRevision: known.TargetsRevision, FleetRevision: known.FleetRevision,
		TargetsDigest: known.TargetsDigest(), FleetDigest: known.FleetDigest(),
		TakesChanges: !q.FullLists, TakesBulks: true, Selects: q.Selects, Services: q.Services, TakesLoadReports: q.LoadReports,
	}
	sent := c.clk.Now()
	out, err := c.client(addr).Pull(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "pull from %s", addr)
	}
	update := updateOf(out, known, sent)
	for _, r := range out.GetLoadReports() {
		update.LoadReports = append(update.LoadReports, LoadReport(r, q.Peer, sent))
	}
	return update, nil
}
