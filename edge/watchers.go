package edge

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/takeover"
)

// mayWaitLong reports whether designated watchers cover a list for this VM, so that its own calls
// may wait long. Only the designated watchers and VMs without recent evidence for their own copy
// use short waits.
//
// Failure guarded against: the store drops its history and watches hang without an error, so that a
// change is noticed only when the call times out. A few VMs notice within their short wait and pass
// the change on. All others may wait long, so that the number of the fleet's calls does not grow
// with its size.
func (e *Edge) mayWaitLong(l recency.List) func() bool {
	return func() bool { return e.coveredByOthers(watcherCount, l) }
}

// maySuspendWatch reports whether this VM may suspend its watch of a non-empty list because
// designated watchers cover it. It then receives a change from its peers, about a second later.
//
// Failure guarded against: each change costs one call of every VM, so that the store throttles a
// fleet that grows faster than the store's rates, first when many changes come at once. A VM also
// must not suspend its watch while its lists are outdated or empty, because it serves nothing if it
// reaches no peer.
func (e *Edge) maySuspendWatch(l recency.List) func() bool {
	return func() bool {
		c := e.catalog.Load()
		return hasList(c, l) && len(c.VMs) >= suspendMinVMs && e.coveredByOthers(largeFleetWatcherCount, l)
	}
}

// hasList reports whether a list is not empty.
func hasList(c *catalog.Catalog, l recency.List) bool {
	if l == recency.Targets {
		return len(c.Targets) > 0
	}
	return versionOf(c, l) > 0
}

// coveredByOthers reports whether this VM is not among the first count VMs in rank, and its copy of
// a list was recently known to equal the store's.
func (e *Edge) coveredByOthers(count int, l recency.List) bool {
	c := e.catalog.Load()
	rank := takeover.StaggerDelay(watcherRankKey, e.settings.Node, c.VMNames(), c.YieldingVMs()...)
	return rank >= time.Duration(count)*takeover.StaggerInterval && e.upToDate(l)
}

// upToDate reports whether there is recent evidence for this VM's copy of a list, or peers have not
// had time to send any since its start.
func (e *Edge) upToDate(l recency.List) bool {
	return e.evidenceAge(l) <= e.selfWatchAfter(l) || e.clk.Now().Sub(e.started) < e.firstUpdateTimeout()
}

// selfWatchAfter is the age of the evidence for a list from which this VM watches the list itself.
// It differs among VMs: the first ones to watch pass their result on to the others.
func (e *Edge) selfWatchAfter(l recency.List) time.Duration {
	bound := e.bound(l)
	if bound <= 0 {
		return maxEvidenceAge
	}
	return time.Duration(float64(bound) * (selfWatchFraction + selfWatchJitter*e.watchJitter))
}

// bound is the time within which a change of a list must be in force; 0 if the deployment sets no
// bound.
func (e *Edge) bound(l recency.List) time.Duration {
	switch l {
	case recency.Config:
		return time.Duration(e.settings.Bounds.ApplyMS) * time.Millisecond
	case recency.Targets:
		return time.Duration(e.settings.Bounds.DrainMS) * time.Millisecond
	default:
		return 0
	}
}

// firstUpdateTimeout is how long after its start a VM waits for the first update from peers.
func (e *Edge) firstUpdateTimeout() time.Duration {
	if e.settings.FirstStart {
		return firstUpdateWait + emptyListRetries*emptyListDelay
	}
	return firstUpdateWait
}

const (
	// watcherRankKey is the key by which VMs are ranked as designated watchers.
	watcherRankKey = "store"
	// watcherCount is the number of designated watchers: one may be dead and one partitioned.
	watcherCount = 3
	// suspendMinVMs is the fleet size from which most VMs suspend their watches of the
	// configuration and the targets. Smaller fleets gain little from it.
	suspendMinVMs = 24
	// largeFleetWatcherCount is the number of watchers of such a fleet. If the store throttles a
	// third of all VMs at once, it throttles all six watchers in about one of 700 cases.
	largeFleetWatcherCount = 6
	// maxEvidenceAge is the age of the evidence for a list without a bound from which a VM watches
	// the list itself.
	maxEvidenceAge = 4 * time.Second
	// selfWatchFraction and selfWatchJitter are the fraction of a list's bound after which a VM
	// watches the list itself. The remainder is for its call and for reading a large list.
	selfWatchFraction = 0.6
	selfWatchJitter   = 0.1
	// firstUpdateWait is how long after its start a VM waits for the first update from peers. Peers
	// have sent one by then unless the VM reaches none of them.
	firstUpdateWait = 2500 * time.Millisecond
	// fleetListTimeout bounds how long the other lists wait for the fleet's list, which determines
	// whether this VM is a watcher.
	fleetListTimeout = 100 * time.Millisecond
)

// shortWait is the wait of one call of a designated watcher.
func (e *Edge) shortWait(l recency.List) time.Duration {
	if l == recency.Fleet {
		return fleetWait
	}
	bound := e.bound(l)
	if bound <= 0 {
		return watchWait
	}
	return min(time.Duration(float64(bound)*watchFraction), watchWait)
}

// startWatches starts a watch of each kind that the catalog is built from. The fleet's own records
// are not watched at all where designated watchers cover them: the store would otherwise report
// each VM that joins to every other VM, and the number of calls would grow with the square of the
// fleet's size.
func (e *Edge) startWatches(ctx context.Context) {
	go e.firstCopies.decide(ctx)
	e.startWatch(ctx, recency.Config, &watch{kind: kindConfig, maySuspend: e.maySuspendWatch(recency.Config), follower: &configFollower{edge: e}})
	e.startWatch(ctx, recency.Targets, &watch{kind: kindTargets, maySuspend: e.maySuspendWatch(recency.Targets), follower: newTargetFollower(e)})
	e.startWatch(ctx, recency.Fleet, &watch{kind: kindFleet, maySuspend: e.mayWaitLong(recency.Fleet), follower: newFleetFollower(e)})
}

// copyOf returns the catalog and the store's revision as of which its copy of a list is complete; 0 if
// that is not known.
func (e *Edge) copyOf(l recency.List) (*catalog.Catalog, int64) {
	c := e.catalog.Load()
	return c, e.recency.Newest(l, versionOf(c, l)).Revision
}

func (e *Edge) startWatch(ctx context.Context, l recency.List, w *watch) {
	w.short, w.covered = e.shortWait(l), e.mayWaitLong(l)
	w.store, w.log, w.outage, w.clk = e.store, e.log, &e.outage, e.clk
	w.copyOf = func() (*catalog.Catalog, int64) { return e.copyOf(l) }
	if e.settings.FirstStart {
		w.retries = emptyListRetries
	}
	go func() {
		e.firstCopies.await(ctx, l)
		if l != recency.Fleet {
			e.awaitFleet(ctx, fleetListTimeout)
		}
		w.run(ctx)
	}()
}

// awaitFleet waits until the fleet's list is known, or until the timeout.
func (e *Edge) awaitFleet(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		changed := e.catalog.Changed()
		if e.catalog.Load().FleetRevision > 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
