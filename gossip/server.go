package gossip

import (
	"context"
	"net/http"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
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
	Revoke(service string, revision int64, deposed target.ID) timeline.Position
}

// Server answers peers.
type Server struct {
	source Source
	clk    clock.Clock
}

// NewHandler returns the HTTP face of a Server.
func NewHandler(source Source, clk clock.Clock) http.Handler {
	return terse.Handler(gossippb.NewGossipServer(&Server{source: source, clk: clk}))
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
	p := s.source.Revoke(in.GetService(), in.GetRevision(), target.ID(in.GetDeposed()))
	return &gossippb.RevokeReply{AcknowledgedTerm: uint64(p.Term), AcknowledgedNumber: uint64(p.LSN)}, nil
}
