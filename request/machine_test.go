package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
)

type unlimitedBudget struct{ calls int }

func (b *unlimitedBudget) TryRetry(clock.Time) bool { b.calls++; return true }

type spentBudget struct{}

func (spentBudget) TryRetry(clock.Time) bool { return false }

var later = clock.Time(time.Second)

// Failure guarded against: a purchase is sent, the target commits it, the connection
// breaks before the answer, and the caller receives "not run".
func TestSentRequestIsNeverNotRun(t *testing.T) {
	for _, s := range Steps {
		m := New(Terms{Deadline: later})
		m.RecordStep(s)
		got := m.Fail(FailureLost, 0, &unlimitedBudget{}).Outcome
		require.Equal(t, s < StepSent, got == outcome.NotRun, s.String())
	}
}

// Failure guarded against: the connection breaks after the first attempt of a payment was
// sent, and the deadline passes while the second attempt waits for a connection. The second
// one is queued, but the first may have run, so that the outcome must stay "unknown".
func TestQueuedRepeatDoesNotHideTheFirstAttempt(t *testing.T) {
	m := New(Terms{Keyed: true, Deadline: later})
	m.RecordStep(StepSent)
	require.True(t, m.Fail(FailureLost, 0, &unlimitedBudget{}).Retry)
	m.StartAttempt()
	require.Equal(t, outcome.Unknown, m.Fail(FailureDeadline, later, &unlimitedBudget{}).Outcome)
	require.Equal(t, outcome.Unknown, m.Fail(FailureFenced, 0, &unlimitedBudget{}).Outcome)
}

// A fenced primary itself refuses a write. The refusal proves that nothing ran, so that the
// proxy may send the write to the new primary.
func TestFencedRefusalMayBeRepeatedOnce(t *testing.T) {
	m := New(Terms{Deadline: later})
	m.RecordStep(StepSent)
	result := m.Fail(FailureFenced, 0, &unlimitedBudget{})
	require.True(t, result.Retry)
	require.Equal(t, outcome.NotRun, result.Outcome)
}

func TestRetryNeedsBudgetTimeAndNothingForwarded(t *testing.T) {
	m := New(Terms{Idempotent: true, Deadline: later})
	m.RecordStep(StepSent)
	require.Equal(t, ReasonBudget, m.Fail(FailureLost, 0, spentBudget{}).Reason)
	require.Equal(t, ReasonDeadline, m.Fail(FailureLost, later, &unlimitedBudget{}).Reason)
	m.RecordForwarded()
	b := &unlimitedBudget{}
	require.Equal(t, ReasonForwarded, m.Fail(FailureLost, 0, b).Reason)
	require.Zero(t, b.calls, "a refused retry must not draw on the budget")
}

// In any order of steps and failures, a request that may not be repeated is sent at most once
// more often than targets have refused it.
func TestUnrepeatableIsSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Terms{Deadline: later})
		unresolved := 0
		for range 8 {
			m.RecordStep(rapid.SampledFrom(Steps).Draw(t, "step"))
			f := Failure(rapid.IntRange(0, len(failureNames)-1).Draw(t, "failure"))
			if m.Step() >= StepSent && f != FailureFenced {
				unresolved++
			}
			if !m.Fail(f, 0, &unlimitedBudget{}).Retry {
				return
			}
			require.Zero(t, unresolved)
			m.StartAttempt()
		}
	})
}
