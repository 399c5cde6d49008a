package engine

import (
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
)

// phase is what a statement's time goes to.
type phase uint8

const (
	// phasePrimary is the wait until a primary is known.
	phasePrimary phase = iota
	// phaseQueue is the wait for a connection, and the way through a gateway.
	phaseQueue
	// phaseTarget is the target's own time, its queue included.
	phaseTarget
	// phaseLost is the wait for answers that did not come.
	phaseLost
	// phaseProof is the wait for the proof that the primary still leads.
	phaseProof
	// phasePause is the pause between two tries.
	phasePause
	// phaseLimit is the wait for the word that the workspace is within its limit.
	phaseLimit
	phases
)

var phaseNames = [phases]string{"primary", "queue", "target", "lost-answer", "proof", "retry", "limit"}

// ledger is how long a statement has spent in each phase.
type ledger [phases]time.Duration

// spend counts the time since a moment, and returns the present one.
func (w *work) spend(p phase, since, now clock.Time) clock.Time {
	w.ledger[p] += now.Sub(since)
	return now
}

// cause is the phase that took the most.
func (l *ledger) cause() string {
	most := phasePrimary
	for p := range phases {
		if l[p] > l[most] {
			most = p
		}
	}
	return phaseNames[most]
}

// explain logs a statement that was not served, or served later than its route's
// objective, with what its time went to.
func (s *Session) explain(w *work, a *statement.Answer) {
	after := s.engine.cfg.Clock.Now().Sub(w.arrived)
	if a.Code == statement.OK && after <= w.route.Objective {
		return
	}
	event := "statement-late"
	if a.Code != statement.OK {
		event = "statement-unserved"
	}
	s.engine.cfg.Log.Info(event, zap.String("request", w.st.ID), zap.String("database", s.database), zap.String("workspace", w.caller.Name()),
		zap.Stringer("code", a.Code), zap.String("cause", w.ledger.cause()), zap.Duration("after", after),
		zap.Int("tries", w.tries), zap.Duration("queue", w.ledger[phaseQueue]), zap.Duration("target-took", w.ledger[phaseTarget]),
		zap.Duration("lost", w.ledger[phaseLost]), zap.Duration("primary", w.ledger[phasePrimary]))
}
