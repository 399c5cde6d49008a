package edge

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/takeover"
)

// waits returns how long the calls of a watch wait: only shortly on the few VMs
// that look out for the fleet, or while this VM hears of nobody who has heard
// from the store.
//
// Failure guarded against: the store drops its history and watches go silent
// without an end, so that a change is learned only when the call has run out. A
// few VMs notice in time and tell the others, which may wait long: the fleet's
// calls do not grow with its size.
func (e *Edge) waits(short time.Duration) func() time.Duration {
	return func() time.Duration {
		if e.hearsEnough() {
			return watchWait
		}
		return short
	}
}

// hearsEnough reports whether this VM may leave it to others to look out for
// the fleet. The fleet's own records are then not watched here at all: each VM
// that joins would be told to every other by the store, and calls would grow
// with the square of the fleet.
func (e *Edge) hearsEnough() bool { return e.othersLookOut(lookouts) }

// mayRest reports whether this VM may leave it to others to watch the
// configuration and the targets as well. It learns of a change from its peers,
// about a second later.
//
// Failure guarded against: each change is a call of every VM, so that a fleet
// which grows faster than the store's rates is turned away, first when many
// changes come at once.
func (e *Edge) mayRest() bool {
	return len(e.catalog.Load().VMs) >= restsFrom && e.othersLookOut(restLookouts)
}

// mayRestIf is mayRest for a kind of which there must be something known.
//
// Failure guarded against: a VM starts among lists that are old and empty, and rests
// because its peers will tell. If it reaches none of them it serves nobody meanwhile.
func (e *Edge) mayRestIf(known func(*catalog.Catalog) bool) func() bool {
	return func() bool { return known(e.catalog.Load()) && e.mayRest() }
}

func knowsConfig(c *catalog.Catalog) bool { return c.Config != nil }

func knowsTargets(c *catalog.Catalog) bool { return len(c.Targets) > 0 }

// othersLookOut reports whether this VM is not among the first so many, and
// hears of the store from its peers.
func (e *Edge) othersLookOut(first int) bool {
	rank := takeover.Turn(lookout, e.set.Node, e.catalog.Load().Names())
	return rank >= time.Duration(first)*takeover.TurnEvery && e.hearsOrWillHear()
}

// hearsOrWillHear reports whether peers tell of the store, or have not had the time
// to since this VM's start.
func (e *Edge) hearsOrWillHear() bool {
	now := e.clk.Now()
	return e.gossip.age(now) <= newsAge || now.Sub(e.started) < e.firstNews()
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
	// newsAge is the age of the newest word from the store, own or a peer's,
	// from which on a VM looks out for itself.
	newsAge = 4 * time.Second
	// firstNews is how long after its start a VM waits for the first word: peers have
	// told it by then, unless it reaches none of them.
	firstNews = 2500 * time.Millisecond
	// fleetFirst bounds how long the other lists wait for that of the fleet, which says
	// whether this VM is to watch.
	fleetFirst = 100 * time.Millisecond
)

// part is a part of a bound, or watchWait if the deployment sets none.
func part(bound time.Duration, share float64) time.Duration {
	if bound <= 0 {
		return watchWait
	}
	return min(time.Duration(float64(bound)*share), watchWait)
}

// startWatches follows the kinds that the catalog is made of.
func (e *Edge) startWatches(ctx context.Context) {
	apply := time.Duration(e.set.Bounds.ApplyMS) * time.Millisecond
	drain := time.Duration(e.set.Bounds.DrainMS) * time.Millisecond
	for _, w := range []*watch{
		{kind: kindConfig, wait: e.waits(part(apply, watchPart)), idle: e.mayRestIf(knowsConfig), follower: &configFollower{edge: e}},
		{kind: kindTargets, wait: e.waits(part(drain, watchPart)), idle: e.mayRestIf(knowsTargets), follower: newTargetFollower(e)},
		{kind: kindFleet, wait: e.waits(fleetWait), idle: e.hearsEnough, follower: newFleetFollower(e)},
	} {
		w.store, w.log, w.outage, w.clk = e.store, e.log, &e.outage, e.clk
		if e.set.FirstStart {
			w.retries = firstRetries
		}
		go e.startWatch(ctx, w)
	}
}

func (e *Edge) startWatch(ctx context.Context, w *watch) {
	if w.kind != kindFleet {
		e.awaitFleet(ctx, fleetFirst)
	}
	w.run(ctx)
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
