package filter

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/retry"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// retryFixture is a Retrier whose next handlers are scripted.
type retryFixture struct {
	views   *view.Holder
	retrier Retrier
	sent    int
}

func newRetryFixture(cfg retry.Config) *retryFixture {
	b := &retryFixture{views: view.NewHolder()}
	b.publish(1)
	b.retrier = Retrier{
		View: b.views, Changes: NewViewChanges(b.views), Budgets: NewBudgets(cfg, 1),
		Sleep: func(context.Context, time.Duration) error { return nil },
	}
	return b
}

func (b *retryFixture) publish(term timeline.Term) {
	b.views.Update(func(v *view.View) {
		v.Groups = map[string]*view.Group{"g": {Name: "g", Term: term}}
	})
}

func (b *retryFixture) request(t request.Terms, left time.Duration) *Request {
	clk := monotonic.New()
	r := &Request{
		Clock: clk, Start: clk.Now(), Deadline: clk.Now().Add(left), Kind: &profile.Kind{},
		Session: &Session{Group: "g", Profile: &profile.Profile{}},
	}
	t.Deadline = r.Deadline
	r.Machine = request.New(t)
	r.Load(b.views)
	return r
}

// fail returns a next handler that passes step, fails n times and then succeeds.
func (b *retryFixture) fail(step request.Step, f request.Failure, n int) Handler {
	return func(_ context.Context, r *Request) *Failure {
		r.Machine.RecordStep(step)
		if step >= request.StepSent {
			b.sent++
		}
		if n == 0 {
			return nil
		}
		n--
		return &Failure{Cause: f, Err: outcome.Lost(time.Second, "broken"), Wait: time.Millisecond}
	}
}

// Failure guarded against: a database is down and a thousand idempotent requests fail. If each were
// sent again, the load would double when there is least capacity for it.
func TestBudgetBoundsAttemptsInAnOutage(t *testing.T) {
	b := newRetryFixture(retry.Config{})
	const requests = 1000
	for range requests {
		r := b.request(request.Terms{Idempotent: true}, time.Hour)
		fail := b.retrier.Handle(context.Background(), r, b.fail(request.StepSent, request.FailureLost, 1000))
		require.Equal(t, outcome.Unknown, fail.Err.Outcome)
	}
	require.Less(t, b.sent, requests*11/10)
	require.Greater(t, b.sent, requests)
}

// A write that must not be repeated is sent once, whatever the budget.
func TestUnrepeatableWriteIsSentOnce(t *testing.T) {
	b := newRetryFixture(retry.Config{Burst: 100})
	fail := b.retrier.Handle(context.Background(), b.request(request.Terms{}, time.Hour),
		b.fail(request.StepSent, request.FailureLost, 1))
	require.Equal(t, outcome.CodeResolutionUnknown, fail.Err.Code)
	require.Equal(t, 1, b.sent)
}

// The code of the answer is "unknown" whenever an earlier attempt may have run, even if the last
// one was refused before it was sent.
func TestFinalAnswerHasTheMachinesOutcome(t *testing.T) {
	b := newRetryFixture(retry.Config{Burst: 100})
	n := 0
	next := func(_ context.Context, r *Request) *Failure {
		n++
		if n == 1 {
			r.Machine.RecordStep(request.StepSent)
			return &Failure{Cause: request.FailureLost, Err: outcome.Lost(0, "broken")}
		}
		return Refusal(outcome.Refuse(outcome.CodeOverloaded, time.Second, "shed"))
	}
	fail := b.retrier.Handle(context.Background(), b.request(request.Terms{Keyed: true}, time.Hour), next)
	require.Equal(t, outcome.Unknown, fail.Err.Outcome)
	require.Equal(t, outcome.CodeResolutionUnknown, fail.Err.Code)
	require.Positive(t, fail.Err.RetryAfter)
}

