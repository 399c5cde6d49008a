package engine

import (
	"context"
	"strconv"
	"time"

	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/statement"
)

// lookUp returns the session's route and caller in the configuration in force. A non-nil answer
// refuses the request.
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

// mayContinue reports whether a transaction's caller may continue it.
func (s *Session) mayContinue(tx *transaction) bool {
	return callers.StillAuthorized(s.engine.cfg.Catalog.Load().Config, tx.route, s.key, tx.caller)
}

// limiterWaitThreshold is the longest wait for the limiter that is left out of the phase times.
const limiterWaitThreshold = time.Millisecond

// charge takes one operation from the limit of the caller's workspace. A non-nil answer refuses the
// operation.
func (s *Session) charge(ctx context.Context, w *work) *statement.Answer {
	workspace := w.caller.Workspace
	if workspace == nil {
		return nil
	}
	begun := s.engine.cfg.Clock.Now()
	retryAfter, ok := s.engine.cfg.Limiter.Take(ctx, workspace, w.route.Priority)
	if took := s.engine.cfg.Clock.Now().Sub(begun); !ok || took > limiterWaitThreshold {
		w.phaseTimes[phaseLimit] += max(took, time.Nanosecond)
	}
	if ok {
		return nil
	}
	s.engine.cfg.Metrics.countLimited()
	text := "workspace " + workspace.Name + " is at its limit of " + strconv.FormatFloat(workspace.Rate, 'g', -1, 64) + " operations a second"
	return refuse(statement.Busy, max(retryAfter, minRetryAfter), text, s.state)
}

// countWorkspace counts an operation under its workspace.
func (s *Session) countWorkspace(w *work, a *statement.Answer) {
	s.engine.cfg.Metrics.countWorkspace(s.engine.cfg.Catalog.Load().Config, w.caller.Name(), a.Code)
}

// uncharge returns the charge of an operation that has not run.
func (s *Session) uncharge(w *work) {
	if w.caller.Workspace != nil {
		s.engine.cfg.Limiter.Return(w.caller.Workspace)
	}
}

func unauthorized(state statement.State) *statement.Answer {
	return statement.Failure(statement.Unauthorized, "nobody holds this key", state)
}
