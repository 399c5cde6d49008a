// Package engine is the session engine: it serves the statements of consumers'
// sessions from the targets of their service, and knows no wire format.
//
// A session's values and prepared names are kept here and given to whichever
// connection serves it next, so that a connection is held for one statement or
// one transaction only. A transaction is opened at a target with its first
// statement, and the target is chosen then.
//
// What is answered:
//
//   - a success of a read, write or commit is a target's own, whole and with
//     its signature;
//   - a statement that was surely not run is sent elsewhere while its time
//     allows, and then refused as not run;
//   - a read whose answer is lost is repeated elsewhere: it has no effect;
//   - a lost answer to a write or to the commit of a transaction that wrote is
//     answered as in doubt at once: only the consumer knows if it may repeat it;
//   - a transaction that ends before its commit was sent is answered as
//     aborted: its connection is closed, and the target rolls back.
package engine

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Config of an Engine.
type Config struct {
	Catalog *catalog.Holder
	Groups  *groups.Registry
	Pool    *lane.Pool
	Placing *placing.Board
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *Metrics
	// Zone is this VM's availability zone.
	Zone string
}

// Engine opens sessions. It is safe for concurrent use.
type Engine struct {
	cfg Config
}

// New returns an Engine.
func New(cfg Config) *Engine { return &Engine{cfg: cfg} }

// Open starts a session for a database, unless no route has its name.
func (e *Engine) Open(database string) (*Session, bool) {
	if e.cfg.Catalog.Load().Route(database) == nil {
		return nil, false
	}
	return &Session{engine: e, database: database}, true
}

const (
	// minTimeout bounds a statement whose route sets no time-out.
	minTimeout = 2 * time.Second
	// settleTimeout bounds what ends a transaction that the consumer has left.
	settleTimeout = time.Second
)

// Session is one consumer's. It is for one goroutine.
type Session struct {
	engine   *Engine
	database string
	values   map[string]string
	prepared map[string]*lane.Prepared
	// mark is the end of the log after this session's last own commit, in the
	// service that markOf names.
	mark   timeline.Position
	markOf string
	state  statement.State
	tx     *transaction
}

// State is where the session stands.
func (s *Session) State() statement.State { return s.state }

// IdleTimeout is how long the session may wait for its next statement; zero is
// for ever.
func (s *Session) IdleTimeout() time.Duration {
	if s.state != statement.InTransaction {
		return 0
	}
	if c := s.engine.cfg.Catalog.Load().Config; c != nil {
		return c.TransactionIdle
	}
	return 0
}

// Handle serves one statement and returns its answer, which is never nil. Each
// failure is logged under the request's id.
func (s *Session) Handle(ctx context.Context, st *statement.Statement) *statement.Answer {
	arrived := s.engine.cfg.Clock.Now()
	a := s.handle(ctx, st)
	if a.Code != statement.OK {
		s.engine.cfg.Log.Info("statement-failed", zap.String("request", st.ID), zap.Stringer("verb", st.Verb),
			zap.String("database", s.database), zap.Stringer("code", a.Code), zap.String("text", a.Text),
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
		return s.commit(ctx, st)
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

// handleFailed serves a session whose transaction has failed: only its end is
// taken, and it keeps nothing.
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

// run serves a read or a write, within a transaction or alone.
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
		return s.runInTransaction(ctx, w)
	}
	route := s.engine.cfg.Catalog.Load().Route(s.database)
	if route == nil {
		return statement.Failure(statement.NoDatabase, "no route has this database", statement.Idle)
	}
	w.route = route
	a := s.runAlone(ctx, w)
	s.engine.cfg.Metrics.done(route, w, a, s.engine.cfg.Clock.Now())
	return a
}

// failStatement answers a statement that failed here: within a transaction the
// transaction fails with it.
func (s *Session) failStatement(a *statement.Answer) *statement.Answer {
	if s.state == statement.InTransaction {
		s.abandon()
		a.State = s.state
	}
	return a
}

// work is one statement on its way.
type work struct {
	st       *statement.Statement
	prepared *lane.Prepared
	writes   bool
	route    *catalog.Route
	arrived  clock.Time
	tries    int
}

// deadline is when the statement's time is over.
func deadline(route *catalog.Route, arrived clock.Time) clock.Time {
	if route.StatementTimeout <= 0 {
		return arrived.Add(minTimeout)
	}
	return arrived.Add(route.StatementTimeout)
}

// order says how urgent a statement is to the queue for connections.
func order(route *catalog.Route, arrived clock.Time) lane.Order {
	return lane.Order{Due: arrived.Add(route.Objective), Priority: route.Priority}
}

// floor returns the position that a read's log must hold; false if there is no
// evidence for it, also not after asking.
func (s *Session) floor(ctx context.Context, g *groups.Group, route *catalog.Route) (timeline.Position, bool) {
	p, ok := g.Freshness.Floor(s.engine.cfg.Clock.Now(), route.MaxAge)
	if !ok {
		g.Refresh(ctx)
		p, ok = g.Freshness.Floor(s.engine.cfg.Clock.Now(), route.MaxAge)
	}
	if ok && route.Freshness == catalog.Own && s.markOf == route.Service && p.Less(s.mark) {
		p = s.mark
	}
	return p, ok
}

// remember notes where the log stood after the session's own commit.
func (s *Session) remember(service string, p timeline.Position) {
	if p.IsZero() {
		return
	}
	if s.markOf != service || s.mark.Less(p) {
		s.mark, s.markOf = p, service
	}
}

// refuse is the answer to a statement that has not run, with a time to come
// back.
func refuse(code statement.Code, after time.Duration, text string, state statement.State) *statement.Answer {
	if after > 0 {
		text = "retry-after-ms=" + strconv.FormatInt(after.Milliseconds(), 10) + " " + text
	}
	return statement.Failure(code, text, state)
}

// near reports whether a target is in this VM's availability zone.
func (e *Engine) near(t *catalog.Target) bool { return t.Zone == e.cfg.Zone }

// failed records that a target did not answer.
func (e *Engine) failed(g *groups.Group, id target.ID, refused bool) {
	now := e.cfg.Clock.Now()
	e.cfg.Placing.Failed(id, now)
	g.Health.Failed(id, now, refused)
}
