// Package drain is the state machine of the drain of a proxy or target. Begin with Drain: its Step
// takes an event and the current time, and returns the actions that the driver must perform. The
// package does no I/O and starts no goroutines.
//
// A draining proxy first reports that it is not ready, but continues to accept callers for Notice,
// because the platform's load balancer needs that time to stop selecting it. A draining target stops
// accepting new work immediately. Both then wait for the work in flight. Work that remains at the end
// of the grace period is aborted, and its callers receive the outcome "unknown". A proxy's Grace must
// be longer than the longest deadline of a request, so that no request in flight is ever aborted.
package drain

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
)

// GuardInFlight is the guard that waits for requests in flight. A test can disable it.
const GuardInFlight guard.Name = "drain/in-flight"

// Phase is the phase of a drain.
type Phase string

// Phases in their order.
const (
	// PhaseServing means that no drain is in progress.
	PhaseServing Phase = "serving"
	// PhaseNotice means that readiness is false, but new work is still accepted.
	PhaseNotice Phase = "notice"
	// PhaseFinishing means that new work is refused while the work in flight continues.
	PhaseFinishing Phase = "finishing"
	// PhaseDone means that the drain is complete.
	PhaseDone Phase = "done"
)

// Config sets a drain's durations.
type Config struct {
	// Notice is how long new work is still accepted; zero for a target.
	Notice time.Duration
	// Grace is how long work in flight may continue after Notice.
	Grace time.Duration
	// Guards is set by tests only, to disable guards.
	Guards guard.Set
}

// Event is an input of Drain.Step.
type Event interface{ event() }

// Begin starts the drain. It is ignored if the drain has already started.
type Begin struct{}

// Cancel ends a drain that is not done and resumes serving.
type Cancel struct{}

// InFlight reports the number of requests and open transactions in flight.
type InFlight struct{ Count int }

// Tick reports that time has passed.
type Tick struct{}

func (Begin) event()    {}
func (Cancel) event()   {}
func (InFlight) event() {}
func (Tick) event()     {}

// Action is an instruction to the driver.
type Action string

// Actions.
const (
	// Announce turns readiness to false.
	Announce Action = "announce"
	// RefuseNew refuses new work as not run, with a retry-after time, and closes sessions and
	// connections that are between two transactions.
	RefuseNew Action = "refuse-new"
	// AbortRemaining aborts the work in flight. Its callers receive the outcome "unknown".
	AbortRemaining Action = "cut-rest"
	// Finish closes the remaining sessions and connections. Nothing is in flight.
	Finish Action = "finish"
	// Resume accepts work again.
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

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return d.phase }

// GraceEnds returns the time at which remaining work is aborted, and false if no drain is in
// progress.
func (d *Drain) GraceEnds() (clock.Time, bool) {
	if d.phase == PhaseServing || d.phase == PhaseDone {
		return 0, false
	}
	return d.began.Add(d.cfg.Notice + d.cfg.Grace), true
}

// Step processes one event and returns the actions to perform, in order.
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

// finish ends the drain when nothing is in flight or the grace period is over.
//
// Failure guarded against: a proxy closes its sockets as soon as it receives the signal to stop. This
// aborts the requests in flight, and their callers cannot determine the outcome.
func (d *Drain) finish(now clock.Time) []Action {
	if d.inFlight == 0 || d.cfg.Guards.Disabled(GuardInFlight) {
		d.phase = PhaseDone
		return []Action{Finish}
	}
	if now.Sub(d.began) < d.cfg.Notice+d.cfg.Grace {
		return nil
	}
	d.phase = PhaseDone
	return []Action{AbortRemaining, Finish}
}
