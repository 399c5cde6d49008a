package dispatch

import (
	"context"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// localTransaction holds one of this VM's connections.
type localTransaction struct {
	local  *Local
	group  *groups.Group
	conn   *lane.Conn
	leader leadership.State
}

// Open implements Runner.
func (l *Local) Open(ctx context.Context, id target.ID, claim Claim, o *Opening) (Transaction, *statement.Answer, error) {
	g := l.Groups.Use(o.Service)
	current := g.Leadership.Current()
	c, err := l.acquire(ctx, g, id, claim)
	if err != nil {
		return nil, nil, err
	}
	_, a, err := c.Setup(o.Values, nil, &o.Begin)
	if err != nil {
		c.Discard()
		g.Health.Failed(id, l.Clock.Now(), lane.Refused(err))
		return nil, nil, &SetupError{Cause: err}
	}
	g.Health.Answered(id)
	if a.Code == statement.OK && a.State == statement.InTransaction {
		c.Park()
		return &localTransaction{local: l, group: g, conn: c, leader: current}, a, nil
	}
	if a.Code == statement.ReadOnly {
		g.Refused(id)
	}
	if a.State != statement.Idle {
		c.Discard()
	} else {
		c.Release()
	}
	return nil, a, nil
}

// Target implements Transaction.
func (t *localTransaction) Target() target.ID { return t.conn.Target }

// Run implements Transaction.
func (t *localTransaction) Run(ctx context.Context, o lane.AcquireOptions, job *Job) (*Result, error) {
	if job.Commits {
		if err := t.local.awaitWrites(ctx, t.group, t.conn.Target, timeLeft(ctx, job.AnswerTimeout)); err != nil {
			return nil, err
		}
	}
	if err := t.conn.Unpark(ctx, o, timeLeft(ctx, job.AnswerTimeout)); err != nil {
		return nil, err
	}
	r, err := t.local.run(ctx, t.group, t.conn, job)
	t.conn.Park()
	if err != nil {
		return nil, err
	}
	RecordAnswer(t.group, t.leader, t.conn.Target, r)
	return r, nil
}

// Release implements Transaction.
func (t *localTransaction) Release() { t.conn.Release() }

// Discard implements Transaction.
func (t *localTransaction) Discard() { t.conn.Discard() }

// Abandon implements Transaction.
func (t *localTransaction) Abandon() { go rollBack(t.conn) }

// rollBack rolls back the transaction that is open on a connection, and releases the
// connection.
func rollBack(c *lane.Conn) {
	c.QueueRollback()
	if err := c.Flush(rollbackTimeout); err != nil {
		c.Discard()
		return
	}
	a, err := c.Receive(rollbackTimeout)
	if err != nil || a.State != statement.Idle {
		c.Discard()
		return
	}
	c.Release()
}
