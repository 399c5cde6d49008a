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

// transaction is a session's open one.
type transaction struct {
	route    *catalog.Route
	caller   callers.Caller
	group    *groups.Group
	readOnly bool
	// began is when its first byte arrived: its reads must see what had been
	// acknowledged by then.
	began clock.Time
	// open is nil until the first statement.
	open   dispatch.Transaction
	belief leadership.Belief
	// spent is how long its statements have taken so far. Pauses between them are
	// the consumer's own and do not count against the objective.
	spent time.Duration
	// wrote is set once a write was sent.
	wrote bool
	// unproven is set while it has to be proven that the primary leads.
	unproven bool
	// proof delivers whether the primary led after the transaction began. It
	// is nil for routes that need no proof, and once it was taken.
	proof <-chan bool
}

// order says how urgent a statement of the transaction is: the objective is for
// all of them together.
func (tx *transaction) order(w *work) lane.Order {
	return order(tx.route, tx.caller.Name(), w.arrived.Add(-tx.spent))
}

// begin opens a transaction here; the target hears of it with the first
// statement. The route is taken now and holds until the transaction ends.
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

// rollback ends a transaction. The consumer need not wait for the target: the
// connection is given back once the target has answered.
func (s *Session) rollback() *statement.Answer {
	s.abandon()
	s.state = statement.Idle
	return statement.Success(s.state)
}

// abandon leaves the open transaction, which keeps nothing.
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

// Expire ends a transaction that was idle for too long. The consumer learns it
// with its next statement.
func (s *Session) Expire() {
	if s.tx != nil {
		s.engine.cfg.Log.Info("transaction-idle", zap.String("route", s.tx.route.Name), zap.Bool("wrote", s.tx.wrote))
	}
	s.abandon()
}

// Expired is the answer to the first statement after Expire.
func (s *Session) Expired() *statement.Answer {
	return statement.Failure(statement.Aborted, "the transaction was idle for too long and is rolled back", s.state)
}

// runInTransaction serves a read or a write of the open transaction.
func (s *Session) runInTransaction(ctx context.Context, w *work) *statement.Answer {
	tx := s.tx
	w.route, w.caller = tx.route, tx.caller
	if !s.keeps(tx) {
		return s.failStatement(unauthorized(s.state))
	}
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(s.engine.cfg.Clock.Now()))
	defer cancel()
	if tx.open == nil {
		if failure := s.openCharged(ctx, tx, w); failure != nil {
			s.explain(w, failure)
			return s.failStatement(failure)
		}
	}
	a := s.send(ctx, tx, w)
	s.explain(w, a)
	tx.spent += s.engine.cfg.Clock.Now().Sub(w.arrived)
	return a
}

// send runs a statement on the transaction's connection.
func (s *Session) send(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	tx.wrote = tx.wrote || w.writes
	for {
		w.tries++
		begun := s.engine.cfg.Clock.Now()
		r, err := tx.open.Run(ctx, tx.order(w), s.job(w, timeline.Position{}, false, s.patience(tx.open.Target())))
		s.account(w, begun, r, err)
		if err != nil {
			return s.breakOff(tx, w, err)
		}
		if r.Answer.Code == statement.Busy && r.Answer.State == statement.InTransaction && s.pause(ctx, w) {
			continue
		}
		return s.conclude(tx, w, r)
	}
}

// conclude takes over the answer of a transaction's statement.
func (s *Session) conclude(tx *transaction, w *work, r *dispatch.Result) *statement.Answer {
	a := r.Answer
	if a.State != statement.InTransaction || a.Code == statement.Busy {
		s.abandon()
		a.State = s.state
		return a
	}
	if a.Code != statement.OK {
		return a
	}
	s.engine.cfg.Placing.Served(tx.open.Target(), s.engine.cfg.Clock.Now(), r.Took)
	if !w.writes && tx.proof != nil {
		if !s.proven(w, tx.proof) {
			s.unserved(tx.group)
			return s.failStatement(refuse(statement.Aborted, comeBack, "the primary may have been replaced", s.state))
		}
		tx.proof = nil
	}
	return a
}

