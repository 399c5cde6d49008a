package gossip

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/twitchtv/twirp"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/recency"
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
	// Silences are the peers, by address, that could not be reached lately, and when.
	Silences map[string]clock.Time
	// Marks are the evidence that its copies of the store's lists are up to date.
	Marks map[recency.List]recency.Mark
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
	source  Source
	clients *Clients
	clk     clock.Clock
	bulks   *bulks
}

// NewHandler returns the HTTP face of a Server, which asks others by clients.
func NewHandler(source Source, clients *Clients, clk clock.Clock) http.Handler {
	return terse.Handler(gossippb.NewGossipServer(&Server{source: source, clients: clients, clk: clk, bulks: newBulks()}))
}

// NewHTTPServer returns the server that peers call.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// Pull implements gossippb.Gossip.
func (s *Server) Pull(_ context.Context, in *gossippb.PullRequest) (*gossippb.PullReply, error) {
	k := s.source.Know()
	now := s.clk.Now()
	out := &gossippb.PullReply{StoreAgeUs: uint64(k.Marks[recency.Fleet].Age(now).Microseconds())}
	for service, p := range k.Proofs {
		if in.GetSelects() && !slices.Contains(in.GetServices(), service) {
			continue
		}
		out.Evidence = append(out.Evidence, EvidenceOf(service, p, k.Acknowledged[service], now))
	}
	for addr, at := range k.Silences {
		out.Silences = append(out.Silences, &gossippb.Silence{Peer: addr, AgeUs: uint64(max(now.Sub(at).Microseconds(), 0))})
	}
	tellMarks(out, k.Marks, now)
	return out, s.tellLists(out, in, k.Catalog)
}

// tellLists tells of each list that is later than the peer's what has changed, or all
// of it.
func (s *Server) tellLists(out *gossippb.PullReply, in *gossippb.PullRequest, c *catalog.Catalog) error {
	tell := func(l recency.List, from, to int64, build func(*gossippb.PullReply)) error {
		if to <= from {
			return nil
		}
		if !in.GetTakesChanges() {
			from = whole
		}
		return s.tellList(out, in, bulkKey{l, from, to}, build)
	}
	err := tell(recency.Config, in.GetConfigVersion(), c.ConfigVersion(), func(out *gossippb.PullReply) { tellConfig(out, c, in) })
	if err != nil {
		return err
	}
	err = tell(recency.Targets, in.GetTargetsRevision(), c.TargetsRevision, func(out *gossippb.PullReply) { tellTargets(out, c, in) })
	if err != nil {
		return err
	}
	return tell(recency.Fleet, in.GetFleetRevision(), c.FleetRevision, func(out *gossippb.PullReply) { tellFleet(out, c, in) })
}

// tellConfig tells what leads to the present configuration, or all of it.
func tellConfig(out *gossippb.PullReply, c *catalog.Catalog, in *gossippb.PullRequest) {
	if in.GetTakesChanges() {
		if change := c.ConfigSince(in.GetConfigVersion()); change != nil {
			out.ConfigChange = changeOf(change)
			return
		}
	}
	out.Config = configOf(c.Config)
}

// tellTargets tells what has changed in the list of targets, or all of it.
func tellTargets(out *gossippb.PullReply, c *catalog.Catalog, in *gossippb.PullRequest) {
	var change *catalog.ListChange[catalog.Target]
	if in.GetTakesChanges() {
		change = c.TargetsSince(in.GetTargetsRevision())
	}
	out.Targets = targetsOf(c, change)
}

// tellFleet tells what has changed in the fleet's list, or all of it.
func tellFleet(out *gossippb.PullReply, c *catalog.Catalog, in *gossippb.PullRequest) {
	var change *catalog.ListChange[catalog.VM]
	if in.GetTakesChanges() {
		change = c.FleetSince(in.GetFleetRevision())
	}
	out.Fleet = fleetOf(c, change)
}

// Revoke implements gossippb.Gossip.
func (s *Server) Revoke(ctx context.Context, in *gossippb.RevokeRequest) (*gossippb.RevokeReply, error) {
	if len(in.GetForward()) > maxBranch {
		return nil, twirp.InvalidArgumentError("forward", "has too many addresses")
	}
	r := Revocation{Service: in.GetService(), Revision: in.GetRevision(), Deposed: target.ID(in.GetDeposed())}
	own := s.source.Revoke(r.Service, r.Revision, r.Deposed)
	out := s.clients.revokeLeaves(ctx, in.GetForward(), r)
	p := timeline.Later(own, out.Acknowledged)
	return &gossippb.RevokeReply{
		AcknowledgedTerm: uint64(p.Term), AcknowledgedNumber: uint64(p.LSN),
		Forwarded: uint32(len(in.GetForward())), Unanswered: slices.Sorted(maps.Keys(out.Unanswered)),
	}, nil
}
