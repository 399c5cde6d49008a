package edge

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/takeover"
)

const (
	// neighborsMinVMs is the fleet size from which a VM gets its first copies from its neighbors even
	// if the fleet's list takes one page. The lists that the VMs of a smaller fleet read at once, with
	// some targets for each VM, take less than a second of a link of 1 Gbit/s.
	neighborsMinVMs = 200
	// peerCopyTimeout is how long a VM of a large fleet waits for its first copies from peers before
	// it reads them from the store: several times as long as a list takes to spread through a fleet
	// that starts as a whole.
	peerCopyTimeout = 5 * time.Second
	// peerCopyJitter is the fraction by which that time differs among VMs, so that those that
	// receive nothing do not all call the store at once.
	peerCopyJitter = 0.5
)

// firstCopies decides where a VM that has just started gets its first copies of the store's lists
// from. In a large fleet, it reads only the page of the fleet's list that follows its own name, and
// gets the lists from the VMs on that page: its neighbors. The first few VMs among their
// neighbors, in the order of the designated watchers, read the lists from the store.
//
// Failure guarded against: a whole fleet starts, and each of its VMs reads the list of VMs and the
// list of targets from the store. The bytes grow with the square of the fleet, until the store's
// link is busy for longer than the calls may take.
type firstCopies struct {
	edge *Edge
	// decided is closed once fromPeers is set.
	decided   chan struct{}
	fromPeers bool
}

func newFirstCopies(e *Edge) *firstCopies {
	return &firstCopies{edge: e, decided: make(chan struct{})}
}

// decide reads the neighbors, and retries until it succeeds or peers have sent the fleet's list.
func (f *firstCopies) decide(ctx context.Context) {
	defer close(f.decided)
	neighbors, large := f.findNeighbors(ctx)
	if vms := f.edge.catalog.Load().VMs; len(neighbors) == 0 {
		neighbors, large = vms, len(vms) >= suspendMinVMs
	}
	if !large {
		return
	}
	f.fromPeers = !f.isLister(neighbors)
	f.edge.gossip.setNeighbors(neighbors)
	f.edge.log.Info("first-copies", zap.Int("neighbors", len(neighbors)), zap.Bool("from-peers", f.fromPeers))
}

// findNeighbors reads the neighbors from the store. It returns none if the store does not answer
// before peers have sent the fleet's list.
//
// Failure guarded against: during the first start of a fleet, a VM reads the list while only a few
// of the others are on it, and takes the fleet for a small one. Entries appear in a stale list some
// time after they are written, so that the list is first read after emptyListDelay, and again as
// long as it is empty.
func (f *firstCopies) findNeighbors(ctx context.Context) (neighbors []catalog.VM, large bool) {
	e := f.edge
	if e.settings.FirstStart {
		wait.For(ctx, emptyListDelay)
	}
	empty := 0
	for e.outage.admit(ctx) && e.catalog.Load().FleetRevision == 0 {
		stale := empty < emptyListRetries
		p, err := f.readNeighbors(ctx, stale)
		e.outage.record(err)
		switch {
		case err != nil:
			continue
		case len(p.Items) > 0 || !e.settings.FirstStart || !stale:
			neighbors = f.decode(p)
			return neighbors, len(neighbors) >= neighborsMinVMs || (p.More && len(neighbors) >= suspendMinVMs)
		}
		empty++
		wait.For(ctx, emptyListDelay)
	}
	return nil, false
}

// isLister reports whether this VM reads the lists from the store, as the designated watchers do.
func (f *firstCopies) isLister(neighbors []catalog.VM) bool {
	names := make([]string, len(neighbors))
	for i, vm := range neighbors {
		names[i] = vm.ID
	}
	rank := takeover.StaggerDelay(watcherRankKey, f.edge.settings.Node, names)
	return rank < largeFleetWatcherCount*takeover.StaggerInterval
}

// readNeighbors returns the page of the fleet's list that follows this VM's own name. If the list ends
// there it returns the first page, which has no further pages in a small fleet.
func (f *firstCopies) readNeighbors(ctx context.Context, stale bool) (*objects.Page, error) {
	p, err := f.edge.store.List(ctx, kindFleet, prefixVM+f.edge.settings.Node, stale)
	if err == nil && !p.More {
		p, err = f.edge.store.List(ctx, kindFleet, prefixVM, stale)
	}
	return p, err
}

// decode returns the VMs on a page, without this one.
func (f *firstCopies) decode(p *objects.Page) []catalog.VM {
	var out []catalog.VM
	for i := range p.Items {
		node, isVM := strings.CutPrefix(p.Items[i].Meta.Name, prefixVM)
		vm, err := decodeVM(node, &p.Items[i])
		if isVM && err == nil && node != f.edge.settings.Node {
			out = append(out, vm)
		}
	}
	return out
}

// await returns once this VM is to read a list from the store, or has a copy of it from peers.
func (f *firstCopies) await(ctx context.Context, l recency.List) {
	e := f.edge
	decided := f.decided
	var timeout <-chan time.Time
	for {
		changed := e.catalog.Changed()
		if c := e.catalog.Load(); hasList(c, l) && hasList(c, recency.Fleet) {
			return
		}
		select {
		case <-changed:
		case <-decided:
			if !f.fromPeers {
				return
			}
			decided = nil
			timer := time.NewTimer(f.timeout())
			defer timer.Stop()
			timeout = timer.C
		case <-timeout:
			e.log.Warn("no-first-copy", zap.Stringer("list", l))
			return
		case <-ctx.Done():
			return
		}
	}
}

// timeout is how long this VM waits for its first copies from peers.
func (f *firstCopies) timeout() time.Duration {
	return time.Duration(float64(peerCopyTimeout) * (1 + peerCopyJitter*f.edge.watchJitter))
}
