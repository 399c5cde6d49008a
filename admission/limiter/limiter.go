// Package limiter drives admission with blocking calls: Acquire returns when
// the request has a slot, or at once with the final answer that it will not
// run.
//
// There is one gate for each target, with its own lock, queue and slots. A
// waiting request sleeps on its own channel; the one that returns a slot wakes
// it. On the path where a slot is free nothing is allocated: the release
// functions are made once for each slot and used again.
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

// Recorder is told of refusals, for metrics. It may be nil.
type Recorder interface {
	// Refused counts a refusal of a request of the kind at the server.
	Refused(server target.ID, kind string, cause admission.Cause)
}

// Config sets a Limiter.
type Config struct {
	// Queue is the setting of each target's queue.
	Queue admission.Config
	// Clock gives the time; it must be set.
	Clock clock.Clock
	// Fleet returns the number of live VMs that use the targets; nil means that
	// this one is alone.
	Fleet func() int
	// Recorder may be nil.
	Recorder Recorder
}

// Limiter hands out the slots of all targets. It is safe for concurrent use.
type Limiter struct {
	cfg   Config
	mu    sync.RWMutex
	gates map[target.ID]*gate
}

// New returns a Limiter without targets; a target is added by its first use.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, gates: make(map[target.ID]*gate)}
}

// Acquire waits for a slot at the server for a request of kind k whose caller
// waits until deadline. The returned release must be called exactly once, when
// the request has ended. The error's outcome is always "not run": nothing was
// sent yet.
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

// gate is one target's queue with those who wait on it.
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

// slot is one granted request; it is used again after its release.
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
	if g.cfg.Fleet != nil {
		g.queue.SetFleet(g.cfg.Fleet())
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
		g.wake(offer.Evicted.Ticket, offer.Evicted)
	}
	woken := make(chan admission.Refusal, 1)
	g.waiters[offer.Ticket] = woken
	g.mu.Unlock()
	return g.await(ctx, k, offer.Ticket, woken, deadline.Sub(now))
}

// await sleeps until the request is granted, refused, given up by its caller or
// past its deadline.
func (g *gate) await(ctx context.Context, k *profile.Kind, t admission.Ticket, woken chan admission.Refusal, left time.Duration) (func(), *outcome.Error) {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case answer := <-woken:
		return g.answer(k, answer)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	if !g.queue.Cancel(t) {
		// The answer came at the same moment: it is in the channel.
		g.mu.Unlock()
		return g.answer(k, <-woken)
	}
	delete(g.waiters, t)
	after := g.queue.RetryAfter()
	g.mu.Unlock()
	return nil, g.refusal(k, admission.Refusal{Ticket: t, Cause: admission.CauseExpired, RetryAfter: after})
}

func (g *gate) answer(k *profile.Kind, answer admission.Refusal) (func(), *outcome.Error) {
	if answer.Cause != admission.CauseNone {
		return nil, g.refusal(k, answer)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slotFor(k, g.cfg.Clock.Now()).release, nil
}

// slotFor takes an idle slot, or makes one: there are never more than the
// queue's highest limit.
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
		g.wake(t, admission.Refusal{Ticket: t})
	}
}

// expire refuses what is past its deadline before a slot is given out.
func (g *gate) expire(now clock.Time) {
	if g.queue.Queued() == 0 {
		return
	}
	g.expired = g.queue.Expire(now, g.expired[:0])
	for _, r := range g.expired {
		g.wake(r.Ticket, r)
	}
}

func (g *gate) wake(t admission.Ticket, r admission.Refusal) {
	woken := g.waiters[t]
	delete(g.waiters, t)
	woken <- r
}

func (g *gate) refusal(k *profile.Kind, r admission.Refusal) *outcome.Error {
	if g.cfg.Recorder != nil {
		g.cfg.Recorder.Refused(g.server, k.Name, r.Cause)
	}
	return outcome.Refuse(outcome.CodeOverloaded, r.RetryAfter,
		"%s is overloaded: request of kind %q refused, %s", g.server, k.Name, r.Cause)
}
