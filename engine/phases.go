package engine

import (
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
)

// phase is a part of the time that a statement takes.
type phase uint8

const (
	// phasePrimary is the wait until a primary is known.
	phasePrimary phase = iota
	// phaseQueue is the wait for a connection, and the transfer through a gateway.
	phaseQueue
	// phaseTarget is the time at the target, its queue included.
	phaseTarget
	// phaseLost is the wait for answers that were lost.
	phaseLost
	// phaseProof is the wait for the proof that the primary still leads.
	phaseProof
	// phasePause is the pause between two tries.
	phasePause
	// phaseLimit is the wait for the limiter's decision.
	phaseLimit
	// phaseEvidence is the wait for evidence of how fresh the replicas are.
	phaseEvidence
	phases
)

var phaseNames = [phases]string{"primary", "queue", "target", "lost-answer", "proof", "retry", "limit", "evidence"}

// phaseTimes is the time that a statement has spent in each phase.
type phaseTimes [phases]time.Duration

// recordPhase adds the time from since to now to a phase, and returns now.
func (w *work) recordPhase(p phase, since, now clock.Time) clock.Time {
	w.phaseTimes[p] += now.Sub(since)
	return now
}

// cause returns the name of the longest phase.
func (t *phaseTimes) cause() string {
	most := phasePrimary
	for p := range phases {
		if t[p] > t[most] {
			most = p
		}
	}
	return phaseNames[most]
}

// logLateOrFailed logs a statement that was not served, or that was served later than its route's
// objective, with the time of its phases.
func (s *Session) logLateOrFailed(w *work, a *statement.Answer) {
	after := s.engine.cfg.Clock.Now().Sub(w.arrived)
	if a.Code == statement.OK && after <= w.route.Objective {
		return
	}
	event := "statement-late"
	if a.Code != statement.OK {
		event = "statement-unserved"
	}
	s.engine.cfg.Log.Info(event, zap.String("request", w.st.ID), zap.String("database", s.database), zap.String("workspace", w.caller.Name()),
		zap.Stringer("code", a.Code), zap.String("cause", w.phaseTimes.cause()), zap.Duration("after", after),
		zap.Int("tries", w.tries), zap.Duration("queue", w.phaseTimes[phaseQueue]), zap.Duration("target-took", w.phaseTimes[phaseTarget]),
		zap.Duration("lost", w.phaseTimes[phaseLost]), zap.Duration("primary", w.phaseTimes[phasePrimary]))
}
