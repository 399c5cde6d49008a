package load

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/experiment/sim"
	"endivemoor.example/endivemoor/retry"
)

const (
	// comesBack is the chance that a caller asks again after a refusal or a
	// failure, and maxAsks how often it asks in all.
	comesBack = 0.8
	maxAsks   = 4
	maxTries  = 3
	maxQueued = 256
)

// Setup is what a run is made of.
type Setup struct {
	Policy admission.Policy
	Seed   uint64
	// KeepHopeless does not refuse early: requests wait until their deadline.
	KeepHopeless bool
	// NoBudget lets the proxy try every idempotent request maxTries times.
	NoBudget bool
	// FixedSlots does not adapt the slots to the latency, and ShareOnly keeps
	// them at this proxy's share.
	FixedSlots, ShareOnly bool
}

// world is one run.
type world struct {
	setup   Setup
	shape   Shape
	s       *sim.Scheduler
	rnd     *rand.Rand
	proxies []*proxy
	target  *target
	budget  *retry.Budget
	backoff retry.Backoff
	tally   *Tally
}

// proxy is one VM's queue for the target.
type proxy struct {
	queue   *admission.Queue
	waiting map[admission.Ticket]*request
}

// request is one caller's wish: it may be asked several times.
type request struct {
	class int
	proxy *proxy
	asks  int
	tries int
	asked clock.Time
	began clock.Time
	ended bool
}

func newWorld(shape Shape, setup Setup) *world {
	w := &world{
		setup: setup, shape: shape, s: sim.New(),
		rnd:     rand.New(rand.NewPCG(setup.Seed, 2)),
		budget:  retry.NewBudget(retry.Config{}),
		backoff: retry.Backoff{Base: 10 * time.Millisecond, Max: 200 * time.Millisecond},
		tally:   newTally(),
	}
	w.target = &target{s: w.s, rnd: w.rnd, shape: shape}
	for i := range max(shape.proxies, 1) {
		w.proxies = append(w.proxies, w.newProxy(uint64(i)))
	}
	return w
}

func (w *world) newProxy(i uint64) *proxy {
	cfg := admission.Config{
		Slots: slots, MaxQueued: maxQueued, Policy: w.setup.Policy,
		FixedSlots: w.setup.FixedSlots, Seed: w.setup.Seed + i,
	}
	fleet := max(w.shape.proxies, 1)
	if w.setup.ShareOnly {
		cfg.Slots, cfg.FixedSlots = (slots+fleet-1)/fleet, true
	}
	q := admission.NewQueue(cfg)
	q.SetFleetSize(fleet)
	return &proxy{queue: q, waiting: make(map[admission.Ticket]*request)}
}

// pick chooses the proxy that the balancer gives a request to.
func (w *world) pick() *proxy {
	if w.rnd.Float64() < w.shape.skew {
		return w.proxies[0]
	}
	return w.proxies[w.rnd.IntN(len(w.proxies))]
}

// at is how far the run is.
func (w *world) at() time.Duration { return w.s.Now().Sub(sim.Start) }

func (w *world) start() {
	for c := range classes {
		w.arrive(c)
	}
	w.s.Every(time.Millisecond, w.expireAll)
}

// arrive makes the class's next request, thinning a Poisson process of the
// highest rate down to the shape's.
func (w *world) arrive(c int) {
	const highest = 1.5 // shares of the slots, above every shape's
	rate := highest * slots / classes[c].service.Seconds()
	w.s.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.rnd.Float64()*highest < w.shape.load(c, w.at()) {
			w.tally.offered(c, w.at())
			w.ask(&request{class: c, proxy: w.pick()})
		}
		w.arrive(c)
	})
}

func (r *request) deadline() clock.Time { return r.asked.Add(classes[r.class].kind.Deadline) }

// ask brings the request to the proxy.
func (w *world) ask(r *request) {
	r.asks++
	r.asked, r.ended, r.tries = w.s.Now(), false, 0
	w.budget.Request(w.s.Now())
	w.tally.request(w.at())
	w.offer(r)
}

func (w *world) offer(r *request) {
	deadline := r.deadline()
	if w.setup.KeepHopeless {
		deadline = deadline.Add(time.Hour)
	}
	p := r.proxy
	o := p.queue.Offer(w.s.Now(), classes[r.class].kind, deadline)
	if o.Evicted.Cause != admission.CauseNone {
		w.refused(p, o.Evicted)
	}
	switch {
	case o.Granted:
		w.run(r)
	case o.Refused.Cause != admission.CauseNone:
		w.giveUp(r, o.Refused.RetryAfter)
	default:
		p.waiting[o.Ticket] = r
	}
}

func (w *world) refused(p *proxy, x admission.Refusal) {
	r := p.waiting[x.Ticket]
	delete(p.waiting, x.Ticket)
	w.giveUp(r, x.RetryAfter)
}

func (w *world) expireAll() {
	for _, p := range w.proxies {
		w.expire(p)
	}
}

// expire ends what is past its deadline, as the limiter's timers do.
func (w *world) expire(p *proxy) {
	for _, x := range p.queue.Expire(w.s.Now(), nil) {
		w.refused(p, x)
	}
	if !w.setup.KeepHopeless {
		return
	}
	for _, t := range slices.Sorted(maps.Keys(p.waiting)) {
		r := p.waiting[t]
		if r.deadline() <= w.s.Now() && p.queue.Cancel(t) {
			delete(p.waiting, t)
			w.giveUp(r, 0)
		}
	}
}

// giveUp is the final answer; the caller may ask again when told to.
func (w *world) giveUp(r *request, after time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	w.tally.GivenUp++
	if !w.shape.outage || r.asks >= maxAsks || w.rnd.Float64() >= comesBack {
		return
	}
	w.s.After(after, func() { w.ask(r) })
}

// run sends the request to the target, which gives it up at its deadline.
func (w *world) run(r *request) {
	w.tally.attempt(w.at())
	r.tries++
	r.began = w.s.Now()
	left := max(r.deadline().Sub(r.began), time.Millisecond)
	w.target.do(classes[r.class].service, left, func(ok bool) { w.release(r, ok) })
}

// release returns the slot and grants it on.
func (w *world) release(r *request, ok bool) {
	now, p := w.s.Now(), r.proxy
	w.expire(p)
	granted := p.queue.Done(now, classes[r.class].kind, now.Sub(r.began), nil)
	w.finish(r, ok)
	for _, t := range granted {
		next := p.waiting[t]
		delete(p.waiting, t)
		w.run(next)
	}
}

func (w *world) finish(r *request, ok bool) {
	now := w.s.Now()
	if ok && !now.After(r.deadline()) {
		r.ended = true
		w.tally.served(r.class, w.at(), now.Sub(r.asked))
		return
	}
	if !ok && w.mayRetry(r) {
		w.s.After(w.backoff.Delay(r.tries, w.rnd), func() { w.offer(r) })
		return
	}
	w.giveUp(r, r.proxy.queue.RetryAfter())
}

func (w *world) mayRetry(r *request) bool {
	if !classes[r.class].kind.Idempotent || r.tries >= maxTries || !r.deadline().After(w.s.Now()) {
		return false
	}
	return w.setup.NoBudget || w.budget.TryRetry(w.s.Now())
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
