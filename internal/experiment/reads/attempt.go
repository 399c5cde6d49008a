package reads

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// attempt is one read in progress.
type attempt struct {
	w     *world
	p     *proxy
	floor timeline.Position
	since clock.Time
	ended bool
}

func (w *world) read(p *proxy, floor timeline.Position) {
	a := &attempt{w: w, p: p, floor: floor, since: w.s.Now()}
	w.s.After(browse.Deadline, func() { a.end(false, false) })
	a.route()
}

func (a *attempt) route() {
	if a.ended {
		return
	}
	w := a.w
	now := w.s.Now()
	d := a.p.router.Route(w.view, a.p.group, routing.Request{
		Kind: browse, Floor: a.floor, Zone: a.p.zone, Now: now, Since: a.since,
	})
	if d.Server == nil {
		w.s.After(max(d.Wait, time.Millisecond), a.route)
		return
	}
	a.send(d.Server, now)
}

// send runs the read on the server. The proxy records a failure of the server if it does not answer
// within the deadline.
func (a *attempt) send(srv *view.Server, routed clock.Time) {
	w, delay, answered := a.w, a.w.networkDelay(a.p, srv), false
	isReplica := srv.ID != a.p.group.Primary
	stale := w.log.age(w.position(srv.ID).LSN, routed) > browse.MaxAge
	a.p.tracker.Begin(srv.ID, routed)
	finish := func(ok bool) {
		if answered {
			return
		}
		answered = true
		a.p.tracker.End(srv.ID, w.s.Now(), w.s.Now().Sub(routed), !ok)
		a.end(ok, isReplica)
	}
	w.s.After(browse.Deadline, func() { finish(false) })
	if !w.canReach(a.p, srv.ID) {
		return
	}
	w.s.After(delay, func() {
		check := func() { a.check(srv.ID, stale) }
		w.servers[srv.ID].execute(readTime, check, func(ok bool) {
			w.s.After(delay, func() { finish(ok) })
		})
	})
}

// check records the violations of a read, given the server's true state when the read runs.
func (a *attempt) check(id target.ID, stale bool) {
	if !a.w.recording {
		return
	}
	if stale {
		a.w.tally.Stale++
	}
	if a.w.position(id).LSN < a.floor.LSN {
		a.w.tally.OwnWritesMissed++
	}
}

func (a *attempt) end(ok, isReplica bool) {
	if a.ended {
		return
	}
	a.ended = true
	t := &a.w.tally
	if !a.w.recording {
		return
	}
	t.Reads++
	a.w.record(t.ReadLatency, a.w.s.Now().Sub(a.since))
	switch {
	case !ok:
		t.Failed++
	case isReplica:
		t.ByReplica++
	default:
		t.ByPrimary++
	}
}
