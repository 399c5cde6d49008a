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
	// retryBase and retryMax limit the jittered delay between attempts.
	retryBase = 10 * time.Millisecond
	retryMax  = 250 * time.Millisecond
)

// Retrier repeats attempts where that is safe.
type Retrier struct {
	View    *view.Holder
	Changes *ViewChanges
	Budgets *Budgets
	Sleep   Sleeper
}

// Handle makes attempts until one succeeds or the machine permits no other. It then returns the
// final failure without further delay, with the outcome that the machine derives.
func (f Retrier) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	budget := f.Budgets.forGroup(r.Group.Name)
	budget.Request(r.Start)
	for {
		fail := next(ctx, r)
		if fail == nil {
			return nil
		}
		if canWaitQueued(r, fail) {
			if f.awaitServer(ctx, r, fail) {
				continue
			}
			return f.finalFailure(r, fail, request.FailureResult{Outcome: r.Machine.Outcome(), Reason: request.ReasonDeadline})
		}
		v := r.Machine.Fail(fail.Cause, r.Clock.Now(), budget)
		r.Record.fail(r, fail, v)
		if !v.Retry || fail.CallerDisconnected || fail.Fatal || !f.waitBeforeRetry(ctx, r, fail) {
			return f.finalFailure(r, fail, v)
		}
		r.Machine.StartAttempt()
	}
}

// canWaitQueued reports whether the request may stay queued until a server is reachable again. The
// wait puts no load on a target, because only the pool decides when a connection is attempted, so
// it takes nothing from the retry budget.
func canWaitQueued(r *Request, fail *Failure) bool {
	return fail.Cause == request.FailureConnect && r.Machine.State() == request.Queued
}

// awaitServer waits until the server's backoff ends or the view has another term for the group. If
// the backoff ends after the deadline, only another term can help. It reports false if the deadline
// comes first or ctx ends.
func (f Retrier) awaitServer(ctx context.Context, r *Request, fail *Failure) bool {
	until := r.Clock.Now().Add(fail.Wait)
	if !until.Before(r.Deadline) {
		return f.awaitTerm(ctx, r)
	}
	for !f.reloadView(r) {
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

// awaitTerm waits until the view has another term for the group. It reports false if too little
// time is left to use it, or if ctx ends.
func (f Retrier) awaitTerm(ctx context.Context, r *Request) bool {
	for !f.reloadView(r) {
		left := r.Left() - viewPollInterval
		if left <= 0 || f.Changes.Wait(ctx, r.View, left) != nil {
			return false
		}
	}
	return true
}

// reloadView takes a new snapshot of the view and reports whether the group's term changed. The
// floor is not fetched again, because positions only increase.
func (f Retrier) reloadView(r *Request) bool {
	term := r.Group.Term
	r.Load(f.View)
	return r.Group.Term != term
}

// waitBeforeRetry waits before an attempt is repeated, and reports whether it may be made. After a
// refusal by a superseded server only another term can help.
func (f Retrier) waitBeforeRetry(ctx context.Context, r *Request, fail *Failure) bool {
	switch fail.Cause {
	case request.FailureFenced, request.FailureSuperseded:
		return f.awaitTerm(ctx, r)
	}
	d := f.Budgets.delay(r.Machine.Attempts())
	if d >= r.Left() || f.Sleep(ctx, d) != nil {
		return false
	}
	f.reloadView(r)
	return true
}

// finalFailure converts the failure into the answer to the caller. Its outcome is the one that the
// machine derives from all attempts, not only from the last one.
func (f Retrier) finalFailure(r *Request, fail *Failure, v request.FailureResult) *Failure {
	if v.Outcome == outcome.Unknown && fail.Err.Outcome == outcome.NotRun {
		fail.Err = outcome.Lost(max(fail.Err.RetryAfter, unknownOutcomeRetryAfter), "the request may have run: %s", fail.Err.Message)
	}
	if v.Outcome == outcome.NotRun && fail.Err.Outcome == outcome.Unknown {
		fail.Err = outcome.Refuse(outcome.CodeCannotConnectNow, max(fail.Err.RetryAfter, noServerRetryAfter),
			"the request did not run: %s", fail.Err.Message)
	}
	return fail
}

// Budgets holds one retry budget for each group and the random source of the jitter. It is safe for
// concurrent use.
type Budgets struct {
	cfg    retry.Config
	groups sync.Map // group name -> *retry.Budget

	mu  sync.Mutex
	rnd *rand.Rand
}

// NewBudgets returns budgets with the given configuration and jitter seed.
func NewBudgets(cfg retry.Config, seed uint64) *Budgets {
	return &Budgets{cfg: cfg, rnd: rand.New(rand.NewPCG(seed, 2))}
}

func (b *Budgets) forGroup(group string) *retry.Budget {
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
