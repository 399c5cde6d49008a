package load

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/internal/experiment/sim"
)

const failFast = time.Millisecond

// target is a fake database server with three slots, a queue in order of arrival that all proxies
// share, and the shape's fault.
type target struct {
	s       *sim.Scheduler
	rnd     *rand.Rand
	shape   Shape
	running int
	queue   []*statement
}

// statement is one request at the target.
type statement struct {
	mean     time.Duration
	done     func(ok bool)
	finished bool
}

func (x *statement) finish(ok bool) {
	if !x.finished {
		x.finished = true
		x.done(ok)
	}
}

func (t *target) elapsed() time.Duration { return t.s.Now().Sub(sim.Start) }

// execute runs a statement of the given mean time. It calls done once, with false if the target
// failed or the time left expired.
func (t *target) execute(mean, left time.Duration, done func(ok bool)) {
	x := &statement{mean: mean, done: done}
	at := t.elapsed()
	switch {
	case t.shape.outage && at >= outageFrom && at < outageSplit:
		// Frozen: the target does not reply until the freeze ends or the caller times out.
		t.s.After(min(left, outageSplit-at), func() { x.finish(false) })
		return
	case t.shape.outage && at >= outageSplit && at < outageTo:
		t.s.After(failFast, func() { x.finish(false) })
		return
	}
	t.s.After(left, func() { x.finish(false) })
	t.queue = append(t.queue, x)
	t.dispatch()
}

func (t *target) dispatch() {
	for t.running < slots && len(t.queue) > 0 {
		x := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.s.After(t.serviceTime(x), func() {
			t.running--
			x.finish(true)
			t.dispatch()
		})
	}
}

func (t *target) serviceTime(x *statement) time.Duration {
	took := time.Duration(t.rnd.ExpFloat64() * float64(x.mean))
	if at := t.elapsed(); t.shape.slow && at >= slowFrom && at < slowTo {
		return slowFactor * took
	}
	return took
}
