package request

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
)

// Terms are the constant properties of a request, which its kind and key determine.
type Terms struct {
	// Idempotent is set if the request may be repeated at any step.
	Idempotent bool
	// Keyed is set if the request carries a request key, which makes a repeat safe.
	Keyed bool
	// Deadline is the time at which the caller stops waiting.
	Deadline clock.Time
}

// Budget allows or refuses another attempt, and charges it to a group.
type Budget interface {
	TryRetry(now clock.Time) bool
}

// Machine is the state machine of one request. Use New to create one; the zero value
// is not usable.
type Machine struct {
	terms     Terms
	step      Step
	state     State
	attempts  int
	forwarded bool
}

// New returns the Machine of a request that was just received.
func New(t Terms) *Machine { return &Machine{terms: t, attempts: 1} }

// Step returns the last step of the current attempt.
func (m *Machine) Step() Step { return m.step }

// State returns the state of the request over all its attempts.
func (m *Machine) State() State { return m.state }

// Attempts returns the number of attempts made, at least 1.
func (m *Machine) Attempts() int { return m.attempts }

// RecordStep records that the attempt passed a step. The state only moves forward:
// if a first attempt may have run, a second one that is queued does not make the
// request "not run".
func (m *Machine) RecordStep(s Step) {
	m.step = s
	m.state = max(m.state, stateOf(s))
}

// RecordForwarded records that a byte of an answer was forwarded to the caller. From
// then on the request is not repeated: the caller would receive parts of two answers.
func (m *Machine) RecordForwarded() { m.forwarded = true }

// RecordRefused records that the target itself refused the attempt, so that this
// attempt did not run. Only the refusal of the first attempt returns the request to
// the state queued: the refusal of a later one says nothing about the earlier ones.
func (m *Machine) RecordRefused() {
	if m.attempts == 1 && m.state == Sent {
		m.state = Queued
	}
}

// Outcome returns what is known about the request if no further attempt is made.
func (m *Machine) Outcome() outcome.Outcome {
	switch m.state {
	case Queued:
		return outcome.NotRun
	case Answered:
		return outcome.Done
	default:
		return outcome.Unknown
	}
}

// FailureResult is the result of a failed attempt.
type FailureResult struct {
	// Retry is set if the proxy makes another attempt.
	Retry bool
	// Outcome is the outcome that is returned to the caller if no other attempt is made.
	Outcome outcome.Outcome
	// Reason explains why Retry is set or not; it is written to the request's record.
	Reason Reason
}

// Reason explains why a failed attempt is followed by another or not.
type Reason string

// Reasons of a FailureResult.
const (
	ReasonQueued     Reason = "no byte sent"
	ReasonIdempotent Reason = "kind is idempotent"
	ReasonKeyed      Reason = "request key makes a repeat safe"
	ReasonFinal      Reason = "failure is final"
	ReasonForwarded  Reason = "part of an answer was forwarded"
	ReasonUnsafe     Reason = "may have run and may not be repeated"
	ReasonDeadline   Reason = "no time left"
	ReasonBudget     Reason = "retry budget is spent"
)

// Fail records a failed attempt and decides whether it is retried. It takes a token
// from the budget only if everything else allows a retry.
func (m *Machine) Fail(f Failure, now clock.Time, b Budget) FailureResult {
	if f.provesNotRun() {
		m.RecordRefused()
	}
	result := FailureResult{Outcome: m.Outcome()}
	result.Retry, result.Reason = m.mayRetry(f, now, b)
	return result
}

func (m *Machine) mayRetry(f Failure, now clock.Time, b Budget) (bool, Reason) {
	safe, why := m.repeatable()
	switch {
	case f.isFinal():
		return false, ReasonFinal
	case m.forwarded:
		return false, ReasonForwarded
	case !safe:
		return false, why
	case !now.Before(m.terms.Deadline):
		return false, ReasonDeadline
	case !b.TryRetry(now):
		return false, ReasonBudget
	}
	return true, why
}

func (m *Machine) repeatable() (bool, Reason) {
	switch {
	case m.state == Queued:
		return true, ReasonQueued
	case m.terms.Keyed:
		return true, ReasonKeyed
	case m.terms.Idempotent:
		return true, ReasonIdempotent
	default:
		return false, ReasonUnsafe
	}
}

// StartAttempt starts another attempt.
func (m *Machine) StartAttempt() {
	m.attempts++
	m.step = StepReceived
}

// Left returns the time until the deadline; it is never negative.
func (m *Machine) Left(now clock.Time) time.Duration {
	return max(0, m.terms.Deadline.Sub(now))
}
