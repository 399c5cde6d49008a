// Package gossip lets the VMs of a fleet learn from each other what the store
// does not tell them, or not in time: configurations, targets and the fleet's
// own records for a VM that the store turns away, and proofs of freshness that
// would otherwise cost each VM questions of its own.
//
// Every VM pulls from a few others at a fixed interval, whatever the fleet's
// size. What is pulled has a version that only grows, or an age, so that a
// reply that is late, old or repeated does no harm.
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

// Knowledge is what a VM can tell its peers.
type Knowledge struct {
	// Catalog is what it knows of the platform.
	Catalog *catalog.Catalog
	// Proofs are its newest proofs of freshness, by service.
	Proofs map[string]freshness.Proof
	// Acknowledged are positions that new primaries must hold, by service.
	Acknowledged map[string]timeline.Position
	// StoreAge is how long ago the list of the fleet was known to be complete.
	StoreAge time.Duration
}

// Source tells what this VM knows, and takes revocations.
type Source interface {
	// Know returns what this VM knows now.
	Know() Knowledge
	// Revoke ends this VM's permission for a service, and returns the position
	// that the new primary must hold.
	Revoke(service string, revision int64) timeline.Position
}

// Server answers peers.
type Server struct {
	source Source
	clk    clock.Clock
}

// NewHandler returns the HTTP face of a Server.
func NewHandler(source Source, clk clock.Clock) http.Handler {
	return gossippb.NewGossipServer(&Server{source: source, clk: clk})
}

// NewHTTPServer returns the server that peers call.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// Pull implements gossippb.Gossip.
func (s *Server) Pull(_ context.Context, in *gossippb.PullRequest) (*gossippb.PullReply, error) {
	k := s.source.Know()
	out := &gossippb.PullReply{StoreAgeUs: uint64(k.StoreAge.Microseconds())}
	now := s.clk.Now()
	for service, p := range k.Proofs {
		out.Evidence = append(out.Evidence, evidenceOf(service, p, k.Acknowledged[service], now))
	}
	c := k.Catalog
	if c.Config != nil && c.Config.Version > in.GetConfigVersion() {
		out.Config = configOf(c.Config)
	}
	if c.TargetsRevision > in.GetTargetsRevision() {
		out.Targets = targetsOf(c)
	}
	if c.FleetRevision > in.GetFleetRevision() {
		out.Fleet = fleetOf(c)
	}
	return out, nil
}

// Revoke implements gossippb.Gossip.
func (s *Server) Revoke(_ context.Context, in *gossippb.RevokeRequest) (*gossippb.RevokeReply, error) {
	p := s.source.Revoke(in.GetService(), in.GetRevision())
	return &gossippb.RevokeReply{AcknowledgedTerm: uint64(p.Term), AcknowledgedNumber: uint64(p.LSN)}, nil
}

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
	return &Clients{http: &http.Client{Transport: transport, Timeout: callTimeout}, clk: clk, at: make(map[string]gossippb.Gossip)}
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
	// Store is when the list of the fleet was last known to be complete.
	Store clock.Time
}

// Pull asks a peer for what it knows beyond the catalog.
func (c *Clients) Pull(ctx context.Context, addr, self string, known *catalog.Catalog) (*News, error) {
	in := &gossippb.PullRequest{Vm: self, TargetsRevision: known.TargetsRevision, FleetRevision: known.FleetRevision}
	if known.Config != nil {
		in.ConfigVersion = known.Config.Version
	}
	sent := c.clk.Now()
	out, err := c.client(addr).Pull(ctx, in)
	if err != nil {
		return nil, errors.Wrapf(err, "pull from %s", addr)
	}
	return newsOf(out, sent), nil
}

// Revoke asks a peer to give up its permission for a service. It returns the
// position that the new primary must hold, as far as the peer knows.
func (c *Clients) Revoke(ctx context.Context, addr, service string, revision int64) (timeline.Position, error) {
	out, err := c.client(addr).Revoke(ctx, &gossippb.RevokeRequest{Service: service, Revision: revision})
	if err != nil {
		return timeline.Position{}, errors.Wrapf(err, "revoke at %s", addr)
	}
	return position(out.GetAcknowledgedTerm(), out.GetAcknowledgedNumber()), nil
}
