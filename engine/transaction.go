package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// transaction is a session's open transaction.
type transaction struct {
	route    *catalog.Route
	caller   callers.Caller
	group    *groups.Group
	readOnly bool
	// began is when its first byte arrived: its reads must see everything that had been acknowledged
	// by then.
	began clock.Time
	// open is nil until the first statement is sent.
	open   dispatch.Transaction
	leader leadership.State
	// spent is how long its statements have taken so far. The consumer's pauses between them do not
	// count against the objective.
	spent time.Duration
	// wrote is set once a write has been sent.
	wrote bool
	// unproven is set if opening the transaction must start a proof that the primary leads.
	unproven bool
	// proof delivers whether the primary led after the transaction began. It is nil for routes that
	// need no proof, and once the result has been received.
	proof <-chan error
}

// acquireOptions returns the queue priority of a statement of the transaction. The objective
// applies to all its statements together.
func (tx *transaction) acquireOptions(w *work) lane.AcquireOptions {
	return w.acquireOptions(w.arrived.Add(-tx.spent))
}

// need returns what the transaction needs of its service's primary.
func (tx *transaction) need() groups.Need {
	if tx.readOnly {
		return groups.ExactRead
	}
	return groups.Write
}

// begin opens a transaction in the session; it is opened at a target with the first statement. The
// route is looked up now and applies until the transaction ends.
func (s *Session) begin(st *statement.Statement) *statement.Answer {
	if s.state == statement.InTransaction {
		return s.failStatement(statement.Failure(statement.Malformed, "a transaction is open already", s.state))
	}
	route, caller, refused := s.lookUp()
	if refused != nil {
		return refused
	}
	s.tx = &transaction{
		route: route, caller: caller, readOnly: st.ReadOnly, began: s.engine.cfg.Clock.Now(),
		group: s.engine.cfg.Groups.Use(route.Service),
	}
	s.state = statement.InTransaction
	return statement.Success(s.state)
}

// rollback ends a transaction without waiting for the target. The connection is released once the
// target has answered.
func (s *Session) rollback() *statement.Answer {
	s.abandon()
	s.state = statement.Idle
	return statement.Success(s.state)
}

// abandon ends the open transaction without a commit.
func (s *Session) abandon() {
	if s.state == statement.InTransaction {
		s.state = statement.FailedTransaction
	}
	if s.tx == nil {
		return
	}
	open := s.tx.open
	s.tx = nil
	if open != nil {
		open.Abandon()
	}
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() { s.abandon() }

// Expire ends a transaction that was idle for too long. The consumer's next statement is answered
// with Expired.
func (s *Session) Expire() {
	if s.tx != nil {
		s.engine.cfg.Log.Info("transaction-idle", zap.String("route", s.tx.route.Name), zap.Bool("wrote", s.tx.wrote))
	}
	s.abandon()
}

// Expired returns the answer to the first statement after Expire.
func (s *Session) Expired() *statement.Answer {
	return statement.Failure(statement.Aborted, "the transaction was idle for too long and is rolled back", s.state)
}

// runInTransaction serves a read or a write of the open transaction.
func (s *Session) runInTransaction(ctx context.Context, w *work) *statement.Answer {
	tx := s.tx
	w.route, w.caller = tx.route, tx.caller
	if !s.mayContinue(tx) {
		return s.failStatement(unauthorized(s.state))
	}
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(s.engine.cfg.Clock.Now()))
	defer cancel()
	if tx.open == nil {
		if failure := s.chargeAndOpen(ctx, tx, w); failure != nil {
			s.logLateOrFailed(w, failure)
			return s.failStatement(failure)
		}
	}
	a := s.send(ctx, tx, w)
	s.logLateOrFailed(w, a)
	tx.spent += s.engine.cfg.Clock.Now().Sub(w.arrived)
	return a
}

// send runs a statement on the transaction's connection.
func (s *Session) send(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	tx.wrote = tx.wrote || w.writes
	for {
		w.tries++
		begun := s.engine.cfg.Clock.Now()
		limit := s.engine.cfg.Placing.TransactionTimeout(w.bounds(ctx, tx.spent+begun.Sub(w.arrived)))
		r, err := tx.open.Run(ctx, tx.acquireOptions(w), s.job(w, timeline.Position{}, false, limit))
		s.recordPhases(w, begun, r, err)
		if err != nil {
			var lost *dispatch.LostError
			if errors.As(err, &lost) {
				s.recordLost(w, tx.open.Target(), begun, limit, lost)
			}
			return s.failTransaction(tx, w, err)
		}
		if r.Answer.Code == statement.Busy && r.Answer.State == statement.InTransaction && s.wait(ctx, w) {
			continue
		}
		return s.finishStatement(tx, w, r)
	}
}

