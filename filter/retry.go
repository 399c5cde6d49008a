package filter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/retry"
	"endivemoor.example/endivemoor/view"
)

const (
	// retryBase and retryMax bound the jittered wait between attempts.
	retryBase = 10 * time.Millisecond
	retryMax  = 250 * time.Millisecond
)

// Retrier makes further attempts where that is safe.
type Retrier struct {
	View    *view.Holder
	Changes *Changes
	Budgets *Budgets
	Sleep   Sleeper
}

// Handle makes attempts until one succeeds or the machine says stop. The final
// answer is then given at once, with the outcome that the machine derives.
func (f Retrier) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	budget := f.Budgets.of(r.Group.Name)
	budget.Request(r.Start)
	for {
		fail := next(ctx, r)
		if fail == nil {
			return nil
		}
		if waitable(r, fail) {
			if f.awaitServer(ctx, r, fail) {
				continue
			}
			return f.final(r, fail, request.Verdict{Outcome: r.Machine.Outcome(), Why: request.ReasonDeadline})
		}
		v := r.Machine.Fail(fail.Cause, r.Clock.Now(), budget)
		r.Record.fail(r, fail, v)
		if !v.Retry || fail.Gone || fail.Fatal || !f.pause(ctx, r, fail) {
			return f.final(r, fail, v)
		}
		r.Machine.Again()
	}
}

// waitable reports whether the request stays where it is, queued, for a server
// to come back. That costs a target nothing, since the pool alone decides when
// a connection is tried, so it needs no leave of the budget.
func waitable(r *Request, fail *Failure) bool {
	return fail.Cause == request.FailureConnect && r.Machine.State() == request.Queued
}

// awaitServer waits until the server's rest is over or the view has another
// primary. It reports false if the deadline would come first.
func (f Retrier) awaitServer(ctx context.Context, r *Request, fail *Failure) bool {
	until := r.Clock.Now().Add(fail.Wait)
	if !until.Before(r.Deadline) {
		return f.awaitTerm(ctx, r)
	}
	for !f.renew(r) {
		left := until.Sub(r.Clock.Now())
		if left <= 0 {
			return true
		}
		if f.Changes.Wait(ctx, r.View, left) != nil {
			return false
		}
	}
	return true
}

// awaitTerm waits until the view has another term for the group. It reports
// false if there is no time left to use it.
func (f Retrier) awaitTerm(ctx context.Context, r *Request) bool {
	for !f.renew(r) {
		left := r.Left() - viewPoll
		if left <= 0 || f.Changes.Wait(ctx, r.View, left) != nil {
			return false
		}
	}
	return true
}

// renew takes a new picture and reports whether the primary changed. The floor
// is not asked for again: positions only grow.
func (f Retrier) renew(r *Request) bool {
	term := r.Group.Term
	r.Load(f.View)
	return r.Group.Term != term
}

// pause waits before a repeat. After a refusal by a superseded server only
// another term can help.
func (f Retrier) pause(ctx context.Context, r *Request, fail *Failure) bool {
	switch fail.Cause {
	case request.FailureFenced, request.FailureSuperseded:
		return f.awaitTerm(ctx, r)
	}
	d := f.Budgets.delay(r.Machine.Attempts())
	if d >= r.Left() || f.Sleep(ctx, d) != nil {
		return false
	}
	f.renew(r)
	return true
}

// final turns the failure into the caller's answer. The outcome is the
// machine's word, never that of the last attempt alone.
func (f Retrier) final(r *Request, fail *Failure, v request.Verdict) *Failure {
	if v.Outcome == outcome.Unknown && fail.Err.Outcome == outcome.NotRun {
		fail.Err = outcome.Lost(max(fail.Err.RetryAfter, askAgainAfter), "the request may have run: %s", fail.Err.Message)
	}
	if v.Outcome == outcome.NotRun && fail.Err.Outcome == outcome.Unknown {
		fail.Err = outcome.Refuse(outcome.CodeCannotConnectNow, max(fail.Err.RetryAfter, noServerRetry),
			"the request did not run: %s", fail.Err.Message)
	}
	return fail
}

// Budgets keeps one retry budget for each group, and the jitter of waits. It is
// safe for concurrent use.
type Budgets struct {
	cfg    retry.Config
	groups sync.Map // group name -> *retry.Budget

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewBudgets returns budgets with the given setting and seed of jitter.
func NewBudgets(cfg retry.Config, seed uint64) *Budgets {
	return &Budgets{cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 2))}
}

func (b *Budgets) of(group string) *retry.Budget {
	if x, ok := b.groups.Load(group); ok {
		return x.(*retry.Budget)
	}
	x, _ := b.groups.LoadOrStore(group, retry.NewBudget(b.cfg))
	return x.(*retry.Budget)
}

func (b *Budgets) delay(attempt int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Backoff{Base: retryBase, Max: retryMax}.Delay(attempt, b.rnd)
}
