package load

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/internal/experiment/sim"
)

const failFast = time.Millisecond

// target is a fake database server: three slots, a queue in order of arrival
// that it shares out to all proxies, and the shape's fault.
type target struct {
	s       *sim.Scheduler
	rnd     *rand.Rand
	shape   Shape
	running int
	queue   []*statement
}

// statement is one request at the target.
type statement struct {
	mean  time.Duration
	done  func(ok bool)
	ended bool
}

func (x *statement) end(ok bool) {
	if !x.ended {
		x.ended = true
		x.done(ok)
	}
}

func (t *target) at() time.Duration { return t.s.Now().Sub(sim.Start) }

// do runs a statement; done is called once, with false if the target failed or
// the caller's time ran out.
func (t *target) do(mean, left time.Duration, done func(ok bool)) {
	x := &statement{mean: mean, done: done}
	at := t.at()
	switch {
	case t.shape.outage && at >= outageFrom && at < outageSplit:
		// Frozen: nothing comes back until the caller or the freeze ends.
		t.s.After(min(left, outageSplit-at), func() { x.end(false) })
		return
	case t.shape.outage && at >= outageSplit && at < outageTo:
		t.s.After(failFast, func() { x.end(false) })
		return
	}
	t.s.After(left, func() { x.end(false) })
	t.queue = append(t.queue, x)
	t.next()
}

func (t *target) next() {
	for t.running < slots && len(t.queue) > 0 {
		x := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.s.After(t.time(x), func() {
			t.running--
			x.end(true)
			t.next()
		})
	}
}

func (t *target) time(x *statement) time.Duration {
	took := time.Duration(t.rnd.ExpFloat64() * float64(x.mean))
	if at := t.at(); t.shape.slow && at >= slowFrom && at < slowTo {
		return tenth * took
	}
	return took
}
