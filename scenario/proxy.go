package scenario

import (
	"time"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/drain"
	"endivemoor.example/endivemoor/outcome"
	core "endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// retryDelay is the wait before a request is retried.
	retryDelay = 50 * time.Millisecond
	// replicaPollInterval is the interval between status queries to replicas for the gate.
	replicaPollInterval = 5 * time.Millisecond
	// retryAfter is the retry-after of a refusal.
	retryAfter = 500 * time.Millisecond
)

// proxy runs callers' requests on one VM. It is a thin driver of the core's request machine, gates,
// sessions and router.
type proxy struct {
	v        *vm
	gate     ack.Gate
	drain    *drain.Drain
	inFlight map[*attempt]bool
}

// attempt is one request in progress in a proxy.
type attempt struct {
	p      *proxy
	c      *call
	m      *core.Machine
	number int // of the current try; answers to an earlier try are ignored
	done   bool
	server target.ID
	term   timeline.Term
	write  ack.Write
	proof  *ack.Evidence
}

func newProxy(v *vm) *proxy {
	guards := v.w.guards
	gate := v.w.gate
	if gate == nil {
		gate = ack.Mix{Confirmed: ack.Confirm{Guards: guards}, Other: ack.Witness{Guards: guards}}
	}
	return &proxy{
		v:        v,
		gate:     gate,
		drain:    drain.New(drain.Config{Notice: 500 * time.Millisecond, Grace: 5 * time.Second, Guards: guards}),
		inFlight: make(map[*attempt]bool),
	}
}

// unlimitedBudget allows every retry: the matrix checks outcomes, not load.
type unlimitedBudget struct{}

func (unlimitedBudget) TryRetry(clock.Time) bool { return true }

// refuses reports whether the proxy refuses new work, with the outcome "not run".
func (p *proxy) refuses() bool {
	phase := p.drain.Phase()
	return phase == drain.PhaseFinishing || phase == drain.PhaseDone
}

func (p *proxy) serve(c *call) {
	terms := core.Terms{Idempotent: c.access == accessRead, Keyed: c.key != "", Deadline: c.deadline}
	a := &attempt{p: p, c: c, m: core.New(terms)}
	p.inFlight[a] = true
	p.stepDrain(drain.InFlight{Count: len(p.inFlight)})
	p.after(c.deadline.Sub(p.v.w.now), func() { a.fail(core.FailureDeadline) })
	a.try()
}

func (p *proxy) after(d time.Duration, f func()) { p.v.w.after(p.v.node, d, f) }

// isCurrent reports whether the attempt is still at this try and its process still runs: a fault at
// a step may have killed or paused the process.
func (a *attempt) isCurrent(number int) bool {
	return a.p.v.up && a.p == a.p.v.proxy && !a.p.v.paused && !a.done && a.number == number
}

// pass records a step and lets faults be injected before the next action. It reports whether the
// attempt is still current.
func (a *attempt) pass(s core.Step) bool {
	n := a.number
	a.m.RecordStep(s)
	w := a.p.v.w
	w.reportStep(StepEvent{Op: a.c.op, Step: s.String(), Node: a.p.v.name, Server: string(a.server)})
	return a.isCurrent(n)
}

// onSelf runs f on the attempt's VM, or after the VM resumes if it is paused.
func (a *attempt) onSelf(f func()) {
	n := a.number
	a.p.v.w.runOn(a.p.v.node, a.p.v.epoch, func() {
		if a.isCurrent(n) {
			f()
		}
	})
}

// passThen records a step and continues with f, after the VM resumes if a fault paused it.
func (a *attempt) passThen(s core.Step, f func()) {
	a.pass(s)
	a.onSelf(f)
}

func (a *attempt) try() {
	a.passThen(core.StepReceived, a.route)
}

// fail passes a failure to the core and retries or finishes the request as the core decides.
func (a *attempt) fail(f core.Failure) {
	if a.done {
		return
	}
	v := a.classify(f)
	a.number++
	if !v.Retry {
		a.finish(v.Outcome, 0)
		return
	}
	a.m.StartAttempt()
	n := a.number
	a.p.after(retryDelay, func() {
		if a.isCurrent(n) {
			a.try()
		}
	})
}

// classify returns the core's decision on a failure, changed by the guards that a test disables.
func (a *attempt) classify(f core.Failure) core.FailureResult {
	now := a.p.v.w.now
	v := a.m.Fail(f, now, unlimitedBudget{})
	if a.p.v.w.guards.Disabled(GuardOutcome) {
		v.Outcome = outcome.NotRun
	}
	if a.p.v.w.guards.Disabled(GuardRepeat) && v.Reason == core.ReasonUnsafe {
		v.Retry = now.Before(a.c.deadline)
	}
	return v
}

