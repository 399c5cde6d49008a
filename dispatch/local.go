package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// minAnswerTimeout is the lower bound of the timeout for an answer.
	minAnswerTimeout = time.Millisecond
	// rollbackTimeout bounds the rollback of a transaction that its consumer has abandoned.
	rollbackTimeout = time.Second
)

// Local runs statements over this VM's own connections.
type Local struct {
	Pool   *lane.Pool
	Groups *groups.Registry
	Clock  clock.Clock
}

var _ Runner = (*Local)(nil)

// Load implements Runner.
func (l *Local) Load(id target.ID) lane.Load { return l.Pool.Load(id) }

// ProvesFreshness implements Runner.
func (l *Local) ProvesFreshness(target.ID) bool { return false }

// Run implements Runner.
func (l *Local) Run(ctx context.Context, id target.ID, claim Claim, job *Job) (*Result, error) {
	g := l.Groups.Use(job.Service)
	if job.Commits {
		if err := l.awaitWrites(ctx, g, id, claim.QueueTimeout); err != nil {
			return nil, err
		}
	}
	c, err := l.acquire(ctx, g, id, claim)
	if err != nil {
		return nil, err
	}
	r, err := l.run(ctx, g, c, job)
	if err != nil {
		c.Discard()
		return nil, err
	}
	RecordAnswer(g, g.Leadership.Current(), id, r)
	if r.Answer.State != statement.Idle {
		c.Discard()
		r.Answer.State = statement.Idle
		return r, nil
	}
	c.Release()
	return r, nil
}

func (l *Local) acquire(ctx context.Context, g *groups.Group, id target.ID, claim Claim) (*lane.Conn, error) {
	c, err := l.Pool.Acquire(ctx, id, claim.Options, claim.QueueTimeout)
	if err != nil && Unresponsive(err) {
		g.Health.Failed(id, l.Clock.Now(), lane.Refused(err))
	}
	return c, err
}

// Unresponsive reports whether an error of acquiring a connection shows that the
// target did not respond. A refusal by the target does not show that, nor does a
// timeout in the queue, nor a refusal of a request that could not be served in time.
func Unresponsive(err error) bool {
	var u *lane.UnavailableError
	return !errors.As(err, &u) || (!u.Expired && u.RetryAfter == 0 && u.Code == statement.OK)
}

// run sets up the connection for the session, sends the statement and waits for
// the complete answer.
func (l *Local) run(ctx context.Context, g *groups.Group, c *lane.Conn, job *Job) (*Result, error) {
	id := c.Target
	name, _, err := c.Setup(job.Values, job.Prepared, nil)
	if err != nil {
		g.Health.Failed(id, l.Clock.Now(), lane.Refused(err))
		return nil, &SetupError{Cause: err}
	}
	sent := l.Clock.Now()
	before := g.BeforeCommit(id)
	ended := g.Health.Sent(id, sent, job.Commits)
	a, err := exchange(ctx, c, job, name)
	now := l.Clock.Now()
	ended(now, err == nil)
	if err != nil {
		g.Health.Failed(id, now, false)
		return nil, &LostError{Hurried: Expired(ctx), Cause: err}
	}
	if job.Commits && a.Code == statement.OK {
		g.Acknowledged.Commit(before, a.Position)
	}
	return &Result{Answer: a, Sent: sent, Took: now.Sub(sent)}, nil
}

func exchange(ctx context.Context, c *lane.Conn, job *Job, name string) (*statement.Answer, error) {
	if job.Prepared != nil {
		c.QueueExecute(job.Statement, job.After, name)
	} else {
		c.Queue(job.Statement, job.After)
	}
	timeout := max(min(job.AnswerTimeout, timeLeft(ctx, job.AnswerTimeout)), minAnswerTimeout)
	if err := c.Flush(timeout); err != nil {
		return nil, err
	}
	return c.Receive(timeout)
}

// Expired reports whether the caller's time has ended, also just before its timer says so.
func Expired(ctx context.Context) bool { return ctx.Err() != nil || timeLeft(ctx, 1) <= 0 }

// timeLeft returns the time until the context's deadline, or limit if it has none.
func timeLeft(ctx context.Context, limit time.Duration) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return time.Until(d)
}

// RecordAnswer records the evidence that an answer contains: the end of the target's
// log, or that the target is not the primary.
func RecordAnswer(g *groups.Group, leader leadership.State, id target.ID, r *Result) {
	switch r.Answer.Code {
	case statement.ReadOnly:
		g.Refused(id)
	case statement.OK:
		recordPosition(g, leader, id, r.Sent, r.Answer.Position)
	}
}

func recordPosition(g *groups.Group, leader leadership.State, id target.ID, sent clock.Time, p timeline.Position) {
	switch {
	case leader.Primary == id && leader.Term != 0:
		g.RecordEnd(leader, sent, p)
	case leader.Primary != id:
		g.RecordCopy(id, sent, p)
	}
}
