package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// verdict says what became of one try.
type verdict uint8

const (
	// done: the answer is final.
	done verdict = iota
	// again: it surely did not run and may be sent again.
	again
	// lostAnswer: it was sent, and no whole answer came.
	lostAnswer
	// unsent: no connection could be had.
	unsent
	// full: the target has more to do than there is time for.
	full
)

// patience is how long one try at a target may take.
func (s *Session) patience(id target.ID) time.Duration {
	return s.engine.cfg.Placing.Patience(id, s.engine.cfg.Clock.Now())
}

// limits bound one try.
type limits struct {
	// queue is how long to wait for a connection.
	queue time.Duration
	// answer is how long to wait for the answer.
	answer time.Duration
}

// try sends a statement to one target and returns its answer.
func (s *Session) try(ctx context.Context, id target.ID, w *work, after timeline.Position, most limits) (*statement.Answer, verdict) {
	w.tries++
	claim := dispatch.Claim{Order: order(w.route, w.caller.Name(), w.arrived), Queue: most.queue}
	begun := s.engine.cfg.Clock.Now()
	r, err := s.engine.cfg.Runner.Run(ctx, id, claim, s.job(w, after, w.writes, most.answer))
	s.account(w, begun, r, err)
	if err != nil {
		return nil, s.failed(id, w, err)
	}
	return r.Answer, s.judge(id, w, r)
}

// account counts what one try has taken.
func (s *Session) account(w *work, begun clock.Time, r *dispatch.Result, err error) {
	now := s.engine.cfg.Clock.Now()
	var lost *dispatch.LostError
	switch {
	case err == nil:
		w.ledger[phaseTarget] += r.Took
		w.ledger[phaseQueue] += now.Sub(begun) - r.Took
	case errors.As(err, &lost):
		w.spend(phaseLost, begun, now)
	default:
		w.spend(phaseQueue, begun, now)
	}
}

// job is a statement with the session's state.
func (s *Session) job(w *work, after timeline.Position, commits bool, answer time.Duration) *dispatch.Job {
	return &dispatch.Job{
		Service: w.route.Service, Statement: w.st, Prepared: w.prepared, Values: s.values,
		After: after, Commits: commits, Answer: answer,
	}
}

// failed learns from a try that brought no answer, and says what it means.
func (s *Session) failed(id target.ID, w *work, err error) verdict {
	e := s.engine
	var lost *dispatch.LostError
	if !errors.As(err, &lost) {
		var u *lane.UnavailableError
		if errors.As(err, &u) && u.ComeBack > 0 {
			w.full, w.comeBack, w.refusal = w.full+1, u.ComeBack, u.Cause
			return full
		}
		w.full = 0
		if dispatch.Silent(err) {
			e.cfg.Placing.Failed(id, e.cfg.Clock.Now())
		}
		return unsent
	}
	w.full, w.ran = 0, true
	e.blame(id, lost)
	e.cfg.Log.Debug("answer-lost", zap.String("request", w.st.ID), zap.String("target", string(id)), zap.Error(err))
	return lostAnswer
}

// judge says whether an answer is final, and learns from it.
func (s *Session) judge(id target.ID, w *work, r *dispatch.Result) verdict {
	e := s.engine
	a, now := r.Answer, e.cfg.Clock.Now()
	w.ran = w.ran || !a.Code.NotRun()
	switch {
	case a.Code == statement.OK:
		e.cfg.Placing.Served(id, now, r.Took)
		return done
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

// pause waits a moment before a statement is tried again; false if its time or
// its tries are used up.
func (s *Session) pause(ctx context.Context, w *work) bool {
	if ctx.Err() != nil {
		return false
	}
	if w.tries < triesAtOnce && !w.writes {
		return true
	}
	begun := s.engine.cfg.Clock.Now()
	more := wait.For(ctx, pauseBusy*time.Duration(min(w.tries, maxPauses)))
	w.spend(phasePause, begun, s.engine.cfg.Clock.Now())
	return more
}

// left is the time until the context's deadline.
func left(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return minTimeout
	}
	return time.Until(d)
}
