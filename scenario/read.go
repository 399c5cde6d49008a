package scenario

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	core "endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Guards of the proxy's driver that a test may disable.
const (
	// GuardFloor is the session's floor in routing.
	GuardFloor guard.Name = "session/floor"
	// GuardWitnessedFloor is the replica's confirmation (the witness) of a floor that is read from
	// the primary for a session without a token.
	GuardWitnessedFloor guard.Name = "session/witnessed-floor"
	// GuardKey is the unique row for a request key in the target.
	GuardKey guard.Name = "request/key"
	// GuardOutcome is the rule that a request which was sent is not reported as "not run".
	GuardOutcome guard.Name = "request/outcome"
	// GuardRepeat is the rule that a request which may have run is not repeated.
	GuardRepeat guard.Name = "request/repeat"
)

// readKind is the kind of all reads: bounded staleness with a maximum age of some seconds.
var readKind = &profile.Kind{
	Name: "balance", Access: profile.Read, MaxAge: 10 * time.Second,
	Deadline: requestDeadline, Idempotent: true,
}

// floorEvidence collects the statuses that establish the floor of a session without a token.
type floorEvidence struct {
	asked     clock.Time
	primary   timeline.Position
	answered  bool
	witnessed bool
}

func (a *attempt) routeRead() {
	g := a.p.v.group
	if g == nil {
		a.retryRoute()
		return
	}
	floor := session.FloorOf(a.c.marks, g)
	if floor.Source == session.SourcePrimary && !a.p.v.w.guards.Disabled(GuardFloor) {
		a.queryFloor(g)
		return
	}
	a.chooseServer(floor.Position)
}

// chooseServer routes the read, and routes it again after the wait that the router returns.
func (a *attempt) chooseServer(floor timeline.Position) {
	v := a.p.v
	if v.w.guards.Disabled(GuardFloor) {
		floor = timeline.Position{}
	}
	d := v.router.Route(v.currentView(), v.group, routing.Request{
		Kind: readKind, Floor: floor, Zone: v.zone, Now: v.w.now, Since: a.c.invoked,
	})
	if d.Server == nil {
		n := a.number
		a.p.after(max(d.Wait, time.Millisecond), func() {
			if a.isCurrent(n) {
				a.chooseServer(floor)
			}
		})
		return
	}
	a.server = d.Server.ID
	a.passThen(core.StepRouted, a.connect)
}

// currentView returns the view that the router reads.
func (v *vm) currentView() *view.View {
	return &view.View{Groups: map[string]*view.Group{groupName: v.group}, FleetSize: len(v.w.vms)}
}

// queryFloor queries the primary's position and, at the same time, whether a replica has not
// promised a later term.
//
// Failure guarded against: a session without its token uses a proxy that is cut off together with a
// superseded primary. The floor would be that primary's position, and the session would not see its
// own write. A replica's status from after the query shows that no majority had been fenced.
func (a *attempt) queryFloor(g *view.Group) {
	v := a.p.v
	e := &floorEvidence{asked: v.w.now, witnessed: v.w.guards.Disabled(GuardWitnessedFloor)}
	n := a.number
	for _, s := range v.w.servers {
		v.w.call(v.node, s.node, func() func() {
			st := s.status()
			return func() {
				v.observe(e.asked, st)
				if a.isCurrent(n) {
					a.receiveFloorStatus(g, e, st)
				}
			}
		}, func() {})
	}
	a.p.after(4*retryDelay, func() {
		if a.isCurrent(n) && a.m.Step() == core.StepReceived {
			a.retryRoute()
		}
	})
}

func (a *attempt) receiveFloorStatus(g *view.Group, e *floorEvidence, st target.Status) {
	if st.Server == g.Primary {
		e.answered = st.Role == target.RolePrimary && st.Term == g.Term && st.Promised <= g.Term
		e.primary = st.Position()
	} else if st.Promised <= g.Term {
		e.witnessed = true
	}
	if e.answered && e.witnessed {
		a.number++ // the floor is known; ignore later answers
		a.chooseServer(e.primary)
	}
}

// sendRead runs the read on the chosen server.
func (a *attempt) sendRead() {
	id, began := a.server, a.p.v.w.now
	v := a.p.v
	v.tracker.Begin(id, began)
	a.callServer(func(s *server) func() {
		rows := s.rows(a.c.row)
		return func() {
			v.tracker.End(id, v.w.now, v.w.now.Sub(began), false)
			a.passThen(core.StepExecuted, func() {
				a.passThen(core.StepAcknowledged, func() { a.replied(rows) })
			})
		}
	}, func() {
		v.tracker.End(id, v.w.now, 0, true)
		a.fail(core.FailureLost)
	})
}
