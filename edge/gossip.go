package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/gossip"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/partners"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/published"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// pullInterval is how often a VM pulls from some peers. An update reaches a dozen VMs in about
	// twice that time.
	pullInterval = 200 * time.Millisecond
	// peerBackoff is how long a peer that did not answer is not contacted.
	peerBackoff = time.Second
	// maxFleetListAge is the maximum age of this VM's copy of the fleet's list for holding a
	// permission. It is above fleetWait, and far below sweepAfter.
	maxFleetListAge = 12 * time.Second
	// maxProofAge is the age from which a proof is useless to every VM.
	maxProofAge = 2 * time.Second
)

// gossiper pulls updates from peers and answers their pulls.
type gossiper struct {
	edge       *Edge
	clients    *gossip.Clients
	peers      atomic.Pointer[partners.Peers]
	wholeLists atomic.Bool // set if whole lists are to be requested, until one arrives
	outcomes   pullOutcomes
	fetching   atomic.Bool // set while a bulk is read
	// takesReports is set while the fleet uses gateways, which report their targets' load.
	takesReports atomic.Bool

	mu               sync.Mutex
	backoffUntil     map[string]clock.Time // end of the backoff, by address
	unreachableSince map[string]clock.Time // time of the first failure, by VM
	rnd              *rand.Rand
}

func newGossiper(e *Edge) *gossiper {
	return &gossiper{
		edge: e, clients: gossip.NewClients(e.dialFor(spending.Gossip), e.clk),
		backoffUntil: make(map[string]clock.Time), unreachableSince: make(map[string]clock.Time),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		outcomes: newPullOutcomes(e.log, e.metrics, e.started),
	}
}

func (g *gossiper) handler() http.Handler {
	path, relayed := g.edge.relay.Handler()
	mux := http.NewServeMux()
	mux.Handle("/", gossip.NewHandler(g, g.clients, g.edge.clk))
	mux.Handle(path, relayed)
	return mux
}

// State implements gossip.Source.
func (g *gossiper) State() gossip.LocalState {
	now := g.edge.clk.Now()
	c := g.edge.catalog.Load()
	k := gossip.LocalState{
		Catalog: c, Proofs: make(map[string]freshness.Proof), Acknowledged: make(map[string]timeline.Position),
		Confirmations: g.edge.confirmations(c), Unreachable: g.edge.router.UnreachablePeers(),
		LoadReports: func(services []string) []loadreport.Report { return g.edge.loadReports.share(now, services) },
	}
	for _, group := range g.edge.groups.Used() {
		if p, ok := group.Freshness.Newest(); ok && now.Sub(p.At) < maxProofAge {
			k.Proofs[group.Service] = p
			k.Acknowledged[group.Service] = group.Acknowledged.Bound()
		}
	}
	return k
}

// Revoke implements gossip.Source.
func (g *gossiper) Revoke(service string, revision int64, deposed target.ID) timeline.Position {
	group := g.edge.groups.Group(service)
	group.Revoke(revision, deposed)
	return group.Acknowledged.Bound()
}

// eligible reports whether this VM is certain to be on the list from which other VMs request
// permissions: the list is recent and of the store's current era, and it has an entry with this
// VM's incarnation that is not about to be removed.
func (g *gossiper) eligible() bool {
	if g.edge.shutdown.leaving.Load() || g.edge.evidenceAge(recency.Fleet) > maxFleetListAge {
		return false
	}
	c := g.edge.catalog.Load()
	return catalog.EraOf(c.FleetRevision) == g.edge.eras.current() && g.edge.hasOwnEntry(c)
}

// run pulls until ctx ends.
func (g *gossiper) run(ctx context.Context) {
	tick := time.NewTicker(pullInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !g.hasPeers() && g.skipsSeeds() {
			continue
		}
		for _, vm := range g.choosePeers() {
			go g.pull(ctx, vm)
		}
	}
}

// skipsSeeds reports whether a VM without known peers does not contact the seeds yet. During the
// first start of a fleet all its VMs would pull repeatedly from the same three seeds, which have
// nothing that the store does not provide within that time.
func (g *gossiper) skipsSeeds() bool {
	return g.edge.settings.FirstStart && g.edge.clk.Now().Sub(g.edge.started) < g.edge.firstUpdateTimeout()
}

func (g *gossiper) hasPeers() bool {
	peers := g.peers.Load()
	return peers != nil && !peers.Empty()
}

