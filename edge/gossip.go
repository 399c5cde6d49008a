package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
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
	"endivemoor.example/endivemoor/partners"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/published"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// pullEvery is how often a VM asks some peers: news reach a dozen VMs in about
	// twice that time.
	pullEvery = 200 * time.Millisecond
	// peerPause is how long a peer that did not answer is left alone.
	peerPause = time.Second
	// storeAge is how old the fleet's list may be for a permission to go by it.
	// It is above fleetWait, and far below sweepAfter.
	storeAge = 12 * time.Second
	// proofAge is the age beyond which a proof is of no use to anybody.
	proofAge = 2 * time.Second
)

// gossiper pulls from peers, and answers them.
type gossiper struct {
	edge     *Edge
	clients  *gossip.Clients
	peers    atomic.Pointer[partners.Peers]
	whole    atomic.Bool // set if whole lists are to be asked for, until one came
	outcomes pullOutcomes
	fetching atomic.Bool // set while a bulk is read

	mu     sync.Mutex
	paused map[string]clock.Time // by address, until when
	silent map[string]clock.Time // by VM, since when
	rnd    *rand.Rand
}

func newGossiper(e *Edge) *gossiper {
	return &gossiper{
		edge: e, clients: gossip.NewClients(e.dialFor(spending.Gossip), e.clk),
		paused: make(map[string]clock.Time), silent: make(map[string]clock.Time),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		outcomes: newPullOutcomes(e.log, e.metrics, e.started),
	}
}

func (g *gossiper) serve(ln net.Listener) error {
	path, relayed := g.edge.relay.Handler()
	mux := http.NewServeMux()
	mux.Handle("/", gossip.NewHandler(g, g.clients, g.edge.clk))
	mux.Handle(path, relayed)
	return gossip.NewHTTPServer(mux).Serve(ln)
}

