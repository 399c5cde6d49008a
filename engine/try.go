package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// tryResult is the result of one try.
type tryResult uint8

const (
	// done: the answer is final.
	done tryResult = iota
	// retryable: the statement may be sent again, because it has not run or is a read.
	retryable
	// lostAnswer: the statement was sent and no complete answer was received.
	lostAnswer
	// unsent: no connection was available, or the session's state could not be set on it.
	unsent
	// saturated: the target has too many requests to serve this one in time.
	saturated
)

// tryTimeout returns how long a statement that may be repeated waits for a target's answer.
func (s *Session) tryTimeout(ctx context.Context, w *work, id target.ID) time.Duration {
	now := s.engine.cfg.Clock.Now()
	return s.engine.cfg.Placing.TryTimeout(id, now, w.bounds(ctx, now.Sub(w.arrived)))
}

// bounds returns what the caller of a statement allows for it.
func (w *work) bounds(ctx context.Context, elapsed time.Duration) placing.Bounds {
	return placing.Bounds{Class: w.class(), Objective: w.route.Objective, Elapsed: elapsed, Left: timeLeft(ctx)}
}

// recordLost records a statement that was given up after its limit, at a target that this VM or a
// gateway reached.
func (s *Session) recordLost(w *work, id target.ID, begun clock.Time, limit time.Duration, lost *dispatch.LostError) {
	e := s.engine
	now := e.cfg.Clock.Now()
	if lost.Gateway != "" || now.Sub(begun) < limit {
		return
	}
	e.cfg.Placing.TimedOut(w.class(), now, limit)
	e.cfg.Decisions.Count(decisions.Placing, string(id), "timed-out", 1)
}

// limits holds the time limits of one try.
type limits struct {
	// queue is how long to wait for a connection.
	queue time.Duration
	// answer is how long to wait for the answer.
	answer time.Duration
}

// try sends a statement to one target and returns its answer.
func (s *Session) try(ctx context.Context, id target.ID, w *work, after timeline.Position, bounds limits) (*statement.Answer, tryResult) {
	w.tries++
	claim := dispatch.Claim{Options: w.acquireOptions(w.arrived), QueueTimeout: bounds.queue}
	begun := s.engine.cfg.Clock.Now()
	r, err := s.engine.cfg.Runner.Run(ctx, id, claim, s.job(w, after, w.writes, bounds.answer))
	s.recordPhases(w, begun, r, err)
	if err != nil && hasLeft(ctx) {
		return nil, w.canceled(err)
	}
	if err != nil {
		var lost *dispatch.LostError
		if errors.As(err, &lost) {
			s.recordLost(w, id, begun, bounds.answer, lost)
		}
		result := s.classifyError(id, w, err)
		w.recordUnanswered(result, err, s.engine.cfg.Clock.Now().Sub(begun))
		return nil, result
	}
	return r.Answer, s.classify(id, w, r)
}

// canceled returns the result of a try that was canceled, which shows nothing of its target.
func (w *work) canceled(err error) tryResult {
	var lost *dispatch.LostError
	if errors.As(err, &lost) {
		w.ran = true
	}
	w.saturated, w.costly, w.timedOutInQueue = 0, false, false
	return unsent
}

// recordUnanswered adds the time of a try without an answer to the outage. The wait in a queue is
// none of it.
func (w *work) recordUnanswered(result tryResult, err error, took time.Duration) {
	var u *lane.UnavailableError
	if result == saturated || (errors.As(err, &u) && u.Expired) {
		return
	}
	w.outage += took
}

// recordPhases adds the time of one try to the phases of the statement.
func (s *Session) recordPhases(w *work, begun clock.Time, r *dispatch.Result, err error) {
	now := s.engine.cfg.Clock.Now()
	var lost *dispatch.LostError
	switch {
	case err == nil:
		w.phaseTimes[phaseTarget] += r.Took
		w.phaseTimes[phaseQueue] += now.Sub(begun) - r.Took
	case errors.As(err, &lost):
		w.recordPhase(phaseLost, begun, now)
	default:
		w.recordPhase(phaseQueue, begun, now)
	}
}

// job returns the statement together with the session's state.
func (s *Session) job(w *work, after timeline.Position, commits bool, answer time.Duration) *dispatch.Job {
	return &dispatch.Job{
		Service: w.route.Service, Statement: w.st, Prepared: w.prepared, Values: s.values,
		After: after, Commits: commits, AnswerTimeout: answer,
	}
}

// classifyError returns the result of a try that failed without an answer, and records the failure.
func (s *Session) classifyError(id target.ID, w *work, err error) tryResult {
	e := s.engine
	w.timedOutInQueue = false
	var lost *dispatch.LostError
	if !errors.As(err, &lost) {
		var u *lane.UnavailableError
		w.timedOutInQueue = errors.As(err, &u) && u.Busy
		if u != nil && u.RetryAfter > 0 {
			w.saturated, w.retryAfter, w.refusal = w.saturated+1, u.RetryAfter, u.Cause
			w.cause, w.costly = groups.NoCause, true
			return saturated
		}
		w.saturated, w.costly = 0, false
		if dispatch.Unresponsive(err) {
			e.cfg.Placing.Failed(id, e.cfg.Clock.Now())
		}
		return unsent
	}
	w.saturated, w.ran, w.costly = 0, true, true
	e.recordFailure(id, lost)
	e.cfg.Log.Debug("answer-lost", zap.String("request", w.st.ID), zap.String("target", string(id)), zap.Error(err))
	return lostAnswer
}

// classify returns the result of a try that was answered, and records the target's latency or lag.
func (s *Session) classify(id target.ID, w *work, r *dispatch.Result) tryResult {
	e := s.engine
	a, now := r.Answer, e.cfg.Clock.Now()
	w.ran = w.ran || !a.Code.NotRun()
	w.costly = a.Code != statement.Lagging
	switch {
	case a.Code == statement.OK:
		e.cfg.Placing.Served(id, w.class(), now, r.Took)
		return done
	case a.Code == statement.Lagging:
		e.cfg.Placing.Lagged(id, now)
		return retryable
	case a.Code.NotRun():
		return retryable
	case a.Code == statement.Failed && !w.writes && w.tries < maxTries:
		return retryable
	default:
		return done
	}
}

// pause waits before a statement is tried again; false if its time is over or the service's budget
// does not allow another try. The first tries of a read do not wait.
func (s *Session) pause(ctx context.Context, w *work) bool {
	return ctx.Err() == nil && s.mayRepeat(w) && s.wait(ctx, w)
}

// wait is pause without the budget, for statements of an open transaction.
func (s *Session) wait(ctx context.Context, w *work) bool {
	if ctx.Err() != nil {
		return false
	}
	if w.tries < triesAtOnce && !w.writes {
		return true
	}
	begun := s.engine.cfg.Clock.Now()
	more := wait.For(ctx, pauseBusy*time.Duration(min(w.tries, maxPauses)))
	now := w.recordPhase(phasePause, begun, s.engine.cfg.Clock.Now())
	if w.cause != groups.NoCause {
		w.outage += now.Sub(begun)
	}
	return more
}

// timeLeft returns the time until the context's deadline, or the default timeout if there is none.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return lane.DefaultStatementTimeout
	}
	return time.Until(d)
}
