package reads

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// attempt is one read on its way.
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
	floor := a.floor
	if w.setup.IgnoreFloor {
		floor = timeline.Position{}
	}
	d := a.p.router.Route(w.view, w.group, routing.Request{
		Kind: w.kind, Floor: floor, Zone: a.p.zone, Now: now, Since: a.since,
	})
	if d.Server == nil {
		w.s.After(max(d.Wait, time.Millisecond), a.route)
		return
	}
	a.send(d.Server, now)
}

// send runs the read at the server. A proxy blames a server that does not
// answer within the deadline.
func (a *attempt) send(srv *view.Server, routed clock.Time) {
	w, hop, answered := a.w, a.w.hop(a.p, srv), false
	isReplica := srv.ID != w.group.Primary
	stale := isReplica && w.log.age(w.position(srv.ID), routed) > browse.MaxAge
	a.p.board.Begin(srv.ID, routed)
	finish := func(ok bool) {
		if answered {
			return
		}
		answered = true
		a.p.board.End(srv.ID, w.s.Now(), w.s.Now().Sub(routed), !ok)
		a.end(ok, isReplica)
	}
	w.s.After(browse.Deadline, func() { finish(false) })
	w.s.After(hop, func() {
		check := func() { a.judge(srv.ID, stale) }
		w.servers[srv.ID].do(readTime, check, func(ok bool) {
			w.s.After(hop, func() { finish(ok) })
		})
	})
}

// judge looks at the server's own state when the read runs.
func (a *attempt) judge(id target.ID, stale bool) {
	if !a.w.recording {
		return
	}
	if stale {
		a.w.tally.Stale++
	}
	if a.w.position(id) < a.floor.LSN {
		a.w.tally.Unread++
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