// finishStatement processes the target's answer to a statement of the transaction.
func (s *Session) finishStatement(tx *transaction, w *work, r *dispatch.Result) *statement.Answer {
	a := r.Answer
	if a.State != statement.InTransaction || a.Code == statement.Busy {
		s.abandon()
		a.State = s.state
		return a
	}
	if a.Code != statement.OK {
		return a
	}
	s.engine.cfg.Placing.Served(tx.open.Target(), w.class(), s.engine.cfg.Clock.Now(), r.Took)
	if !w.writes && tx.proof != nil {
		if !s.proven(tx.group, w, tx.proof) {
			return s.failStatement(refuse(statement.Aborted, s.retryAfter(w), "the primary may have been replaced", s.state))
		}
		tx.proof = nil
	}
	return a
}

// failTransaction ends a transaction whose connection failed before its commit was sent. The
// connection is closed, so that the target rolls back. Nothing was committed, and the consumer may
// repeat the whole transaction.
func (s *Session) failTransaction(tx *transaction, w *work, err error) *statement.Answer {
	id := s.discardConn(tx, err)
	s.engine.cfg.Log.Info("transaction-broken", zap.String("request", w.st.ID), zap.String("target", string(id)),
		zap.Bool("timeout", wait.IsTimeout(err)), zap.Error(err))
	return s.failStatement(refuse(statement.Aborted, 0, "the target did not answer; the transaction is rolled back", s.state))
}

// commit commits the open transaction.
func (s *Session) commit(ctx context.Context, st *statement.Statement) *statement.Answer {
	if s.state != statement.InTransaction {
		return statement.Failure(statement.Malformed, "no transaction is open", s.state)
	}
	tx := s.tx
	w := &work{st: st, route: tx.route, caller: tx.caller, arrived: s.engine.cfg.Clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(w.arrived))
	defer cancel()
	if !s.mayContinue(tx) {
		s.abandon()
		s.state = statement.Idle
		return statement.Failure(statement.Aborted, "the caller's key was taken away; the transaction is rolled back", statement.Idle)
	}
	if tx.open == nil {
		if failure := s.chargeAndOpen(ctx, tx, w); failure != nil {
			s.abandon()
			s.state, failure.State = statement.Idle, statement.Idle
			return failure
		}
	}
	a := s.sendCommit(ctx, tx, w)
	s.logLateOrFailed(w, a)
	s.countWorkspace(w, a)
	s.engine.cfg.Metrics.done(tx.route, &work{arrived: tx.began, writes: tx.wrote, route: tx.route}, a, s.engine.cfg.Clock.Now())
	return a
}

// discardConn discards a transaction's failed connection and returns its target.
func (s *Session) discardConn(tx *transaction, err error) target.ID {
	id := tx.open.Target()
	tx.open.Discard()
	tx.open = nil
	var lost *dispatch.LostError
	if errors.As(err, &lost) {
		s.engine.recordFailure(id, lost)
	}
	return id
}

func (s *Session) sendCommit(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	if tx.wrote && !s.provable(ctx, tx.group, w, tx.leader, w.arrived) {
		s.abandon()
		s.state = statement.Idle
		return refuse(statement.Aborted, s.retryAfter(w), "no proof that the primary leads; the transaction is rolled back", statement.Idle)
	}
	for {
		w.tries++
		begun := s.engine.cfg.Clock.Now()
		r, err := tx.open.Run(ctx, tx.acquireOptions(w), s.job(w, timeline.Position{}, tx.wrote, writeTimeout))
		s.recordPhases(w, begun, r, err)
		if err != nil {
			return s.commitLost(ctx, tx, w, err)
		}
		a := r.Answer
		if a.Code == statement.Busy && a.State == statement.InTransaction && s.wait(ctx, w) {
			continue
		}
		if a.Code == statement.OK && tx.wrote && !s.stillLeads(ctx, tx.group, tx.leader) {
			id := tx.open.Target()
			s.abandon()
			s.state = statement.Idle
			return s.inDoubt(ctx, w, id)
		}
		return s.finishCommit(tx, a)
	}
}

// finishCommit processes the target's answer to a commit.
func (s *Session) finishCommit(tx *transaction, a *statement.Answer) *statement.Answer {
	if a.State != statement.Idle {
		s.abandon()
		s.state, a.State = statement.Idle, statement.Idle
		return a
	}
	if a.Code == statement.OK && tx.wrote {
		s.recordServed(tx.group, groups.Write)
		s.recordOwnCommit(tx.route.Service, a.Position)
	}
	tx.open.Release()
	s.tx, s.state = nil, statement.Idle
	return a
}

