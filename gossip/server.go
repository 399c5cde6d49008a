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
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// LocalState is the state of a VM that peers can pull.
type LocalState struct {
	// Catalog is the VM's current catalog.
	Catalog *catalog.Catalog
	// Proofs are the VM's newest proofs of freshness, by service.
	Proofs map[string]freshness.Proof
	// Acknowledged are positions that new primaries must hold, by service.
	Acknowledged map[string]timeline.Position
	// Unreachable are the peers, by address, that recently could not be reached, and when.
	Unreachable map[string]clock.Time
	// Confirmations are the evidence that the VM's copies of the store's lists are up to date.
	Confirmations map[recency.List]recency.Confirmation
	// LoadReports returns the reports to send of the targets of some services, or of all if nil.
	LoadReports func(services []string) []loadreport.Report
}

// Source provides this VM's state, and takes revocations.
type Source interface {
	// State returns this VM's current state.
	State() LocalState
	// Revoke ends this VM's permission for a service, and returns the position that the new primary
	// must hold.
	Revoke(service string, revision int64, deposed target.ID) timeline.Position
}

// Server answers the calls of peers.
type Server struct {
	source  Source
	clients *Clients
	clk     clock.Clock
	bulks   *bulkCache
}

// NewHandler returns the HTTP handler of a Server, which forwards revocations with clients.
func NewHandler(source Source, clients *Clients, clk clock.Clock) http.Handler {
	return terse.Handler(gossippb.NewGossipServer(&Server{source: source, clients: clients, clk: clk, bulks: newBulks()}))
}

// NewHTTPServer returns the HTTP server for the calls of peers.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// Pull implements gossippb.Gossip.
func (s *Server) Pull(_ context.Context, in *gossippb.PullRequest) (*gossippb.PullReply, error) {
	k := s.source.State()
	now := s.clk.Now()
	out := &gossippb.PullReply{StoreAgeUs: uint64(k.Confirmations[recency.Fleet].Age(now).Microseconds())}
	for service, p := range k.Proofs {
		if in.GetSelects() && !slices.Contains(in.GetServices(), service) {
			continue
		}
		out.Evidence = append(out.Evidence, EvidenceOf(service, p, k.Acknowledged[service], now))
	}
	for addr, at := range k.Unreachable {
		out.Silences = append(out.Silences, &gossippb.Silence{Peer: addr, AgeUs: uint64(max(now.Sub(at).Microseconds(), 0))})
	}
	addConfirmations(out, k.Confirmations, now)
	if in.GetTakesLoadReports() && k.LoadReports != nil {
		services := in.GetServices()
		if !in.GetSelects() {
			services = nil
		}
		for _, r := range k.LoadReports(services) {
			out.LoadReports = append(out.LoadReports, LoadReportOf(r, now))
		}
	}
	return out, s.addLists(out, in, k.Catalog)
}

// addLists adds each list that is newer than the peer's to a reply: what has changed in it, or the
// full list.
func (s *Server) addLists(out *gossippb.PullReply, in *gossippb.PullRequest, c *catalog.Catalog) error {
	for _, u := range []listUpdate{configUpdate(c, in), targetsUpdate(c, in), fleetUpdate(c, in)} {
		if u.to <= u.known {
			continue
		}
		if err := s.addList(out, in, u); err != nil {
			return err
		}
	}
	return nil
}

// listUpdate is what brings a peer's copy of one list up to date.
type listUpdate struct {
	list recency.List
	// known is the version that the peer has, and to the current one.
	known, to int64
	// full is set if the update is the full list, whichever version the peer has.
	full bool
	// addTo adds the update to a reply.
	addTo func(*gossippb.PullReply)
}

// configUpdate is the change of the configuration, or the full configuration.
func configUpdate(c *catalog.Catalog, in *gossippb.PullRequest) listUpdate {
	var change *catalog.Change
	if in.GetTakesChanges() {
		change = c.ConfigSince(in.GetConfigVersion())
	}
	addTo := func(out *gossippb.PullReply) {
		if change != nil {
			out.ConfigChange = changeOf(change)
			return
		}
		out.Config = configOf(c.Config)
	}
	return listUpdate{recency.Config, in.GetConfigVersion(), c.ConfigVersion(), change == nil, addTo}
}

// targetsUpdate is the change of the list of targets, or the full list.
func targetsUpdate(c *catalog.Catalog, in *gossippb.PullRequest) listUpdate {
	var change *catalog.ListChange[catalog.Target]
	if in.GetTakesChanges() {
		change = c.TargetsSince(in.GetTargetsRevision(), in.GetTargetsDigest())
	}
	addTo := func(out *gossippb.PullReply) { out.Targets = targetsOf(c, change) }
	return listUpdate{recency.Targets, in.GetTargetsRevision(), c.TargetsRevision, change == nil, addTo}
}

// fleetUpdate is the change of the fleet's list, or the full list.
func fleetUpdate(c *catalog.Catalog, in *gossippb.PullRequest) listUpdate {
	var change *catalog.ListChange[catalog.VM]
	if in.GetTakesChanges() {
		change = c.FleetSince(in.GetFleetRevision(), in.GetFleetDigest())
	}
	addTo := func(out *gossippb.PullReply) { out.Fleet = fleetOf(c, change) }
	return listUpdate{recency.Fleet, in.GetFleetRevision(), c.FleetRevision, change == nil, addTo}
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
