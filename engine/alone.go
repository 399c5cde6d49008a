package engine

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// pauseBusy is the wait before a statement that a target had no room for
	// is sent again: about the time in which one of its slots becomes free.
	pauseBusy = 15 * time.Millisecond
	// maxTries bounds the targets and times that one statement is tried.
	maxTries = 6
	// writePatience is how long a write may take before its answer is taken for
	// lost: its work of at most 45 ms, a full queue of 150 ms, and the receipt
	// of a replica, 360 ms behind at most on the users' sheets. Waiting longer
	// tells the consumer nothing, and holds one of the primary's connections.
	writePatience = 650 * time.Millisecond
	// comeBack is when a consumer that was refused should return, if nothing
	// better is known: about the time that a change of primary takes.
	comeBack = 250 * time.Millisecond
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

// runAlone serves a statement outside of a transaction.
func (s *Session) runAlone(ctx context.Context, w *work) *statement.Answer {
	g := s.engine.cfg.Groups.Group(w.route.Service)
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(s.engine.cfg.Clock.Now()))
	defer cancel()
	switch {
	case w.writes:
		return s.writeAlone(ctx, g, w)
	case w.route.Freshness == catalog.Exact:
		return s.readExact(ctx, g, w)
	default:
		return s.readAged(ctx, g, w)
	}
}

// writeAlone sends a write to the primary. It is sent again only while it
// surely has not run.
func (s *Session) writeAlone(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	for {
		b, err := g.Primary(ctx)
		if err != nil {
			return s.giveUp(w, statement.Busy, "no primary")
		}
		a, v := s.try(ctx, g, b.Primary, w, timeline.Position{}, limits{queue: left(ctx), answer: writePatience})
		switch v {
		case done:
			if a.Code == statement.OK {
				s.remember(w.route.Service, a.Position)
			}
			return a
		case lost:
			return s.inDoubt(ctx, w, b.Primary)
		case unsent, again:
			if !s.pause(ctx, w) {
				return s.giveUp(w, statement.Busy, "the primary has no room")
			}
		}
	}
}

// inDoubt is the answer to a write whose own answer was lost.
func (s *Session) inDoubt(ctx context.Context, w *work, id target.ID) *statement.Answer {
	code := statement.InDoubt
	if ctx.Err() != nil {
		code = statement.Timeout
	}
	s.engine.cfg.Log.Info("write-in-doubt", zap.String("request", w.st.ID), zap.String("target", string(id)),
		zap.String("code", code.String()), zap.Duration("after", s.engine.cfg.Clock.Now().Sub(w.arrived)))
	return statement.Failure(code, "the write may have been done", statement.Idle)
}

// readExact reads at the primary, and proves meanwhile that it still leads.
func (s *Session) readExact(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	for {
		b, err := g.Primary(ctx)
		if err != nil {
			return s.giveUp(w, statement.Busy, "no primary")
		}
		proof := s.prove(ctx, g, b, w.arrived)
		a, v := s.try(ctx, g, b.Primary, w, timeline.Position{}, limits{queue: left(ctx), answer: s.patience(b.Primary)})
		if v == done && a.Code != statement.OK {
			return a
		}
		if v == done && <-proof {
			return a
		}
		if !s.pause(ctx, w) {
			return s.giveUp(w, statement.Busy, "no proven answer in time")
		}
	}
}

// prove asks a replica whether the primary's term is still the latest. The
// result is delivered on the channel.
func (s *Session) prove(ctx context.Context, g *groups.Group, b leadership.Belief, arrived clock.Time) <-chan bool {
	out := make(chan bool, 1)
	if g.Permitted(b, arrived) {
		out <- true
		return out
	}
	go func() {
		err := g.Witness(ctx, b, int(arrived)&1)
		if err != nil {
			s.engine.cfg.Log.Debug("not-proven", zap.String("service", g.Service), zap.Error(err))
		}
		out <- err == nil
	}()
	return out
}

// readAged reads at a target whose log holds what the accepted age asks for.
func (s *Session) readAged(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	after, ok := s.floor(ctx, g, w.route)
	if !ok {
		return s.readExact(ctx, g, w)
	}
	tried := make(map[target.ID]bool, 3)
	for {
		id, alone := s.place(g, tried)
		if id == "" {
			return s.giveUp(w, statement.Busy, "no target")
		}
		most := limits{queue: left(ctx), answer: s.patience(id)}
		if !alone {
			most.queue = min(most.queue, most.answer)
		}
		a, v := s.try(ctx, g, id, w, after, most)
		if v == done {
			s.engine.cfg.Metrics.placed(w.route, g.Leadership.Believed().Primary == id)
			return a
		}
		tried[id] = true
		if !s.pause(ctx, w) {
			return s.giveUp(w, statement.Busy, "no target answered in time")
		}
	}
}

// patience is how long one try at a target may take.
func (s *Session) patience(id target.ID) time.Duration {
	return s.engine.cfg.Placing.Patience(id, s.engine.cfg.Clock.Now())
}

// place chooses the target of a read among those not tried yet; once all were,
// among all. The second result is set if there is no other choice.
func (s *Session) place(g *groups.Group, tried map[target.ID]bool) (target.ID, bool) {
	cat := s.engine.cfg.Catalog.Load()
	primary := g.Leadership.Believed().Primary
	var candidates []placing.Candidate
	for _, t := range cat.ByService[g.Service] {
		if t.Draining || tried[t.ID] {
			continue
		}
		load := s.engine.cfg.Pool.Load(t.ID)
		candidates = append(candidates, placing.Candidate{
			ID: t.ID, Near: s.engine.near(t), Primary: t.ID == primary,
			Down: load.Down, Waiting: load.InUse + load.Queued,
		})
	}
	if len(candidates) == 0 && len(tried) > 0 {
		clear(tried)
		return s.place(g, tried)
	}
	i := s.engine.cfg.Placing.Choose(s.engine.cfg.Clock.Now(), candidates)
	if i < 0 {
		return "", true
	}
	return candidates[i].ID, len(candidates) == 1
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
	wait := pauseBusy * time.Duration(min(w.tries, 4))
	if w.tries < 3 && !w.writes {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp is the final answer to a statement that has not run.
func (s *Session) giveUp(w *work, code statement.Code, why string) *statement.Answer {
	return refuse(code, comeBack, why+", tries "+strconv.Itoa(w.tries), statement.Idle)
}

// left is the time until the context's deadline.
func left(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return minTimeout
	}
	return time.Until(d)
}

// isTimeout reports whether err is that of a deadline.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
