package engine

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// pauseBusy is the pause before a statement that a busy target refused is sent again: about the
	// time in which one of the target's slots becomes free.
	pauseBusy = 15 * time.Millisecond
	// maxPauses bounds the growth of the pause: it is pauseBusy times the number of tries, up to
	// maxPauses.
	maxPauses = 4
	// triesAtOnce is the number of targets at which a read is tried without a pause: all three of a
	// service.
	triesAtOnce = 3
	// maxTries is the number of tries, with any result, from which a read that a target answers
	// with Failed is not tried again. It does not limit tries with other results.
	maxTries = 6
	// writeTimeout is how long a write may take before its answer counts as lost: its own time, a
	// full queue, and the acknowledgement of a replica. A longer wait gives the consumer no more
	// information and holds one of the primary's connections.
	writeTimeout = 650 * time.Millisecond
	// minRetryAfter is the shortest retry-after: the time of one or two statements.
	minRetryAfter = 30 * time.Millisecond
)

// runSingle serves a statement outside of a transaction.
func (s *Session) runSingle(ctx context.Context, w *work) *statement.Answer {
	g := s.engine.cfg.Groups.Use(w.route.Service)
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(s.engine.cfg.Clock.Now()))
	defer cancel()
	if refused := s.charge(ctx, w); refused != nil {
		return refused
	}
	g.Repeats.Request(w.arrived)
	w.hash = s.callerHash(g, w, false)
	a := s.serveSingle(ctx, g, w)
	if a.Code == statement.Busy && !w.ran {
		s.uncharge(w)
	}
	return a
}

func (s *Session) serveSingle(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	switch {
	case w.writes:
		return s.writeSingle(ctx, g, w)
	case w.route.Freshness == catalog.Exact:
		return s.readExact(ctx, g, w)
	default:
		return s.readBounded(ctx, g, w)
	}
}

// writeSingle sends a write to the primary. It sends it again only while it is certain that the
// write has not run.
func (s *Session) writeSingle(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	if !s.admits(g, w, groups.Write) {
		return s.giveUp(w, statement.Busy, breakerOpen+": "+w.cause.String())
	}
	for {
		leader, err := s.primary(ctx, g, w)
		if err != nil {
			return s.giveUp(w, statement.Busy, "no primary")
		}
		if !s.provable(ctx, g, w, leader, w.arrived) {
			return s.giveUp(w, statement.Busy, "no proof that the primary leads")
		}
		a, result := s.try(ctx, leader.Primary, w, timeline.Position{}, limits{queue: timeLeft(ctx), answer: writeTimeout})
		s.recordOutage(g, w, result)
		switch result {
		case done:
			if a.Code != statement.OK {
				return a
			}
			if !s.stillLeads(ctx, g, leader) {
				return s.inDoubt(ctx, w, leader.Primary)
			}
			s.recordServed(g, groups.Write)
			s.recordOwnCommit(w.route.Service, a.Position)
			return a
		case lostAnswer:
			return s.inDoubt(ctx, w, leader.Primary)
		case saturated:
			return s.giveUp(w, statement.Busy, "the primary has no time")
		case unsent, retryable:
			if s.outageTimedOut(g, w) || !s.pause(ctx, w) {
				return s.giveUp(w, statement.Busy, "the primary has no room")
			}
		}
	}
}

// inDoubt returns the answer to a write whose outcome is unknown.
func (s *Session) inDoubt(ctx context.Context, w *work, id target.ID) *statement.Answer {
	code := statement.InDoubt
	if ctx.Err() != nil {
		code = statement.Timeout
	}
	s.engine.cfg.Log.Info("write-in-doubt", zap.String("request", w.st.ID), zap.String("target", string(id)),
		zap.String("code", code.String()), zap.Duration("after", s.engine.cfg.Clock.Now().Sub(w.arrived)))
	return statement.Failure(code, "the write may have been done", statement.Idle)
}

// readExact reads at the primary and concurrently proves that it still leads.
//
// Failure guarded against: while there is no primary, every waiting read would query the replicas
// and the store for a proof each time that it tries a dead primary. If the primary has failed to
// answer, the proof is therefore started only after it has answered the read.
func (s *Session) readExact(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	if !s.admits(g, w, groups.ExactRead) {
		return s.giveUp(w, statement.Busy, breakerOpen+": "+w.cause.String())
	}
	for {
		leader, err := s.primary(ctx, g, w)
		if err != nil {
			return s.giveUp(w, statement.Busy, "no primary")
		}
		var proof <-chan error
		if g.Health.Failing(leader.Primary) == 0 && !s.engine.cfg.Runner.ProvesFreshness(leader.Primary) {
			proof = s.prove(ctx, g, leader, w.arrived)
		}
		position := g.Freshness.LastPosition(leader.Term, leader.Primary)
		tryCtx, end := s.whileLeading(ctx, g, leader)
		a, result := s.try(tryCtx, leader.Primary, w, position, limits{queue: timeLeft(ctx), answer: s.tryTimeout(ctx, w, leader.Primary)})
		replaced := tryCtx.Err() != nil && ctx.Err() == nil
		end()
		if replaced && result != done {
			continue
		}
		if hasLeft(ctx) && result != done {
			return s.giveUp(w, statement.Busy, "the consumer has left")
		}
		if result == saturated {
			return s.giveUp(w, statement.Busy, "the primary has no time")
		}
		if result == done && a.Code != statement.OK {
			return a
		}
		if result == done && proof == nil {
			proof = s.prove(ctx, g, leader, w.arrived)
		}
		if result == done && s.proven(g, w, proof) {
			s.recordServed(g, groups.ExactRead)
			return a
		}
		s.recordOutage(g, w, result)
		if s.outageTimedOut(g, w) || !s.pause(ctx, w) {
			return s.giveUp(w, statement.Busy, "no proven answer in time")
		}
	}
}