// commitLost returns the answer to a commit that the target did not answer. Only a transaction that
// wrote and whose commit was sent is in doubt: one that wrote nothing has nothing to commit, and
// one whose commit was not sent is rolled back, because its connection is closed.
func (s *Session) commitLost(ctx context.Context, tx *transaction, w *work, err error) *statement.Answer {
	id := s.discardConn(tx, err)
	var lost *dispatch.LostError
	wrote, sent := tx.wrote, errors.As(err, &lost)
	s.tx, s.state = nil, statement.Idle
	switch {
	case wrote && sent:
		return s.inDoubt(ctx, w, id)
	case sent:
		return refuse(statement.Aborted, 0, "the answer was lost; the transaction wrote nothing", statement.Idle)
	default:
		return refuse(statement.Aborted, s.retryAfter(w), "the commit could not be sent; the transaction is rolled back", statement.Idle)
	}
}

// chargeAndOpen opens the transaction at a target if the caller's workspace is within its limit. A
// non-nil answer is a refusal: nothing has run.
func (s *Session) chargeAndOpen(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	if refused := s.charge(ctx, w); refused != nil {
		return refused
	}
	tx.group.Repeats.Request(w.arrived)
	w.hash = s.callerHash(tx.group, w, true)
	failure := s.open(ctx, tx, w)
	if failure != nil {
		s.uncharge(w)
	}
	return failure
}

// open opens the transaction at a target. A non-nil answer is a refusal: nothing has run.
func (s *Session) open(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	tried := make(map[target.ID]bool, 3)
	for {
		after, ok := timeline.Position{}, true
		if tx.route.Freshness != catalog.Exact {
			after, ok = s.floor(ctx, tx.group, w)
		}
		id, err := s.placeTransaction(ctx, tx, w, tried, ok)
		if err != nil {
			return s.giveUpOpening(w, err.Error())
		}
		if tx.route.Freshness == catalog.Exact {
			after = tx.group.Freshness.LastPosition(tx.leader.Term, id)
		}
		if s.openAt(ctx, tx, w, id, after) {
			return nil
		}
		if w.saturated >= triesAtOnce || (w.saturated > 0 && id == tx.leader.Primary) {
			return s.giveUpOpening(w, "no target has time")
		}
		tried[id] = true
		if s.outageTimedOut(tx.group, w) || !s.pause(ctx, w) {
			return s.giveUpOpening(w, "no target took the transaction in time")
		}
	}
}

func (s *Session) giveUpOpening(w *work, why string) *statement.Answer {
	a := s.giveUp(w, statement.Busy, why)
	a.State = s.state
	return a
}

// placeTransaction chooses the target. A transaction that may write must go to the primary; exact
// reads, and reads without evidence of their age, go there too.
func (s *Session) placeTransaction(ctx context.Context, tx *transaction, w *work, tried map[target.ID]bool, proven bool) (target.ID, error) {
	tx.unproven = false
	if tx.readOnly && tx.route.Freshness != catalog.Exact && proven {
		tx.leader = tx.group.Leadership.Current()
		if id, _ := s.place(tx.group, w, tried); id != "" {
			return id, nil
		}
	}
	if !s.admits(tx.group, w, tx.need()) {
		return "", errors.New(breakerOpen + ": " + w.cause.String())
	}
	leader, err := s.primary(ctx, tx.group, w)
	if err != nil {
		return "", err
	}
	tx.leader = leader
	tx.unproven = tx.route.Freshness == catalog.Exact || !proven
	return leader.Primary, nil
}

// openAt opens the transaction at one target; false if that failed.
func (s *Session) openAt(ctx context.Context, tx *transaction, w *work, id target.ID, after timeline.Position) bool {
	w.tries++
	claim := dispatch.Claim{Options: tx.acquireOptions(w), QueueTimeout: timeLeft(ctx)}
	opening := &dispatch.Opening{Service: tx.route.Service, Values: s.values, Begin: lane.Begin{ReadOnly: tx.readOnly, After: after}}
	begun := s.engine.cfg.Clock.Now()
	open, a, err := s.engine.cfg.Runner.Open(ctx, id, claim, opening)
	w.recordPhase(phaseQueue, begun, s.engine.cfg.Clock.Now())
	switch {
	case err != nil:
		result := s.classifyError(id, w, err)
		w.recordUnanswered(result, err, s.engine.cfg.Clock.Now().Sub(begun))
		if id == tx.leader.Primary && s.refusesEarly(tx.group) {
			s.recordOutage(tx.group, w, result)
		}
		return false
	case open != nil:
		tx.open = open
		if tx.unproven {
			tx.proof = s.prove(ctx, tx.group, tx.leader, tx.began)
		}
		return true
	case a.Code == statement.Lagging:
		s.engine.cfg.Placing.Lagged(id, s.engine.cfg.Clock.Now())
	}
	return false
}