// finish ends the attempt and sends the caller its answer.
func (a *attempt) finish(o outcome.Outcome, rows int) {
	if a.done {
		return
	}
	a.done = true
	delete(a.p.inFlight, a)
	w := a.p.v.w
	if o == outcome.Done {
		a.renewToken()
	}
	w.at(w.now.Add(w.delay()), func() { w.reply(a.c, o, rows, retryAfter) })
	a.p.stepDrain(drain.InFlight{Count: len(a.p.inFlight)})
}

// renewToken issues the session's new token with the answer to a write.
func (a *attempt) renewToken() {
	if a.c.access == accessWrite {
		a.p.v.w.issueToken(a.c, a.write.Position)
	}
}

// callServer calls the attempt's server. An answer to an abandoned try is dropped, and so is a
// second answer to the same request, as a connection's stream would not carry either.
func (a *attempt) callServer(handle func(*server) func(), lost func()) {
	s := a.p.v.w.server(a.server)
	n := a.number
	answered := false
	once := func(f func()) func() {
		return func() {
			if a.isCurrent(n) && !answered {
				answered = true
				f()
			}
		}
	}
	a.p.v.w.call(a.p.v.node, s.node, func() func() { return once(handle(s)) }, once(lost))
}

func (a *attempt) route() {
	if a.c.access == accessRead {
		a.routeRead()
		return
	}
	g := a.p.v.group
	if g == nil {
		a.retryRoute()
		return
	}
	a.server = g.Primary
	a.term = g.Term
	a.passThen(core.StepRouted, a.connect)
}

// retryRoute waits while the VM does not know the group; the deadline ends the wait.
func (a *attempt) retryRoute() {
	a.number++
	n := a.number
	a.p.after(retryDelay, func() {
		if a.isCurrent(n) {
			a.route()
		}
	})
}

func (a *attempt) connect() {
	a.passThen(core.StepAdmitted, func() {
		a.callServer(func(*server) func() { return a.connected }, func() { a.fail(core.FailureConnect) })
	})
}

func (a *attempt) connected() { a.passThen(core.StepConnected, a.send) }

func (a *attempt) send() {
	a.passThen(core.StepSent, func() {
		if a.c.access == accessRead {
			a.sendRead()
			return
		}
		a.sendWrite(a.c.statements)
	})
}

// sendWrite sends the statements one by one; none of them is durable before the commit. A fenced
// server refuses a statement, which proves that nothing ran.
func (a *attempt) sendWrite(left int) {
	if left == 0 {
		a.passThen(core.StepExecuted, a.sendCommit)
		return
	}
	a.callServer(func(s *server) func() {
		if s.role != target.RolePrimary || s.promised > s.term {
			return func() { a.fail(core.FailureFenced) }
		}
		return func() { a.sendWrite(left - 1) }
	}, func() { a.fail(core.FailureLost) })
}

func (a *attempt) sendCommit() {
	a.passThen(core.StepCommitSent, func() {
		a.callServer(func(s *server) func() {
			pos, err := s.commit(a.c)
			if err != nil {
				return func() { a.fail(core.FailureFenced) }
			}
			return func() { a.committed(pos) }
		}, func() { a.fail(core.FailureLost) })
	})
}

func (a *attempt) replied(rows int) {
	a.passThen(core.StepReplied, func() { a.finish(outcome.Done, rows) })
}

// onGroup is called when the VM adopts a newer group. It does nothing: writes that wait for their
// acknowledgement read the VM's group at their next decision.
func (p *proxy) onGroup() {}

// stepDrain steps the proxy's drain and carries out its actions.
func (p *proxy) stepDrain(ev drain.Event) {
	for _, act := range p.drain.Step(p.v.w.now, ev) {
		p.v.w.logf("%s %s", p.v.name, act)
		p.v.w.reportStep(StepEvent{Op: "shutdown", Step: string(act), Node: p.v.name})
		if act == drain.Finish && p.v.up {
			p.v.w.Kill(p.v.name)
			return
		}
	}
}

// shutdown stops the proxy gracefully.
func (p *proxy) shutdown() {
	p.stepDrain(drain.Begin{})
	p.tickDrain()
}

func (p *proxy) tickDrain() {
	p.after(100*time.Millisecond, func() {
		p.stepDrain(drain.Tick{})
		p.tickDrain()
	})
}