// primary waits until the service has a known primary. It records an outage if that takes long.
func (s *Session) primary(ctx context.Context, g *groups.Group, w *work) (leadership.State, error) {
	for {
		if leader, known := g.KnownPrimary(); known {
			return leader, nil
		}
		leader, err := s.awaitPrimary(ctx, g, w)
		if err == nil {
			return leader, nil
		}
		if hasLeft(ctx) {
			return leader, err
		}
		s.recordUnserved(g, w, groups.NoPrimary)
		if ctx.Err() != nil || s.outageTimedOut(g, w) {
			return leader, err
		}
	}
}

func (s *Session) awaitPrimary(ctx context.Context, g *groups.Group, w *work) (leadership.State, error) {
	begun := s.engine.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, s.outageReportInterval(g, w, groups.NoPrimary))
	defer cancel()
	leader, err := g.Primary(ctx)
	now := w.recordPhase(phasePrimary, begun, s.engine.cfg.Clock.Now())
	w.outage += now.Sub(begun)
	return leader, err
}

// proven waits for a proof and reports whether it succeeded. It records an outage if it did not, or if
// that takes long.
func (s *Session) proven(g *groups.Group, w *work, proof <-chan error) bool {
	for {
		begun := s.engine.cfg.Clock.Now()
		err, ended := awaitProof(proof, func() time.Duration { return s.outageReportInterval(g, w, groups.Unproven) })
		now := w.recordPhase(phaseProof, begun, s.engine.cfg.Clock.Now())
		if ended && err == nil {
			return true
		}
		w.outage += now.Sub(begun)
		s.recordUnserved(g, w, causeOf(err))
		if ended || s.outageTimedOut(g, w) {
			return false
		}
	}
}

// awaitProof returns the result of a proof; false if it takes longer than a timeout.
func awaitProof(proof <-chan error, timeout func() time.Duration) (err error, ended bool) {
	select {
	case err := <-proof:
		return err, true
	default:
	}
	timer := time.NewTimer(timeout())
	defer timer.Stop()
	select {
	case err := <-proof:
		return err, true
	case <-timer.C:
		return nil, false
	}
}

// prove queries a replica, in the background, whether the primary's term is still the latest. The
// result is sent on the channel.
func (s *Session) prove(ctx context.Context, g *groups.Group, leader leadership.State, arrived clock.Time) <-chan error {
	out := make(chan error, 1)
	if g.Permitted(leader, arrived) {
		out <- nil
		return out
	}
	// A proof of a transaction outlasts the statement that starts it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft(ctx))
	go func() {
		defer cancel()
		err := g.Prove(ctx, leader, int(arrived)&1, arrived)
		if err != nil {
			s.engine.cfg.Log.Debug("not-proven", zap.String("service", g.Service), zap.Error(err))
		}
		out <- err
	}()
	return out
}

// readBounded reads at a target whose log has reached the position that the accepted age requires.
func (s *Session) readBounded(ctx context.Context, g *groups.Group, w *work) *statement.Answer {
	after, ok := s.floor(ctx, g, w)
	if !ok {
		return s.readExact(ctx, g, w)
	}
	tried := make(map[target.ID]bool, 3)
	for {
		id, choice := s.place(g, w, tried)
		if id == "" {
			return s.giveUp(w, statement.Busy, "no target")
		}
		if choice.Full && w.saturated > 0 {
			s.engine.cfg.Decisions.Count(decisions.Placing, g.Service, refusedByReport, 1)
			return s.giveUp(w, statement.Busy, "no target has time")
		}
		bounds := limits{queue: timeLeft(ctx), answer: s.tryTimeout(ctx, w, id)}
		if !choice.OthersFull {
			bounds.queue = w.bounds(ctx, 0).QueueTimeout(choice.Wait)
		}
		a, result := s.try(ctx, id, w, after, bounds)
		if choice.Only {
			s.recordLateRead(g, w, id, result)
		}
		if result == done {
			s.engine.cfg.Metrics.countRead(g.Leadership.Current().Primary == id)
			return a
		}
		tried[id] = true
		if w.saturated >= triesAtOnce || (choice.OthersFull && result == saturated) {
			return s.giveUp(w, statement.Busy, "no target has time")
		}
		if !s.pause(ctx, w) {
			return s.giveUp(w, statement.Busy, "no target answered in time")
		}
	}
}

// recordLateRead records a read that only the primary could serve, and that it refused as saturated
// or served too late.
func (s *Session) recordLateRead(g *groups.Group, w *work, id target.ID, result tryResult) {
	now := s.engine.cfg.Clock.Now()
	late := result == saturated || now.Sub(w.arrived) > w.route.Objective
	if late && g.Leadership.Current().Primary == id {
		g.LateReads.Record(now)
	}
}

// giveUp returns the final answer to a statement that has not run.
func (s *Session) giveUp(w *work, code statement.Code, why string) *statement.Answer {
	s.countRefusal(w)
	if w.saturated > 0 && w.refusal != nil {
		why += ": " + w.refusal.Error()
	}
	return refuse(code, s.retryAfter(w), why+", tries "+strconv.Itoa(w.tries), statement.Idle)
}
