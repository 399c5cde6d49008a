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
	// retryProbability is the probability that a caller submits a request again after a refusal or
	// a failure, and maxSubmissions the maximum number of submissions.
	retryProbability = 0.8
	maxSubmissions   = 4
	maxTries         = 3
	maxQueued        = 256
)

// Setup is the configuration of a run.
type Setup struct {
	Policy admission.Policy
	Seed   uint64
	// KeepHopeless disables early refusals: requests wait until their deadline.
	KeepHopeless bool
	// NoBudget disables the retry budget: the proxy tries every idempotent request up to maxTries
	// times.
	NoBudget bool
	// FixedSlots disables the adaptation of the slots to the latency. ShareOnly also fixes them at
	// this proxy's share.
	FixedSlots, ShareOnly bool
}

// world is the state of one run.
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

// proxy is one VM's admission queue for the target.
type proxy struct {
	queue   *admission.Queue
	waiting map[admission.Ticket]*request
}

// request is one caller's request, which the caller may submit several times.
type request struct {
	class       int
	proxy       *proxy
	submissions int
	tries       int
	submittedAt clock.Time
	startedAt   clock.Time
	finished    bool
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

// pickProxy returns the proxy to which the load balancer sends a request.
func (w *world) pickProxy() *proxy {
	if w.rnd.Float64() < w.shape.skew {
		return w.proxies[0]
	}
	return w.proxies[w.rnd.IntN(len(w.proxies))]
}

// elapsed returns the time since the start of the run.
func (w *world) elapsed() time.Duration { return w.s.Now().Sub(sim.Start) }

func (w *world) start() {
	for c := range classes {
		w.scheduleArrival(c)
	}
	w.s.Every(time.Millisecond, w.expireAll)
}

// scheduleArrival schedules the next request of class c and all later ones, by thinning a Poisson
// process of the highest rate to the rate of the shape.
func (w *world) scheduleArrival(c int) {
	const highest = 1.5 // load relative to the slots; above every class's load in every shape
	rate := highest * slots / classes[c].service.Seconds()
	w.s.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.rnd.Float64()*highest < w.shape.load(c, w.elapsed()) {
			w.tally.offered(c, w.elapsed())
			w.submit(&request{class: c, proxy: w.pickProxy()})
		}
		w.scheduleArrival(c)
	})
}

func (r *request) deadline() clock.Time { return r.submittedAt.Add(classes[r.class].kind.Deadline) }

// submit sends the request to its proxy.
func (w *world) submit(r *request) {
	r.submissions++
	r.submittedAt, r.finished, r.tries = w.s.Now(), false, 0
	w.budget.Request(w.s.Now())
	w.tally.request(w.elapsed())
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
		w.handleRefusal(p, o.Evicted)
	}
	switch {
	case o.Granted:
		w.run(r)
	case o.Refused.Cause != admission.CauseNone:
		w.fail(r, o.Refused.RetryAfter)
	default:
		p.waiting[o.Ticket] = r
	}
}

func (w *world) handleRefusal(p *proxy, x admission.Refusal) {
	r := p.waiting[x.Ticket]
	delete(p.waiting, x.Ticket)
	w.fail(r, x.RetryAfter)
}

func (w *world) expireAll() {
	for _, p := range w.proxies {
		w.expire(p)
	}
}

// expire fails the waiting requests whose deadline has passed, as the limiter's timers do.
func (w *world) expire(p *proxy) {
	for _, x := range p.queue.Expire(w.s.Now(), nil) {
		w.handleRefusal(p, x)
	}
	if !w.setup.KeepHopeless {
		return
	}
	for _, t := range slices.Sorted(maps.Keys(p.waiting)) {
		r := p.waiting[t]
		if r.deadline() <= w.s.Now() && p.queue.Cancel(t) {
			delete(p.waiting, t)
			w.fail(r, 0)
		}
	}
}

// fail gives the final reply of a submission. During an outage, the caller may submit the request
// again after the retry-after time.
func (w *world) fail(r *request, after time.Duration) {
	if r.finished {
		return
	}
	r.finished = true
	w.tally.Failed++
	if !w.shape.outage || r.submissions >= maxSubmissions || w.rnd.Float64() >= retryProbability {
		return
	}
	w.s.After(after, func() { w.submit(r) })
}

// run sends the request to the target, which abandons it at its deadline.
func (w *world) run(r *request) {
	w.tally.attempt(w.elapsed())
	r.tries++
	r.startedAt = w.s.Now()
	left := max(r.deadline().Sub(r.startedAt), time.Millisecond)
	w.target.execute(classes[r.class].service, left, func(ok bool) { w.release(r, ok) })
}

// release returns the slot to the queue, and runs the waiting requests to which it is granted.
func (w *world) release(r *request, ok bool) {
	now, p := w.s.Now(), r.proxy
	w.expire(p)
	granted := p.queue.Done(now, classes[r.class].kind, now.Sub(r.startedAt), nil)
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
		r.finished = true
		w.tally.served(r.class, w.elapsed(), now.Sub(r.submittedAt))
		return
	}
	if !ok && w.mayRetry(r) {
		w.s.After(w.backoff.Delay(r.tries, w.rnd), func() { w.offer(r) })
		return
	}
	w.fail(r, r.proxy.queue.RetryAfter())
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
