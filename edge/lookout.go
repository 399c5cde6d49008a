package edge

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/takeover"
)

// hearsEnough reports whether this VM may leave it to others to look out for a list:
// only the few VMs that look out for the fleet wait shortly for the store's news of it,
// and those that have no young evidence for their own copy.
//
// Failure guarded against: the store drops its history and watches go silent
// without an end, so that a change is learned only when the call has run out. A
// few VMs notice in time and tell the others, which may wait long: the fleet's
// calls do not grow with its size.
func (e *Edge) hearsEnough(l recency.List) func() bool {
	return func() bool { return e.othersLookOut(lookouts, l) }
}

// mayRest reports whether this VM may leave it to others to watch a list as well, of
// which there must be something known. It learns of a change from its peers, about a
// second later.
//
// Failure guarded against: each change is a call of every VM, so that a fleet
// which grows faster than the store's rates is turned away, first when many
// changes come at once. And a VM starts among lists that are old and empty, and rests
// because its peers will tell: if it reaches none of them it serves nobody meanwhile.
func (e *Edge) mayRest(l recency.List) func() bool {
	return func() bool {
		c := e.catalog.Load()
		return knows(c, l) && len(c.VMs) >= restsFrom && e.othersLookOut(restLookouts, l)
	}
}

// knows reports whether there is anything on a list.
func knows(c *catalog.Catalog, l recency.List) bool {
	if l == recency.Targets {
		return len(c.Targets) > 0
	}
	return versionOf(c, l) > 0
}

// othersLookOut reports whether this VM is not among the first so many, and its copy
// of a list is known to have been the store's a short time ago.
func (e *Edge) othersLookOut(first int, l recency.List) bool {
	rank := takeover.StaggerDelay(lookout, e.set.Node, e.catalog.Load().VMNames())
	return rank >= time.Duration(first)*takeover.StaggerInterval && e.upToDate(l)
}

// upToDate reports whether there is young evidence for this VM's copy of a list, or
// peers have not had the time to bring any since its start.
func (e *Edge) upToDate(l recency.List) bool {
	return e.evidenceAge(l) <= e.lookAfter(l) || e.clk.Now().Sub(e.started) < e.firstNews()
}

// lookAfter is the age of the evidence for a list from which on this VM looks for
// itself. VMs differ in it: the first that look tell the others.
func (e *Edge) lookAfter(l recency.List) time.Duration {
	bound := e.bound(l)
	if bound <= 0 {
		return newsAge
	}
	return time.Duration(float64(bound) * (lookAfterPart + lookAfterSpread*e.haste))
}

// bound is how soon a change of a list must be in force; 0 if the deployment sets no
// bound.
func (e *Edge) bound(l recency.List) time.Duration {
	switch l {
	case recency.Config:
		return time.Duration(e.set.Bounds.ApplyMS) * time.Millisecond
	case recency.Targets:
		return time.Duration(e.set.Bounds.DrainMS) * time.Millisecond
	default:
		return 0
	}
}

// firstNews is how long after its start a VM waits for the first word.
func (e *Edge) firstNews() time.Duration {
	if e.set.FirstStart {
		return firstNews + firstRetries*emptyPause
	}
	return firstNews
}

const (
	// lookout is what VMs are ranked by to look out for the fleet.
	lookout = "store"
	// lookouts is how many do: one may be dead and one cut off.
	lookouts = 3
	// restsFrom is the fleet's size from which most VMs leave the watches of the
	// configuration and the targets to others. Below it there is little to gain.
	restsFrom = 24
	// restLookouts is how many watch them then: a third of all VMs may be turned
	// away by the store at once, all six of them about once in 700 such times.
	restLookouts = 6
	// newsAge is the age of the evidence for a list without a bound from which on a VM
	// looks out for itself.
	newsAge = 4 * time.Second
	// lookAfterPart and lookAfterSpread are the part of a list's bound after which a VM
	// looks for itself: the rest is for its call, and for a list that is large.
	lookAfterPart   = 0.6
	lookAfterSpread = 0.1
	// firstNews is how long after its start a VM waits for the first word: peers have
	// told it by then, unless it reaches none of them.
	firstNews = 2500 * time.Millisecond
	// fleetFirst bounds how long the other lists wait for that of the fleet, which says
	// whether this VM is to watch.
	fleetFirst = 100 * time.Millisecond
)

// shortWait is how long the VMs that look out for a list wait in one call.
func (e *Edge) shortWait(l recency.List) time.Duration {
	if l == recency.Fleet {
		return fleetWait
	}
	bound := e.bound(l)
	if bound <= 0 {
		return watchWait
	}
	return min(time.Duration(float64(bound)*watchPart), watchWait)
}

// startWatches follows the kinds that the catalog is made of. The fleet's own records
// are not watched at all where others look out for them: each VM that joins would be
// told to every other by the store, and calls would grow with the square of the fleet.
func (e *Edge) startWatches(ctx context.Context) {
	e.startWatch(ctx, recency.Config, &watch{kind: kindConfig, idle: e.mayRest(recency.Config), resumeFrom: e.configRevision, follower: &configFollower{edge: e}})
	e.startWatch(ctx, recency.Targets, &watch{kind: kindTargets, idle: e.mayRest(recency.Targets), follower: newTargetFollower(e)})
	e.startWatch(ctx, recency.Fleet, &watch{kind: kindFleet, idle: e.hearsEnough(recency.Fleet), follower: newFleetFollower(e)})
}

// configRevision is the store's as of which the configuration in force is known to be
// its own; 0 if none is.
func (e *Edge) configRevision() int64 {
	return e.recency.Newest(recency.Config, versionOf(e.catalog.Load(), recency.Config)).Revision
}

func (e *Edge) startWatch(ctx context.Context, l recency.List, w *watch) {
	w.short, w.others = e.shortWait(l), e.hearsEnough(l)
	w.store, w.log, w.outage, w.clk = e.store, e.log, &e.outage, e.clk
	if e.set.FirstStart {
		w.retries = firstRetries
	}
	go func() {
		if l != recency.Fleet {
			e.awaitFleet(ctx, fleetFirst)
		}
		w.run(ctx)
	}()
}

// awaitFleet waits until the fleet's list is known, for some time at the most.
func (e *Edge) awaitFleet(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
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
