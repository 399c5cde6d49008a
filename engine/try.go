package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// verdict says what became of one try.
type verdict uint8

const (
	// done: the answer is final.
	done verdict = iota
	// again: it surely did not run and may be sent again.
	again
	// lost: it was sent, and no whole answer came.
	lost
	// unsent: no connection could be had.
	unsent
)

// patience is how long one try at a target may take.
func (s *Session) patience(id target.ID) time.Duration {
	return s.engine.cfg.Placing.Patience(id, s.engine.cfg.Clock.Now())
}

// limits bound one try.
type limits struct {
	// queue is how long to wait for a connection.
	queue time.Duration
	// answer is how long to wait for the answer.
	answer time.Duration
}

// try sends a statement to one target and returns its answer.
func (s *Session) try(ctx context.Context, g *groups.Group, id target.ID, w *work, after timeline.Position, most limits) (*statement.Answer, verdict) {
	w.tries++
	e := s.engine
	c, err := e.cfg.Pool.Acquire(ctx, id, order(w.route, w.arrived), most.queue)
	if err != nil {
		s.noConnection(g, id, err)
		return nil, unsent
	}
	name, _, err := c.Setup(s.values, w.prepared, nil)
	if err != nil {
		c.Discard()
		e.failed(g, id, lane.Refused(err))
		return nil, unsent
	}
	sent := e.cfg.Clock.Now()
	before := g.Acknowledged.Before()
	ended := g.Health.Sent(id, sent, w.writes)
	a, err := exchange(c, w, after, name, min(most.answer, left(ctx)))
	ended(e.cfg.Clock.Now(), err == nil)
	if err != nil {
		c.Discard()
		e.failed(g, id, false)
		e.cfg.Log.Debug("answer-lost", zap.String("request", w.st.ID), zap.String("target", string(id)), zap.Error(err))
		return nil, lost
	}
	if a.State != statement.Idle {
		c.Discard()
		a.State = statement.Idle
	} else {
		c.Release()
	}
	if w.writes && a.Code == statement.OK {
		g.Acknowledged.Commit(before, a.Position)
	}
	return a, s.judge(g, id, w, a, sent)
}

// exchange sends the consumer's statement and waits for the whole answer.
func exchange(c *lane.Conn, w *work, after timeline.Position, name string, timeout time.Duration) (*statement.Answer, error) {
	if w.prepared != nil {
		c.QueueExecute(w.st, after, name)
	} else {
		c.Queue(w.st, after)
	}
	if timeout <= 0 {
		timeout = time.Millisecond
	}
	if err := c.Flush(timeout); err != nil {
		return nil, err
	}
	return c.Receive(timeout)
}

// judge says whether an answer is final, and learns from it.
func (s *Session) judge(g *groups.Group, id target.ID, w *work, a *statement.Answer, sent clock.Time) verdict {
	e := s.engine
	now := e.cfg.Clock.Now()
	switch {
	case a.Code == statement.OK:
		e.cfg.Placing.Served(id, now, now.Sub(sent))
		learn(g, g.Leadership.Believed(), id, sent, a.Position)
		return done
	case a.Code == statement.ReadOnly:
		g.Refused(id)
		return again
	case a.Code == statement.Lagging:
		e.cfg.Placing.Lagged(id, now)
		return again
	case a.Code.NotRun():
		return again
	case a.Code == statement.Failed && !w.writes && w.tries < maxTries:
		return again
	default:
		return done
	}
}

// learn turns the position in a target's answer into evidence for reads.
func learn(g *groups.Group, b leadership.Belief, id target.ID, sent clock.Time, p timeline.Position) {
	switch {
	case b.Primary == id && b.Term != 0:
		g.Acknowledged.Told(p)
		g.Freshness.Sample(b.Term, id, sent, p)
	case b.Primary != id:
		g.Freshness.Seen(id, p)
	}
}

// noConnection learns from a connection that could not be had.
func (s *Session) noConnection(g *groups.Group, id target.ID, err error) {
	var u *lane.UnavailableError
	if errors.As(err, &u) && (u.Expired || u.Code != statement.OK) {
		return
	}
	s.engine.failed(g, id, lane.Refused(err))
}

// pause waits a moment before a statement is tried again; false if its time or
// its tries are used up.
func (s *Session) pause(ctx context.Context, w *work) bool {
	if ctx.Err() != nil {
		return false
	}
	if w.tries < triesAtOnce && !w.writes {
		return true
	}
	return wait.For(ctx, pauseBusy*time.Duration(min(w.tries, maxPauses)))
}

// left is the time until the context's deadline.
func left(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return minTimeout
	}
	return time.Until(d)
}
