// Package limiter provides blocking calls for package admission. Begin with Limiter: its Acquire
// returns when the request has a slot, or with a final refusal as soon as it is known that the request
// will not run.
//
// There is one gate for each target, with its own lock, queue and slots. A waiting request blocks on
// its own channel, to which the request that releases a slot sends. If a slot is free, Acquire does
// not allocate memory, because the release functions are created once for each slot and reused.
package limiter

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
)

// Recorder counts refusals for metrics.
type Recorder interface {
	// Refused counts a refusal of a request of the kind at the server.
	Refused(server target.ID, kind string, cause admission.Cause)
}

// Config configures a Limiter.
type Config struct {
	// Queue configures each target's queue.
	Queue admission.Config
	// Clock is required.
	Clock clock.Clock
	// FleetSize returns the number of live VMs that use the targets. If it is nil, this VM is
	// assumed to be the only one.
	FleetSize func() int
	// Recorder may be nil.
	Recorder Recorder
}

// Limiter allocates the slots of all targets. It is safe for concurrent use.
type Limiter struct {
	cfg   Config
	mu    sync.RWMutex
	gates map[target.ID]*gate
}

// New returns a Limiter without targets. A target is added on its first use.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, gates: make(map[target.ID]*gate)}
}

// Acquire waits for a slot at the server for a request of kind k whose caller waits until deadline.
// The returned function releases the slot and must be called exactly once, after the request has
// ended. The outcome of an error is always "not run" because nothing was sent yet.
func (l *Limiter) Acquire(ctx context.Context, server target.ID, k *profile.Kind, deadline clock.Time) (func(), *outcome.Error) {
	return l.gate(server).acquire(ctx, k, deadline)
}

// Load is the state of one target's gate.
type Load struct {
	InUse, Queued, Limit int
}

// Load returns the state of the server's gate.
func (l *Limiter) Load(server target.ID) Load {
	g := l.gate(server)
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{InUse: g.queue.InUse(), Queued: g.queue.Queued(), Limit: g.queue.Limit()}
}

func (l *Limiter) gate(server target.ID) *gate {
	l.mu.RLock()
	g := l.gates[server]
	l.mu.RUnlock()
	if g != nil {
		return g
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if g = l.gates[server]; g == nil {
		g = newGate(server, l.cfg)
		l.gates[server] = g
	}
	return g
}

// gate is one target's queue with the channels of the waiting requests.
type gate struct {
	server target.ID
	cfg    Config

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[admission.Ticket]chan admission.Refusal
	idle    []*slot
	granted []admission.Ticket
	expired []admission.Refusal
}

// slot is the state of one granted request. It is reused after its release.
type slot struct {
	gate    *gate
	kind    *profile.Kind
	since   clock.Time
	release func()
}

func newGate(server target.ID, cfg Config) *gate {
	return &gate{
		server:  server,
		cfg:     cfg,
		queue:   admission.NewQueue(cfg.Queue),
		waiters: make(map[admission.Ticket]chan admission.Refusal),
	}
}

func (g *gate) acquire(ctx context.Context, k *profile.Kind, deadline clock.Time) (func(), *outcome.Error) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	if g.cfg.FleetSize != nil {
		g.queue.SetFleetSize(g.cfg.FleetSize())
	}
	g.expire(now)
	offer := g.queue.Offer(now, k, deadline)
	if offer.Granted {
		release := g.slotFor(k, now).release
		g.mu.Unlock()
		return release, nil
	}
	if offer.Refused.Cause != admission.CauseNone {
		g.mu.Unlock()
		return nil, g.refusal(k, offer.Refused)
	}
	if offer.Evicted.Cause != admission.CauseNone {
		g.notify(offer.Evicted.Ticket, offer.Evicted)
	}
	answers := make(chan admission.Refusal, 1)
	g.waiters[offer.Ticket] = answers
	g.mu.Unlock()
	return g.await(ctx, k, offer.Ticket, answers, deadline.Sub(now))
}

// await blocks until the request is granted or refused, its caller cancels it, or the timeout
// expires, which is the time to its deadline.
func (g *gate) await(ctx context.Context, k *profile.Kind, t admission.Ticket, answers chan admission.Refusal, timeout time.Duration) (func(), *outcome.Error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return g.answer(k, answer)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	if !g.queue.Cancel(t) {
		// The request was granted or refused concurrently: its answer is in the channel.
		g.mu.Unlock()
		return g.answer(k, <-answers)
	}
	delete(g.waiters, t)
	after := g.queue.RetryAfter()
	g.mu.Unlock()
	return nil, g.refusal(k, admission.Refusal{Ticket: t, Cause: admission.CauseExpired, RetryAfter: after})
}

// answer returns the result of Acquire for the answer to a waiting request. CauseNone means that the
// request is granted.
func (g *gate) answer(k *profile.Kind, answer admission.Refusal) (func(), *outcome.Error) {
	if answer.Cause != admission.CauseNone {
		return nil, g.refusal(k, answer)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slotFor(k, g.cfg.Clock.Now()).release, nil
}

// slotFor returns an idle slot, or creates one. There are never more slots than the highest limit of
// the queue.
func (g *gate) slotFor(k *profile.Kind, now clock.Time) *slot {
	n := len(g.idle)
	if n == 0 {
		s := &slot{gate: g, kind: k, since: now}
		s.release = s.end
		return s
	}
	s := g.idle[n-1]
	g.idle = g.idle[:n-1]
	s.kind, s.since = k, now
	return s
}

func (s *slot) end() {
	g := s.gate
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = append(g.idle, s)
	g.expire(now)
	g.granted = g.queue.Done(now, s.kind, now.Sub(s.since), g.granted[:0])
	for _, t := range g.granted {
		g.notify(t, admission.Refusal{Ticket: t})
	}
}

// expire refuses the waiting requests whose deadline has passed. It is called before a slot is
// allocated, so that none of them gets the slot.
func (g *gate) expire(now clock.Time) {
	if g.queue.Queued() == 0 {
		return
	}
	g.expired = g.queue.Expire(now, g.expired[:0])
	for _, r := range g.expired {
		g.notify(r.Ticket, r)
	}
}

// notify sends a waiting request its answer.
func (g *gate) notify(t admission.Ticket, r admission.Refusal) {
	answers := g.waiters[t]
	delete(g.waiters, t)
	answers <- r
}

func (g *gate) refusal(k *profile.Kind, r admission.Refusal) *outcome.Error {
	if g.cfg.Recorder != nil {
		g.cfg.Recorder.Refused(g.server, k.Name, r.Cause)
	}
	return outcome.Refuse(outcome.CodeOverloaded, r.RetryAfter,
		"%s is overloaded: request of kind %q refused, %s", g.server, k.Name, r.Cause)
}