// A primary is unreachable and the view has not changed. A queued write waits without using the
// retry budget, and continues when a new term is published.
func TestQueuedWriteWaitsForANewTermWithoutBudget(t *testing.T) {
	b := newRetryFixture(retry.Config{Burst: 1})
	r := b.request(request.Terms{}, time.Hour)
	var tries atomic.Int32
	next := func(_ context.Context, r *Request) *Failure {
		r.Machine.RecordStep(request.StepAdmitted)
		if tries.Add(1); r.Group.Term == 2 {
			return nil
		}
		return &Failure{Cause: request.FailureConnect, Err: outcome.Refuse(outcome.CodeTooManyConnections, 0, "down"), Wait: time.Millisecond}
	}
	done := make(chan *Failure, 1)
	go func() { done <- b.retrier.Handle(context.Background(), r, next) }()
	for tries.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	b.publish(2)
	require.Nil(t, <-done)
	require.Equal(t, 1, r.Machine.Attempts())
}

// The server's backoff lasts longer than the caller's deadline and no promotion follows: the
// request fails as "not run".
func TestQueuedWriteIsGivenUpAtItsDeadline(t *testing.T) {
	b := newRetryFixture(retry.Config{})
	next := func(_ context.Context, r *Request) *Failure {
		return &Failure{Cause: request.FailureConnect, Err: outcome.Refuse(outcome.CodeTooManyConnections, time.Second, "down"), Wait: time.Hour}
	}
	fail := b.retrier.Handle(context.Background(), b.request(request.Terms{}, 20*time.Millisecond), next)
	require.Equal(t, outcome.NotRun, fail.Err.Outcome)
	require.Equal(t, time.Second, fail.Err.RetryAfter)
}

func TestWaitersShareOnePoll(t *testing.T) {
	b := newRetryFixture(retry.Config{})
	c := NewViewChanges(b.views)
	old := b.views.Load()
	done := make(chan error, 100)
	for range cap(done) {
		go func() { done <- c.Wait(context.Background(), old, time.Hour) }()
	}
	waiting := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.waiters
	}
	require.Eventually(t, func() bool { return waiting() == cap(done) }, time.Minute, time.Millisecond)
	b.publish(2)
	for range cap(done) {
		require.NoError(t, <-done)
	}
	require.NoError(t, c.Wait(context.Background(), old, time.Hour), "the view has already changed")
}

func TestQueueLimiterRefusesAtOnce(t *testing.T) {
	b := newRetryFixture(retry.Config{})
	r := b.request(request.Terms{}, time.Hour)
	r.Session.Profile.MaxQueued = 1
	limiter := &QueueLimiter{}
	fail := limiter.Handle(context.Background(), r, func(ctx context.Context, r *Request) *Failure {
		return limiter.Handle(ctx, r, func(context.Context, *Request) *Failure { return nil })
	})
	require.Equal(t, outcome.CodeOverloaded, fail.Err.Code)
	require.Nil(t, limiter.Handle(context.Background(), r, func(context.Context, *Request) *Failure { return nil }))
}

func TestParseTag(t *testing.T) {
	for sql, want := range map[string]Tag{
		"SELECT 1": {},
		"/*endivemoor kind=a&key=b%20c*/ SELECT 1":    {Kind: "a", Key: "b c"},
		"  \n/*endivemoor key=k*/SELECT 1":            {Key: "k"},
		"/* endivemoor kind=a */ SELECT 1":            {},
		"SELECT 1 /*endivemoor kind=a*/":              {},
		"/*endivemoor kind=a*/ /*endivemoor key=b*/x": {Kind: "a"},
	} {
		got, _, err := ParseTag(sql)
		require.Nil(t, err, sql)
		require.Equal(t, want, got, sql)
	}
	for _, sql := range []string{
		"/*endivemoor kind=a", "/*endivemoor kind=*/", "/*endivemoor nope=1*/",
		"/*endivemoor kind=a&kind=b*/", "/*endivemoor kind=%zz*/",
	} {
		_, _, err := ParseTag(sql)
		require.NotNil(t, err, sql)
	}
}
