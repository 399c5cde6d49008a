package engine

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// pauseBusy is the wait before a statement that a target had no room for
	// is sent again: about the time in which one of its slots becomes free.
	pauseBusy = 15 * time.Millisecond
	// maxPauses bounds the growth of that wait with the tries.
	maxPauses = 4
	// triesAtOnce is how many targets a read is tried at without a wait: all
	// three of a service.
	triesAtOnce = 3
	// maxTries bounds the targets and times that one statement is tried.
	maxTries = 6
	// writePatience is how long a write may take before its answer is taken for
	// lost: its work, a full queue, and the receipt of a replica. Waiting longer
	// tells the consumer nothing, and holds one of the primary's connections.
	writePatience = 650 * time.Millisecond
	// comeBack is when a consumer that was refused should return, if nothing
	// better is known: about the time that a change of primary takes.
	comeBack = 250 * time.Millisecond
	// minComeBack is the least such time: the work of a statement or two.
	minComeBack = 30 * time.Millisecond
)

// runAlone serves a statement outside of a transaction.
func (s *Session) runAlone(ctx context.Context, w *work) *statement.Answer {
	g := s.engine.cfg.Groups.Use(w.route.Service)
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(s.engine.cfg.Clock.Now()))
	defer cancel()
	if refused := s.charge(ctx, w); refused != nil {
		return refused
	}
	a := s.serveAlone(ctx, g, w)
	if a.Code == statement.Busy && !w.ran {
		s.uncharge(w)
	}
	return a
}

func (s *Session) serveAlone(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
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
	if refused := s.admit(g, w); refused != nil {
		return refused
	}
	for {
		b, err := s.primary(ctx, g, w)
		if err != nil {
			s.unserved(g)
			return s.giveUp(w, statement.Busy, "no primary")
		}
		a, v := s.try(ctx, b.Primary, w, timeline.Position{}, limits{queue: left(ctx), answer: writePatience})
		s.outage(g, v)
		switch v {
		case done:
			if a.Code != statement.OK {
				return a
			}
			if !s.stillLeads(ctx, g, b) {
				return s.inDoubt(ctx, w, b.Primary)
			}
			g.Breaker.Served()
			s.remember(w.route.Service, a.Position)
			return a
		case lostAnswer:
			return s.inDoubt(ctx, w, b.Primary)
		case full:
			return s.giveUp(w, statement.Busy, "the primary has no time")
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
//
// Failure guarded against: while nobody leads, every read that waits would ask the
// replicas and the store for a proof each time that it tries a dead primary. A primary
// that fails to answer is therefore read from first, and proven if it has answered.
func (s *Session) readExact(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	if refused := s.admit(g, w); refused != nil {
		return refused
	}
	for {
		b, err := s.primary(ctx, g, w)
		if err != nil {
			s.unserved(g)
			return s.giveUp(w, statement.Busy, "no primary")
		}
		var proof <-chan bool
		if g.Health.Failing(b.Primary) == 0 && !s.engine.cfg.Runner.Proves(b.Primary) {
			proof = s.prove(ctx, g, b, w.arrived)
		}
		stood := g.Freshness.Stood(b.Term, b.Primary)
		a, v := s.try(ctx, b.Primary, w, stood, limits{queue: left(ctx), answer: s.patience(b.Primary)})
		if v == full {
			return s.giveUp(w, statement.Busy, "the primary has no time")
		}
		if v == done && a.Code != statement.OK {
			return a
		}
		if v == done && proof == nil {
			proof = s.prove(ctx, g, b, w.arrived)
		}
		if v == done && s.proven(w, proof) {
			g.Breaker.Served()
			return a
		}
		if v == done {
			s.unserved(g)
		}
		s.outage(g, v)
		if !s.pause(ctx, w) {
			return s.giveUp(w, statement.Busy, "no proven answer in time")
		}
	}
}

// primary waits until it is known who leads.
func (s *Session) primary(ctx context.Context, g *groups.Group, w *work) (leadership.Belief, error) {
	begun := s.engine.cfg.Clock.Now()
	b, err := g.Primary(ctx)
	w.spend(phasePrimary, begun, s.engine.cfg.Clock.Now())
	return b, err
}

// proven waits for a proof.
func (s *Session) proven(w *work, proof <-chan bool) bool {
	begun := s.engine.cfg.Clock.Now()
	ok := <-proof
	w.spend(phaseProof, begun, s.engine.cfg.Clock.Now())
	return ok
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
		err := g.Prove(ctx, b, int(arrived)&1, arrived)
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
		a, v := s.try(ctx, id, w, after, most)
		if alone {
			s.noteCrowd(g, w, id, v)
		}
		if v == done {
			s.engine.cfg.Metrics.placed(g.Leadership.Believed().Primary == id)
			return a
		}
		tried[id] = true
		if w.full >= triesAtOnce || (alone && v == full) {
			return s.giveUp(w, statement.Busy, "no target has time")
		}
		if !s.pause(ctx, w) {
			return s.giveUp(w, statement.Busy, "no target answered in time")
		}
	}
}

// noteCrowd tells of a read that only the primary could serve, and that came too late.
func (s *Session) noteCrowd(g *groups.Group, w *work, id target.ID, v verdict) {
	now := s.engine.cfg.Clock.Now()
	late := v == full || now.Sub(w.arrived) > w.route.Objective
	if late && g.Leadership.Believed().Primary == id {
		g.Crowd.Late(now)
	}
}

// giveUp is the final answer to a statement that has not run.
func (s *Session) giveUp(w *work, code statement.Code, why string) *statement.Answer {
	after := comeBack
	if w.full > 0 {
		after = max(w.comeBack, minComeBack)
	}
	if w.full > 0 && w.refusal != nil {
		why += ": " + w.refusal.Error()
	}
	return refuse(code, after, why+", tries "+strconv.Itoa(w.tries), statement.Idle)
}