// State implements gossip.Source.
func (g *gossiper) State() gossip.LocalState {
	now := g.edge.clk.Now()
	c := g.edge.catalog.Load()
	k := gossip.LocalState{
		Catalog: c, Proofs: make(map[string]freshness.Proof), Acknowledged: make(map[string]timeline.Position),
		Confirmations: g.edge.marks(c), Unreachable: g.edge.router.UnreachablePeers(),
	}
	for _, group := range g.edge.groups.Used() {
		if p, ok := group.Freshness.Newest(); ok && now.Sub(p.At) < proofAge {
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

// eligible reports whether this VM is surely on the list by which others ask
// for permissions: the list is young and of the store's present era, and this run of the
// VM is on it.
func (g *gossiper) eligible() bool {
	if g.edge.ends.leaving.Load() || g.edge.evidenceAge(recency.Fleet) > storeAge {
		return false
	}
	c := g.edge.catalog.Load()
	vm, ok := c.VM(g.edge.set.Node)
	return catalog.EraOf(c.FleetRevision) == g.edge.eras.current() && ok && vm.Incarnation == g.edge.incarnation
}

// run pulls until ctx ends.
func (g *gossiper) run(ctx context.Context) {
	tick := time.NewTicker(pullEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !g.knowsPeers() && g.storeWillTell() {
			continue
		}
		for _, vm := range g.choose() {
			go g.pull(ctx, vm)
		}
	}
}

// storeWillTell reports whether a VM that knows no peer leaves the seeds in peace: while
// the fleet starts for the first time all of it would ask the same three VMs, again and
// again, which know nothing that the store does not tell it in that time.
func (g *gossiper) storeWillTell() bool {
	return g.edge.set.FirstStart && g.edge.clk.Now().Sub(g.edge.started) < g.edge.firstNews()
}

func (g *gossiper) knowsPeers() bool {
	peers := g.peers.Load()
	return peers != nil && !peers.None()
}

// choose draws the peers of one round. A VM that knows none yet asks the
// addresses that its settings name.
func (g *gossiper) choose() []catalog.VM {
	peers := g.peers.Load()
	if !g.knowsPeers() {
		peers = partners.Of("", "", g.seeds())
	}
	now := g.edge.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	rests := func(vm catalog.VM) bool { return now.Before(g.paused[vm.Peer]) }
	return peers.Draw(rests, g.rnd)
}

// seeds are the VMs that the settings name, by their addresses.
func (g *gossiper) seeds() []catalog.VM {
	var out []catalog.VM
	for _, addr := range g.edge.set.Seeds {
		if addr != g.edge.set.Listen.Control {
			out = append(out, catalog.VM{ID: addr, Peer: addr})
		}
	}
	return out
}

// question asks for the proofs of the services that this VM uses.
//
// Failure guarded against: every proof reaches every VM, whether anybody there
// needs it or not. At 2,900 services that is 1.4 MB a second for each VM.
func (g *gossiper) question() gossip.PullOptions {
	q := gossip.PullOptions{Self: g.edge.set.Node, Known: g.edge.catalog.Load(), Selects: !g.edge.groups.AllUsed(), FullLists: g.whole.Load()}
	if q.Selects {
		for _, group := range g.edge.groups.Used() {
			q.Services = append(q.Services, group.Service)
		}
	}
	return q
}

func (g *gossiper) pull(ctx context.Context, vm catalog.VM) {
	q := g.question()
	news, err := g.clients.Pull(ctx, vm.Peer, q)
	now := g.edge.clk.Now()
	g.outcomes.note(now, vm.ID, err)
	g.mu.Lock()
	if err != nil {
		g.paused[vm.Peer] = now.Add(peerPause)
		if g.silent[vm.ID] == 0 {
			g.silent[vm.ID] = now
		}
		g.mu.Unlock()
		return
	}
	delete(g.paused, vm.Peer)
	delete(g.silent, vm.ID)
	g.mu.Unlock()
	g.take(news)
	g.fetch(ctx, vm, q, news.Bulks)
}

// fetch reads the lists that were too large for a peer's answer, one at a time: two would
// share this VM's link, and the same list from two peers would fill it twice. What is
// not read now is offered again by whoever is asked next.
func (g *gossiper) fetch(ctx context.Context, vm catalog.VM, q gossip.PullOptions, bulks []gossip.Bulk) {
	if len(bulks) == 0 || g.fetching.Swap(true) {
		return
	}
	defer g.fetching.Store(false)
	for _, b := range bulks {
		began := g.edge.clk.Now()
		news, err := g.clients.Fetch(ctx, vm.Peer, q, b)
		g.edge.log.Info("bulk-read", zap.String("peer", vm.ID), zap.Int("bytes", b.Size()), zap.Duration("took", g.edge.clk.Now().Sub(began)), zap.Error(err))
		if err != nil {
			return
		}
		g.take(news)
	}
}

// keep takes over the fleet's list, and forgets peers that are no longer on it.
func (g *gossiper) keep(c *catalog.Catalog) {
	g.peers.Store(partners.Of(g.edge.set.Node, g.edge.set.Zone, c.VMs))
	addrs, names := make(map[string]bool, len(c.VMs)), make(map[string]bool, len(c.VMs))
	for _, vm := range c.VMs {
		addrs[vm.Peer], names[vm.ID] = true, true
	}
	g.clients.Retain(addrs)
	g.mu.Lock()
	defer g.mu.Unlock()
	for vm := range g.silent {
		if !names[vm] {
			delete(g.silent, vm)
		}
	}
}

// take takes over what a peer told.
func (g *gossiper) take(n *gossip.Update) {
	e := g.edge
	for service, p := range n.Proofs {
		e.groups.Group(service).MergeProof(p, n.Acknowledged[service])
	}
	if n.Config != nil && e.catalog.SetConfig(n.Config) {
		e.log.Info("configuration", zap.Int64("version", n.Config.Version), zap.Int("routes", len(n.Config.Routes)), zap.String("from", "peer"))
	}
	if n.Targets != nil && e.catalog.SetTargets(n.Targets.Targets, n.Targets.Revision) {
		e.log.Info("targets", zap.Int64("revision", n.Targets.Revision), zap.String("from", "peer"))
	}
	if n.Diverged && !g.whole.Swap(true) {
		e.log.Info("lists-diverged")
	}
	if !n.Diverged && (n.Fleet != nil || n.Targets != nil) {
		g.whole.Store(false)
	}
	if n.Fleet != nil {
		e.catalog.SetFleet(n.Fleet.VMs, n.Fleet.LeadershipRecords, n.Fleet.Revision)
	}
	for addr, at := range n.Unreachable {
		e.router.RecordUnreachable(addr, at)
	}
	for l, m := range n.Confirmations {
		e.eras.noteRevision(m.Revision)
		e.recency.Note(l, m)
	}
}

// Reaches implements promoter.Fleet.
func (g *gossiper) Reaches(now clock.Time) bool { return g.outcomes.reaches(now) }

// RevokeAll implements promoter.Fleet. The list is read anew, so that no VM
// is missed that joined before the attempt was recorded; one that joins later
// sees the attempt before it sees itself on the list.
func (g *gossiper) RevokeAll(ctx context.Context, held *catalog.LeadershipRecord) bool {
	vms, err := g.edge.listVMs(ctx)
	if err != nil {
		g.edge.log.Info("fleet-unlisted", zap.String("service", held.Service), zap.Error(err))
		return false
	}
	r := gossip.Revocation{Service: held.Service, Revision: held.Revision, Deposed: held.Attempt.Deposed}
	g.Revoke(r.Service, r.Revision, r.Deposed)
	peers := make(map[string]string, len(vms))
	for _, vm := range vms {
		if vm.ID != g.edge.set.Node {
			peers[vm.Peer] = vm.ID
		}
	}
	out := g.clients.RevokeAll(ctx, slices.Sorted(maps.Keys(peers)), r)
	g.edge.groups.Group(held.Service).Acknowledged.Raise(out.Acknowledged)
	for addr, cause := range out.Unanswered {
		g.edge.log.Info("permission-unanswered", zap.String("service", held.Service), zap.String("peer", peers[addr]), zap.Error(cause))
	}
	// A VM whose entry the store has lost is not on the list, and may not know it yet.
	return len(out.Unanswered) == 0 && !g.edge.eras.younger(storeAge)
}

// ListTargets implements promoter.Fleet.
func (g *gossiper) ListTargets(ctx context.Context, service string) ([]target.ID, error) {
	var out []target.ID
	list := func(after string) (*objects.Page, error) { return g.edge.store.List(ctx, kindTargets, after, false) }
	err := objects.EachPage(list, func(p *objects.Page) error {
		for i := range p.Items {
			// What names no target need not be asked: the follower has said so.
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

// deadAfter is how long a VM must not have answered to count as not live: longer than
// its process takes to start anew.
const deadAfter = 1500 * time.Millisecond

// live is how many of the fleet's VMs answer, this one included.
func (g *gossiper) live(c *catalog.Catalog) int {
	now := g.edge.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(c.VMs)
	for vm, since := range g.silent {
		if _, known := c.VM(vm); known && now.Sub(since) > deadAfter {
			n--
		}
	}
	return max(n, 1)
}

// sweepAfter is how long a VM must not have answered before its entry is taken
// away: far longer than storeAge, after which it holds no permission.
const sweepAfter = time.Minute

// gone returns the VMs that have been silent for so long that their entries
// may be taken away.
func (g *gossiper) gone() []string {
	now := g.edge.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for vm, since := range g.silent {
		if vm != "" && now.Sub(since) > sweepAfter {
			out = append(out, vm)
		}
	}
	return out
}