// choosePeers selects the peers of one round. A VM without known peers uses the seed addresses from
// its settings.
func (g *gossiper) choosePeers() []catalog.VM {
	peers := g.peers.Load()
	if !g.hasPeers() {
		peers = partners.New("", "", g.seeds())
	}
	now := g.edge.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	inBackoff := func(vm catalog.VM) bool { return now.Before(g.backoffUntil[vm.Peer]) }
	return peers.Draw(inBackoff, g.rnd)
}

// seeds returns the VMs that the settings name, identified by their addresses.
func (g *gossiper) seeds() []catalog.VM {
	var out []catalog.VM
	for _, addr := range g.edge.settings.Seeds {
		if addr != g.edge.settings.Listen.Control {
			out = append(out, catalog.VM{ID: addr, Peer: addr})
		}
	}
	return out
}

// maxProofServices bounds the services whose proofs one pull requests. A VM of a large deployment
// uses hundreds, each so seldom that no proof of a peer is recent enough for its next request.
const maxProofServices = 32

// pullOptions requests the proofs of the services that this VM has used latest.
//
// Failure guarded against: every proof is sent to every VM, needed there or not, or every pull names
// all services that a VM uses: bytes that grow with the services, in each of ten pulls a second.
func (g *gossiper) pullOptions() gossip.PullOptions {
	q := gossip.PullOptions{Self: g.edge.settings.Node, Known: g.edge.catalog.Load(), Selects: !g.edge.groups.AllUsed(), FullLists: g.wholeLists.Load(), LoadReports: g.takesReports.Load()}
	if q.Selects {
		for _, group := range g.edge.groups.MostRecent(maxProofServices) {
			q.Services = append(q.Services, group.Service)
		}
	}
	return q
}

func (g *gossiper) pull(ctx context.Context, vm catalog.VM) {
	q := g.pullOptions()
	q.Peer = vm.ID
	update, err := g.clients.Pull(ctx, vm.Peer, q)
	now := g.edge.clk.Now()
	g.outcomes.record(now, vm.ID, err)
	g.mu.Lock()
	if err != nil {
		g.backoffUntil[vm.Peer] = now.Add(peerBackoff)
		if g.unreachableSince[vm.ID] == 0 {
			g.unreachableSince[vm.ID] = now
		}
		g.mu.Unlock()
		return
	}
	delete(g.backoffUntil, vm.Peer)
	delete(g.unreachableSince, vm.ID)
	g.mu.Unlock()
	g.apply(update)
	g.fetch(ctx, vm, q, update.Bulks)
}

// fetch reads the lists that were too large for a peer's reply, one at a time: two concurrent reads
// would share this VM's link, and the same list from two peers would use it twice. A list that is
// not read now is offered again by the next peer that is pulled from.
func (g *gossiper) fetch(ctx context.Context, vm catalog.VM, q gossip.PullOptions, bulks []gossip.Bulk) {
	if len(bulks) == 0 || g.fetching.Swap(true) {
		return
	}
	defer g.fetching.Store(false)
	for _, b := range bulks {
		began := g.edge.clk.Now()
		update, err := g.clients.Fetch(ctx, vm.Peer, q, b)
		g.edge.log.Info("bulk-read", zap.String("peer", vm.ID), zap.Int("bytes", b.Size()), zap.Duration("took", g.edge.clk.Now().Sub(began)), zap.Error(err))
		if err != nil {
			return
		}
		g.apply(update)
	}
}

// setNeighbors sets the peers of a VM that does not have the fleet's list yet.
func (g *gossiper) setNeighbors(vms []catalog.VM) {
	g.peers.CompareAndSwap(nil, partners.New(g.edge.settings.Node, g.edge.settings.Zone, vms))
}

// updatePeers sets the peers from the fleet's list and forgets those that are no longer on it.
func (g *gossiper) updatePeers(c *catalog.Catalog) {
	if c.FleetRevision == 0 {
		return
	}
	g.peers.Store(partners.New(g.edge.settings.Node, g.edge.settings.Zone, c.VMs))
	addrs, names := make(map[string]bool, len(c.VMs)), make(map[string]bool, len(c.VMs))
	for _, vm := range c.VMs {
		addrs[vm.Peer], names[vm.ID] = true, true
	}
	g.clients.Retain(addrs)
	g.mu.Lock()
	defer g.mu.Unlock()
	for vm := range g.unreachableSince {
		if !names[vm] {
			delete(g.unreachableSince, vm)
		}
	}
}

