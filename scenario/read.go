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

// Guards of the proxy's driver that a test may take out.
const (
	// GuardFloor is the session's floor in routing.
	GuardFloor guard.Name = "session/floor"
	// GuardWitnessedFloor is the replica's witness for a floor without a token.
	GuardWitnessedFloor guard.Name = "session/witnessed-floor"
	// GuardKey is the unique row for a request key in the target.
	GuardKey guard.Name = "request/key"
	// GuardOutcome is the rule that a request which was sent is not "not run".
	GuardOutcome guard.Name = "request/outcome"
	// GuardRepeat is the rule that a request which may have run is not repeated.
	GuardRepeat guard.Name = "request/repeat"
)

// readKind is how reads are declared: a stated age of some seconds.
var readKind = &profile.Kind{
	Name: "balance", Access: profile.Read, MaxAge: 10 * time.Second,
	Deadline: requestDeadline, Idempotent: true,
}

// floorEvidence is what a proxy asks for on behalf of a session without a token.
type floorEvidence struct {
	asked     clock.Time
	primary   timeline.Position
	answered  bool
	witnessed bool
}

func (a *attempt) routeRead() {
	g := a.p.v.group
	if g == nil {
		a.routeLater()
		return
	}
	floor := session.FloorOf(a.c.marks, g)
	if floor.Source == session.SourcePrimary && !a.p.v.w.guards.Out(GuardFloor) {
		a.askFloor(g)
		return
	}
	a.chooseServer(floor.Position)
}

// chooseServer asks the router, again after the wait that it gives.
func (a *attempt) chooseServer(floor timeline.Position) {
	v := a.p.v
	if v.w.guards.Out(GuardFloor) {
		floor = timeline.Position{}
	}
	d := v.router.Route(v.picture(), v.group, routing.Request{
		Kind: readKind, Floor: floor, Zone: v.zone, Now: v.w.now, Since: a.c.invoked,
	})
	if d.Server == nil {
		n := a.number
		a.p.after(max(d.Wait, time.Millisecond), func() {
			if a.live(n) {
				a.chooseServer(floor)
			}
		})
		return
	}
	a.server = d.Server.ID
	a.passThen(core.StepRouted, a.connect)
}

// picture is the view that the router reads.
func (v *vm) picture() *view.View {
	return &view.View{Groups: map[string]*view.Group{groupName: v.group}, FleetSize: len(v.w.vms)}
}

// askFloor asks the primary for its position, and the replicas if they have
// promised a later term, at the same time.
//
// The failure: a session without its token comes to a proxy that is cut off
// with a superseded primary. Its floor would be that primary's position, and it
// would not see its own write. A replica's word from after the question shows
// that no majority had been fenced.
func (a *attempt) askFloor(g *view.Group) {
	v := a.p.v
	e := &floorEvidence{asked: v.w.now, witnessed: v.w.guards.Out(GuardWitnessedFloor)}
	n := a.number
	for _, s := range v.w.servers {
		v.w.call(v.node, s.node, func() func() {
			st := s.status()
			return func() {
				v.observe(e.asked, st)
				if a.live(n) {
					a.onFloor(g, e, st)
				}
			}
		}, func() {})
	}
	a.p.after(4*retryPause, func() {
		if a.live(n) && a.m.Step() == core.StepReceived {
			a.routeLater()
		}
	})
}

func (a *attempt) onFloor(g *view.Group, e *floorEvidence, st target.Status) {
	if st.Server == g.Primary {
		e.answered = st.Role == target.RolePrimary && st.Term == g.Term && st.Promised <= g.Term
		e.primary = st.Position()
	} else if st.Promised <= g.Term {
		e.witnessed = true
	}
	if e.answered && e.witnessed {
		a.number++ // the floor is known; later answers do not count
		a.chooseServer(e.primary)
	}
}

// sendRead runs the read at the chosen server.
func (a *attempt) sendRead() {
	id, began := a.server, a.p.v.w.now
	v := a.p.v
	v.board.Begin(id, began)
	a.target(func(s *server) func() {
		rows := s.rows(a.c.row)
		return func() {
			v.board.End(id, v.w.now, v.w.now.Sub(began), false)
			a.passThen(core.StepExecuted, func() {
				a.passThen(core.StepAcknowledged, func() { a.replied(rows) })
			})
		}
	}, func() {
		v.board.End(id, v.w.now, 0, true)
		a.fail(core.FailureLost)
	})
}