// breakOff ends a transaction whose connection failed before its commit was
// sent. The connection is closed, so that the target rolls back; nothing was
// kept, and the consumer may repeat all of it.
func (s *Session) breakOff(tx *transaction, w *work, err error) *statement.Answer {
	id := s.drop(tx, err)
	s.engine.cfg.Log.Info("transaction-broken", zap.String("request", w.st.ID), zap.String("target", string(id)),
		zap.Bool("timeout", wait.IsTimeout(err)), zap.Error(err))
	return s.failStatement(refuse(statement.Aborted, 0, "the target did not answer; the transaction is rolled back", s.state))
}

// commit ends a transaction and keeps its writes.
func (s *Session) commit(ctx context.Context, st *statement.Statement) *statement.Answer {
	if s.state != statement.InTransaction {
		return statement.Failure(statement.Malformed, "no transaction is open", s.state)
	}
	tx := s.tx
	w := &work{st: st, route: tx.route, caller: tx.caller, arrived: s.engine.cfg.Clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline(w.route, w.arrived).Sub(w.arrived))
	defer cancel()
	if !s.keeps(tx) {
		s.abandon()
		s.state = statement.Idle
		return statement.Failure(statement.Aborted, "the caller's key was taken away; the transaction is rolled back", statement.Idle)
	}
	if tx.open == nil {
		if failure := s.openCharged(ctx, tx, w); failure != nil {
			s.abandon()
			s.state, failure.State = statement.Idle, statement.Idle
			return failure
		}
	}
	a := s.sendCommit(ctx, tx, w)
	s.explain(w, a)
	s.accountFor(w, a)
	s.engine.cfg.Metrics.done(tx.route, &work{arrived: tx.began, writes: tx.wrote, route: tx.route}, a, s.engine.cfg.Clock.Now())
	return a
}

// drop leaves a transaction whose connection has failed, and returns where it
// was open.
func (s *Session) drop(tx *transaction, err error) target.ID {
	id := tx.open.Target()
	tx.open.Discard()
	tx.open = nil
	var lost *dispatch.LostError
	if errors.As(err, &lost) {
		s.engine.blame(id, lost)
	}
	return id
}

func (s *Session) sendCommit(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	for {
		w.tries++
		begun := s.engine.cfg.Clock.Now()
		r, err := tx.open.Run(ctx, tx.order(w), s.job(w, timeline.Position{}, tx.wrote, writePatience))
		s.account(w, begun, r, err)
		if err != nil {
			return s.commitLost(ctx, tx, w, err)
		}
		a := r.Answer
		if a.Code == statement.Busy && a.State == statement.InTransaction && s.pause(ctx, w) {
			continue
		}
		if a.Code == statement.OK && tx.wrote && !s.stillLeads(ctx, tx.group, tx.belief) {
			id := tx.open.Target()
			s.abandon()
			s.state = statement.Idle
			return s.inDoubt(ctx, w, id)
		}
		return s.concludeCommit(tx, a)
	}
}

// concludeCommit takes over the target's answer to a commit.
func (s *Session) concludeCommit(tx *transaction, a *statement.Answer) *statement.Answer {
	if a.State != statement.Idle {
		s.abandon()
		s.state, a.State = statement.Idle, statement.Idle
		return a
	}
	if a.Code == statement.OK && tx.wrote {
		tx.group.Breaker.Served()
		s.remember(tx.route.Service, a.Position)
	}
	tx.open.Release()
	s.tx, s.state = nil, statement.Idle
	return a
}

