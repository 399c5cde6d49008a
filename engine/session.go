package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/timeline"
)

// Session is the session of one consumer. It is for one goroutine.
type Session struct {
	engine   *Engine
	database string
	key      catalog.KeyDigest
	// workspace is the workspace of the last operation; empty if none.
	workspace string
	values    map[string]string
	prepared  map[string]*lane.Prepared
	// ownCommits are the ends of the logs after this session's last commits, by service.
	ownCommits map[string]timeline.Position
	state      statement.State
	tx         *transaction
}

// State returns the session's transaction state.
func (s *Session) State() statement.State { return s.state }

// IdleTimeout returns how long the session may wait for its next statement; zero is unlimited.
func (s *Session) IdleTimeout() time.Duration {
	if s.state != statement.InTransaction {
		return 0
	}
	if c := s.engine.cfg.Catalog.Load().Config; c != nil {
		return c.TransactionIdle
	}
	return 0
}

// Handle serves one statement and returns its answer, which is never nil. It logs each failure with
// the request's id. The context ends once the consumer has left; a read is then dropped from queues.
// A write or a transaction is not: it may have been sent.
func (s *Session) Handle(ctx context.Context, st *statement.Statement) *statement.Answer {
	arrived := s.engine.cfg.Clock.Now()
	a := s.handle(ctx, st)
	if a.Code != statement.OK {
		s.engine.cfg.Log.Info("statement-failed", zap.String("request", st.ID), zap.Stringer("verb", st.Verb),
			zap.String("database", s.database), zap.String("workspace", s.workspace), zap.Stringer("code", a.Code), zap.String("text", a.Text),
			zap.Duration("after", s.engine.cfg.Clock.Now().Sub(arrived)))
	}
	return a
}

func (s *Session) handle(ctx context.Context, st *statement.Statement) *statement.Answer {
	if s.state == statement.FailedTransaction {
		return s.handleFailed(st)
	}
	switch st.Verb {
	case statement.Begin:
		return s.begin(st)
	case statement.Commit:
		return s.commit(context.WithoutCancel(ctx), st)
	case statement.Rollback:
		return s.rollback()
	case statement.Set:
		return s.set(st)
	case statement.Prepare:
		return s.prepare(st)
	case statement.Deallocate:
		return s.deallocate(st)
	case statement.Read, statement.Write, statement.Execute:
		return s.run(ctx, st)
	default:
		return statement.Failure(statement.Malformed, "unknown statement", s.state)
	}
}

// handleFailed serves a session whose transaction has failed: it accepts only a rollback or commit,
// and nothing of the transaction is committed.
func (s *Session) handleFailed(st *statement.Statement) *statement.Answer {
	switch st.Verb {
	case statement.Rollback:
		s.state = statement.Idle
		return statement.Success(statement.Idle)
	case statement.Commit:
		s.state = statement.Idle
		return statement.Failure(statement.Aborted, "the transaction had failed and is rolled back", statement.Idle)
	default:
		return statement.Failure(statement.Malformed, "the transaction has failed: roll it back", s.state)
	}
}

func (s *Session) set(st *statement.Statement) *statement.Answer {
	if s.values == nil {
		s.values = make(map[string]string)
	}
	s.values[st.Name] = st.Value
	return statement.Success(s.state)
}

func (s *Session) prepare(st *statement.Statement) *statement.Answer {
	if s.prepared == nil {
		s.prepared = make(map[string]*lane.Prepared)
	}
	s.prepared[st.Name] = &lane.Prepared{Shape: st.Shape, Writes: st.Writes}
	return statement.Success(s.state)
}

func (s *Session) deallocate(st *statement.Statement) *statement.Answer {
	if s.prepared[st.Name] == nil {
		return statement.Failure(statement.NoStatement, "no statement has this name", s.state)
	}
	delete(s.prepared, st.Name)
	return statement.Success(s.state)
}

// run serves a read or a write, within a transaction or outside of one.
func (s *Session) run(ctx context.Context, st *statement.Statement) *statement.Answer {
	w := &work{st: st, writes: st.Verb == statement.Write, arrived: s.engine.cfg.Clock.Now()}
	if st.Verb == statement.Execute {
		w.prepared = s.prepared[st.Name]
		if w.prepared == nil {
			return s.failStatement(statement.Failure(statement.NoStatement, "no statement has this name", s.state))
		}
		w.writes = w.prepared.Writes
	}
	if s.state == statement.InTransaction {
		return s.runInTransaction(context.WithoutCancel(ctx), w)
	}
	if w.writes {
		ctx = context.WithoutCancel(ctx)
	}
	route, caller, refused := s.lookUp()
	if refused != nil {
		return refused
	}
	w.route, w.caller = route, caller
	a := s.runSingle(ctx, w)
	if hasLeft(ctx) {
		s.engine.cfg.Decisions.Count(decisions.Refusal, route.Service, "consumer-left", 1)
	}
	s.logLateOrFailed(w, a)
	s.countWorkspace(w, a)
	s.engine.cfg.Metrics.done(route, w, a, s.engine.cfg.Clock.Now())
	return a
}

// failStatement returns the answer to a statement that the engine itself refused. If a transaction
// is open, it fails too.
func (s *Session) failStatement(a *statement.Answer) *statement.Answer {
	if s.state == statement.InTransaction {
		s.abandon()
		a.State = s.state
	}
	return a
}

// floor returns the position that the log must have reached for a read; false if there is no evidence
// for it, even after a refresh.
func (s *Session) floor(ctx context.Context, g *groups.Group, w *work) (timeline.Position, bool) {
	route := w.route
	p, ok := g.Freshness.Floor(s.engine.cfg.Clock.Now(), route.MaxAge)
	if !ok && s.refresh(ctx, g, w) {
		p, ok = g.Freshness.Floor(s.engine.cfg.Clock.Now(), route.MaxAge)
		if !hasLeft(ctx) {
			s.recordRefresh(g, w, ok)
		}
	}
	if ok && route.Freshness == catalog.Own {
		p = timeline.Later(p, s.ownCommits[route.Service])
	}
	return p, ok
}

// refresh renews the evidence for bounded-staleness reads. It returns false at once if that has
// failed for a while.
func (s *Session) refresh(ctx context.Context, g *groups.Group, w *work) bool {
	begun := s.engine.cfg.Clock.Now()
	if s.refusesEarly(g) {
		if _, ok := g.Breaker.Admits(begun, groups.Evidence); !ok {
			return false
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.outageTimeout(g, w, groups.NoEvidence))
	defer cancel()
	g.Refresh(ctx, w.route.MaxAge)
	now := w.recordPhase(phaseEvidence, begun, s.engine.cfg.Clock.Now())
	w.outage += now.Sub(begun)
	return true
}

// recordRefresh records whether a refresh has brought the evidence that a read needs.
func (s *Session) recordRefresh(g *groups.Group, w *work, ok bool) {
	now := s.engine.cfg.Clock.Now()
	if ok {
		g.Breaker.Served(now, groups.Evidence)
		return
	}
	g.Breaker.Failed(now, max(w.arrived, now.Add(-w.outage)), groups.NoEvidence)
}

// recordOwnCommit records the end of a service's log after the session's own commit.
//
// Failure guarded against: the session's database moves to another service and back, and the session reads a
// log that lacks what it had committed before.
func (s *Session) recordOwnCommit(service string, p timeline.Position) {
	if p.IsZero() {
		return
	}
	if s.ownCommits == nil {
		s.ownCommits = make(map[string]timeline.Position)
	}
	s.ownCommits[service] = timeline.Later(s.ownCommits[service], p)
}
