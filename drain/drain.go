// Package drain decides what a leaving proxy or target does with the work it
// has, and when its grace ends. It is pure: events and the time come in, actions
// come out.
//
// A leaving proxy first only says so (readiness turns false) and goes on
// accepting callers for Notice, because the platform's balancer needs that long
// to look elsewhere. A leaving target takes no new work at once. Then both let
// what is in flight finish. What is left when the grace ends is cut, and its
// callers are told "unknown". A proxy's Grace has to be longer than the longest
// deadline of a request, so that no request in flight is ever cut.
package drain

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
)

// GuardInFlight is the wait for requests in flight; a test may take it out.
const GuardInFlight guard.Name = "drain/in-flight"

// Phase is how far a drain has come.
type Phase string

// Phases in their order.
const (
	// PhaseServing: no drain.
	PhaseServing Phase = "serving"
	// PhaseNotice: readiness is false; work is still taken.
	PhaseNotice Phase = "notice"
	// PhaseFinishing: no new work; what is in flight goes on.
	PhaseFinishing Phase = "finishing"
	// PhaseDone: nothing is left.
	PhaseDone Phase = "done"
)

// Config sets a drain's times.
type Config struct {
	// Notice is how long new work is still taken; zero for a target.
	Notice time.Duration
	// Grace is how long work in flight may go on after Notice.
	Grace time.Duration
	// Guards is for tests of this module only.
	Guards guard.Set
}

// Event is what a driver passes to Drain.Step.
type Event interface{ event() }

// Begin starts the drain; it is ignored when one is under way.
type Begin struct{}

// Cancel ends a drain that has not cut anything.
type Cancel struct{}

// InFlight tells how many requests and open transactions there are.
type InFlight struct{ Count int }

// Tick says that time has passed.
type Tick struct{}

func (Begin) event()    {}
func (Cancel) event()   {}
func (InFlight) event() {}
func (Tick) event()     {}

// Action is what the driver is to do.
type Action string

// Actions.
const (
	// Announce turns readiness to false.
	Announce Action = "announce"
	// RefuseNew refuses new work as not run, with a time to come back, and
	// closes sessions and connections that are between two transactions.
	RefuseNew Action = "refuse-new"
	// CutRest ends what is left; its callers are told "unknown".
	CutRest Action = "cut-rest"
	// Finish closes the rest: nothing is in flight.
	Finish Action = "finish"
	// Resume takes work again.
	Resume Action = "resume"
)

// Drain is one drain of a proxy or target. It is not safe for concurrent use.
type Drain struct {
	cfg      Config
	phase    Phase
	began    clock.Time
	inFlight int
}

// New returns a Drain that has not begun.
func New(cfg Config) *Drain { return &Drain{cfg: cfg, phase: PhaseServing} }

// Phase returns how far the drain has come.
func (d *Drain) Phase() Phase { return d.phase }

// GraceEnds returns when what is left will be cut, and false if no drain is
// under way.
func (d *Drain) GraceEnds() (clock.Time, bool) {
	if d.phase == PhaseServing || d.phase == PhaseDone {
		return 0, false
	}
	return d.began.Add(d.cfg.Notice + d.cfg.Grace), true
}

// Step takes one event and returns what is to be done, in order.
func (d *Drain) Step(now clock.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Begin:
		return d.begin(now)
	case Cancel:
		return d.cancel()
	case InFlight:
		d.inFlight = ev.Count
	}
	return d.advance(now)
}

func (d *Drain) begin(now clock.Time) []Action {
	if d.phase != PhaseServing {
		return nil
	}
	d.began = now
	d.phase = PhaseNotice
	return append([]Action{Announce}, d.advance(now)...)
}

func (d *Drain) cancel() []Action {
	if d.phase != PhaseNotice && d.phase != PhaseFinishing {
		return nil
	}
	d.phase = PhaseServing
	return []Action{Resume}
}

func (d *Drain) advance(now clock.Time) []Action {
	var out []Action
	if d.phase == PhaseNotice && now.Sub(d.began) >= d.cfg.Notice {
		d.phase = PhaseFinishing
		out = append(out, RefuseNew)
	}
	if d.phase != PhaseFinishing {
		return out
	}
	return append(out, d.finish(now)...)
}

// finish ends the drain when nothing is in flight or the grace is over.
//
// The failure: a proxy that closes its sockets as soon as it is told to stop
// cuts requests in flight, and their callers cannot tell what became of them.
func (d *Drain) finish(now clock.Time) []Action {
	if d.inFlight == 0 || d.cfg.Guards.Out(GuardInFlight) {
		d.phase = PhaseDone
		return []Action{Finish}
	}
	if now.Sub(d.began) < d.cfg.Notice+d.cfg.Grace {
		return nil
	}
	d.phase = PhaseDone
	return []Action{CutRest, Finish}
}
