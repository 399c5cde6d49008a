package request

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
)

// Terms are what a request's kind and key say of it. They do not change.
type Terms struct {
	// Idempotent requests may be repeated at any step.
	Idempotent bool
	// Keyed requests carry a request key, which makes a repeat safe.
	Keyed bool
	// Deadline is when the caller stops waiting.
	Deadline clock.Time
}

// Budget allows or refuses one more attempt at the expense of a group.
type Budget interface {
	TryRetry(now clock.Time) bool
}

// Machine follows one request. Its zero value is not usable: see New.
type Machine struct {
	terms     Terms
	step      Step
	state     State
	attempts  int
	forwarded bool
}

// New returns the machine of a request that was just received.
func New(t Terms) *Machine { return &Machine{terms: t, attempts: 1} }

// Step returns the last step passed by this attempt.
func (m *Machine) Step() Step { return m.step }

// State returns the state of the request over all its attempts.
func (m *Machine) State() State { return m.state }

// Attempts returns the number of attempts made, at least 1.
func (m *Machine) Attempts() int { return m.attempts }

// Pass records that the attempt went through a step. The state only moves
// forward: a second attempt that is queued again does not make a request "not
// run" that a first attempt may have run.
func (m *Machine) Pass(s Step) {
	m.step = s
	m.state = max(m.state, stateOf(s))
}

// Forwarded records that a byte of an answer went to the caller. From then on
// the request is not repeated: the caller would see two answers spliced.
func (m *Machine) Forwarded() { m.forwarded = true }

// Refused records that a target refused the attempt by its own word, so that
// this attempt did not run. Only the first attempt may take the request back
// to queued; of an earlier attempt nothing was learned.
func (m *Machine) Refused() {
	if m.attempts == 1 && m.state == Sent {
		m.state = Queued
	}
}

// Outcome says what is known of a request that is given up on now.
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

// Verdict is what follows from a failure.
type Verdict struct {
	// Retry says that the proxy makes another attempt.
	Retry bool
	// Outcome is what the caller is told if it does not.
	Outcome outcome.Outcome
	// Why explains a refused retry, for the record.
	Why Reason
}

// Reason says why an attempt was or was not followed by another.
type Reason string

// Reasons of a Verdict.
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

// Fail decides what follows from a failed attempt. It draws on the budget only
// when everything else allows a retry.
func (m *Machine) Fail(f Failure, now clock.Time, b Budget) Verdict {
	if f.provesNotRun() {
		m.Refused()
	}
	v := Verdict{Outcome: m.Outcome()}
	v.Retry, v.Why = m.mayRetry(f, now, b)
	return v
}

func (m *Machine) mayRetry(f Failure, now clock.Time, b Budget) (bool, Reason) {
	safe, why := m.repeatable()
	switch {
	case f.final():
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

// Again starts another attempt.
func (m *Machine) Again() {
	m.attempts++
	m.step = StepReceived
}

// Left returns the time to the deadline, never negative.
func (m *Machine) Left(now clock.Time) time.Duration {
	return max(0, m.terms.Deadline.Sub(now))
}
