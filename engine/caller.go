package engine

import (
	"context"
	"strconv"
	"time"

	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/statement"
)

// lookUp returns the session's route and whose its requests are, by the configuration
// in force. A non-nil answer says why there is none.
func (s *Session) lookUp() (*catalog.Route, callers.Caller, *statement.Answer) {
	c := s.engine.cfg.Catalog.Load()
	route := c.Route(s.database)
	if route == nil {
		return nil, callers.Caller{}, statement.Failure(statement.NoDatabase, "no route has this database", statement.Idle)
	}
	caller, ok := callers.Identify(c.Config, route, s.key)
	if !ok {
		return nil, callers.Caller{}, unauthorized(statement.Idle)
	}
	s.workspace = caller.Name()
	return route, caller, nil
}

// keeps reports whether a transaction's caller may go on with it.
func (s *Session) keeps(tx *transaction) bool {
	return callers.Keeps(s.engine.cfg.Catalog.Load().Config, tx.route, s.key, tx.caller)
}

// unnoticed is a wait for the word of a limit that explains nothing.
const unnoticed = time.Millisecond

// charge lets an operation through if the caller's workspace is within its limit; a
// non-nil answer refuses it.
func (s *Session) charge(ctx context.Context, w *work) *statement.Answer {
	workspace := w.caller.Workspace
	if workspace == nil {
		return nil
	}
	begun := s.engine.cfg.Clock.Now()
	comeBack, ok := s.engine.cfg.Limiter.Take(ctx, workspace)
	if took := s.engine.cfg.Clock.Now().Sub(begun); !ok || took > unnoticed {
		w.ledger[phaseLimit] += max(took, time.Nanosecond)
	}
	if ok {
		return nil
	}
	s.engine.cfg.Metrics.limited()
	text := "workspace " + workspace.Name + " is at its limit of " + strconv.FormatFloat(workspace.Rate, 'g', -1, 64) + " operations a second"
	return refuse(statement.Busy, max(comeBack, minComeBack), text, s.state)
}

// accountFor counts an operation under its workspace.
func (s *Session) accountFor(w *work, a *statement.Answer) {
	s.engine.cfg.Metrics.ofWorkspace(s.engine.cfg.Catalog.Load().Config, w.caller.Name(), a.Code)
}

// uncharge gives back what an operation was charged that has not run.
func (s *Session) uncharge(w *work) {
	if w.caller.Workspace != nil {
		s.engine.cfg.Limiter.Return(w.caller.Workspace)
	}
}

func unauthorized(state statement.State) *statement.Answer {
	return statement.Failure(statement.Unauthorized, "nobody holds this key", state)
}