// commitLost answers a commit that brought no answer. A transaction that wrote
// nothing keeps nothing either way; nor does one whose commit was not sent, for
// its connection is closed.
func (s *Session) commitLost(ctx context.Context, tx *transaction, w *work, err error) *statement.Answer {
	id := s.drop(tx, err)
	var lost *dispatch.LostError
	wrote, sent := tx.wrote, errors.As(err, &lost)
	s.tx, s.state = nil, statement.Idle
	switch {
	case wrote && sent:
		return s.inDoubt(ctx, w, id)
	case sent:
		return refuse(statement.Aborted, 0, "the answer was lost; the transaction wrote nothing", statement.Idle)
	default:
		return refuse(statement.Aborted, comeBack, "the commit could not be sent; the transaction is rolled back", statement.Idle)
	}
}

// openCharged starts the transaction at a target if its caller's workspace is within its
// limit. A non-nil answer says why it could not: nothing has run.
func (s *Session) openCharged(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	if refused := s.charge(ctx, w); refused != nil {
		return refused
	}
	failure := s.open(ctx, tx, w)
	if failure != nil {
		s.uncharge(w)
	}
	return failure
}

// open starts the transaction at a target. A non-nil answer says why it could
// not: nothing has run.
func (s *Session) open(ctx context.Context, tx *transaction, w *work) *statement.Answer {
	tried := make(map[target.ID]bool, 3)
	for {
		after, ok := timeline.Position{}, true
		if tx.route.Freshness != catalog.Exact {
			after, ok = s.floor(ctx, tx.group, tx.route)
		}
		id, err := s.placeTransaction(ctx, tx, w, tried, ok)
		if err != nil {
			return s.giveUpOpening(w, err.Error())
		}
		if tx.route.Freshness == catalog.Exact {
			after = tx.group.Freshness.Stood(tx.belief.Term, id)
		}
		if s.openAt(ctx, tx, w, id, after) {
			return nil
		}
		if w.full >= triesAtOnce || (w.full > 0 && id == tx.belief.Primary) {
			return s.giveUpOpening(w, "no target has time")
		}
		tried[id] = true
		if !s.pause(ctx, w) {
			return s.giveUpOpening(w, "no target took the transaction in time")
		}
	}
}

func (s *Session) giveUpOpening(w *work, why string) *statement.Answer {
	a := s.giveUp(w, statement.Busy, why)
	a.State = s.state
	return a
}

// placeTransaction chooses the target. Only the primary takes a transaction
// that may write; exact reads go there too, and what has no evidence of age.
func (s *Session) placeTransaction(ctx context.Context, tx *transaction, w *work, tried map[target.ID]bool, proven bool) (target.ID, error) {
	tx.unproven = false
	if tx.readOnly && tx.route.Freshness != catalog.Exact && proven {
		tx.belief = tx.group.Leadership.Believed()
		if id, _ := s.place(tx.group, tried); id != "" {
			return id, nil
		}
	}
	if !tx.group.Breaker.Admits(s.engine.cfg.Clock.Now()) {
		return "", errOpen
	}
	b, err := s.primary(ctx, tx.group, w)
	if err != nil {
		s.unserved(tx.group)
		return "", err
	}
	tx.belief = b
	tx.unproven = tx.route.Freshness == catalog.Exact || !proven
	return b.Primary, nil
}

// openAt starts the transaction at one target.
func (s *Session) openAt(ctx context.Context, tx *transaction, w *work, id target.ID, after timeline.Position) bool {
	w.tries++
	claim := dispatch.Claim{Order: tx.order(w), Queue: left(ctx)}
	opening := &dispatch.Opening{Service: tx.route.Service, Values: s.values, Begin: lane.Begin{ReadOnly: tx.readOnly, After: after}}
	begun := s.engine.cfg.Clock.Now()
	open, a, err := s.engine.cfg.Runner.Open(ctx, id, claim, opening)
	w.spend(phaseQueue, begun, s.engine.cfg.Clock.Now())
	switch {
	case err != nil:
		s.failed(id, w, err)
		return false
	case open != nil:
		tx.open = open
		if tx.unproven {
			tx.proof = s.prove(ctx, tx.group, tx.belief, tx.began)
		}
		return true
	case a.Code == statement.Lagging:
		s.engine.cfg.Placing.Lagged(id, s.engine.cfg.Clock.Now())
	}
	return false
}