// apply applies an update from a peer.
func (g *gossiper) apply(u *gossip.Update) {
	e := g.edge
	for service, p := range u.Proofs {
		e.groups.Group(service).MergeProof(p, u.Acknowledged[service])
	}
	if u.Config != nil && e.catalog.SetConfig(u.Config) {
		e.log.Info("configuration", zap.Int64("version", u.Config.Version), zap.Int("routes", len(u.Config.Routes)), zap.String("from", "peer"))
	}
	if u.Targets != nil && e.catalog.SetTargets(u.Targets.Targets, u.Targets.Revision) {
		e.log.Info("targets", zap.Int64("revision", u.Targets.Revision), zap.String("from", "peer"))
	}
	if u.Diverged && !g.wholeLists.Swap(true) {
		e.log.Info("lists-diverged")
	}
	if !u.Diverged && (u.Fleet != nil || u.Targets != nil) {
		g.wholeLists.Store(false)
	}
	if u.Fleet != nil {
		e.catalog.SetFleet(u.Fleet.VMs, u.Fleet.LeadershipRecords, u.Fleet.Revision)
	}
	e.loadReports.apply(u.LoadReports)
	for addr, at := range u.Unreachable {
		e.router.RecordUnreachable(addr, at)
	}
	for l, m := range u.Confirmations {
		e.eras.recordRevision(m.Revision)
		e.recency.Record(l, m)
	}
}

// Reaches implements promoter.Fleet.
func (g *gossiper) Reaches(now clock.Time) bool { return g.outcomes.reaches(now) }

// RevokeAll implements promoter.Fleet. It reads the list again so that it includes VMs that joined
// before the attempt was recorded. A VM that joins later sees the attempt before it sees itself on
// the list.
func (g *gossiper) RevokeAll(ctx context.Context, record *catalog.LeadershipRecord) bool {
	vms, err := g.edge.listVMs(ctx)
	if err != nil {
		g.edge.log.Info("fleet-unlisted", zap.String("service", record.Service), zap.Error(err))
		return false
	}
	r := gossip.Revocation{Service: record.Service, Revision: record.Revision, Deposed: record.Attempt.Deposed}
	g.Revoke(r.Service, r.Revision, r.Deposed)
	peers := make(map[string]string, len(vms))
	for _, vm := range vms {
		if vm.ID != g.edge.settings.Node {
			peers[vm.Peer] = vm.ID
		}
	}
	out := g.clients.RevokeAll(ctx, slices.Sorted(maps.Keys(peers)), r)
	g.edge.groups.Group(record.Service).Acknowledged.Raise(out.Acknowledged)
	for addr, cause := range out.Unanswered {
		g.edge.log.Info("permission-unanswered", zap.String("service", record.Service), zap.String("peer", peers[addr]), zap.Error(cause))
	}
	// After a restore, a VM whose entry the store has lost is not on the list, and may not have
	// detected that yet.
	return len(out.Unanswered) == 0 && !g.edge.eras.startedWithin(maxFleetListAge)
}

// ListTargets implements promoter.Fleet.
func (g *gossiper) ListTargets(ctx context.Context, service string) ([]target.ID, error) {
	var out []target.ID
	list := func(after string) (*objects.Page, error) { return g.edge.store.List(ctx, kindTargets, after, false) }
	err := objects.EachPage(list, func(p *objects.Page) error {
		for i := range p.Items {
			// Skip entries that do not describe a target; the follower has logged them.
			t, err := published.Target(&p.Items[i])
			if err == nil && t.Service == service {
				out = append(out, t.ID)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// deadAfter is how long a VM must be unreachable before it does not count as live. It is longer
// than a restart of its process takes.
const deadAfter = 1500 * time.Millisecond

// liveCount returns the number of live VMs in the fleet, this one included.
func (g *gossiper) liveCount(c *catalog.Catalog) int {
	now := g.edge.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(c.VMs)
	for vm, since := range g.unreachableSince {
		if _, known := c.VM(vm); known && now.Sub(since) > deadAfter {
			n--
		}
	}
	return max(n, 1)
}

// sweepAfter is how long a VM must be unreachable before its entry is removed. It is far longer
// than maxFleetListAge, after which the VM holds no permission.
const sweepAfter = time.Minute

// reachesAgain pulls from a VM that was unreachable, and reports whether it answers.
func (g *gossiper) reachesAgain(ctx context.Context, name string) bool {
	vm, known := g.edge.catalog.Load().VM(name)
	if !known {
		return false
	}
	g.pull(ctx, vm)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unreachableSince[name] == 0
}

// removableVMs returns the VMs that have been unreachable for longer than sweepAfter.
func (g *gossiper) removableVMs() []string {
	now := g.edge.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for vm, since := range g.unreachableSince {
		if vm != "" && now.Sub(since) > sweepAfter {
			out = append(out, vm)
		}
	}
	return out
}
