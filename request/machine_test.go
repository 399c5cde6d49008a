package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
)

type openBudget struct{ asked int }

func (b *openBudget) TryRetry(clock.Time) bool { b.asked++; return true }

type spentBudget struct{}

func (spentBudget) TryRetry(clock.Time) bool { return false }

var later = clock.Time(time.Second)

// A purchase is sent and the connection breaks. The caller must not hear "not
// run": the target may have committed before the cut.
func TestSentRequestIsNeverNotRun(t *testing.T) {
	for _, s := range Steps {
		m := New(Terms{Deadline: later})
		m.Pass(s)
		got := m.Fail(FailureLost, 0, &openBudget{}).Outcome
		require.Equal(t, s < StepSent, got == outcome.NotRun, s.String())
	}
}

// The first attempt of a payment was lost after it was sent. The second waits
// for a connection when the deadline comes. It is queued, but the first one
// may have run: the answer stays "unknown".
func TestQueuedRepeatDoesNotHideTheFirstAttempt(t *testing.T) {
	m := New(Terms{Keyed: true, Deadline: later})
	m.Pass(StepSent)
	require.True(t, m.Fail(FailureLost, 0, &openBudget{}).Retry)
	m.Again()
	require.Equal(t, outcome.Unknown, m.Fail(FailureDeadline, later, &openBudget{}).Outcome)
	require.Equal(t, outcome.Unknown, m.Fail(FailureFenced, 0, &openBudget{}).Outcome)
}

// A write reaches a fenced primary, which refuses it by its own word. The
// refusal proves that nothing ran, so the proxy may send it to the new one.
func TestFencedRefusalMayBeRepeatedOnce(t *testing.T) {
	m := New(Terms{Deadline: later})
	m.Pass(StepSent)
	v := m.Fail(FailureFenced, 0, &openBudget{})
	require.True(t, v.Retry)
	require.Equal(t, outcome.NotRun, v.Outcome)
}

func TestRetryNeedsBudgetTimeAndAnUntouchedCaller(t *testing.T) {
	m := New(Terms{Idempotent: true, Deadline: later})
	m.Pass(StepSent)
	require.Equal(t, ReasonBudget, m.Fail(FailureLost, 0, spentBudget{}).Why)
	require.Equal(t, ReasonDeadline, m.Fail(FailureLost, later, &openBudget{}).Why)
	m.Forwarded()
	b := &openBudget{}
	require.Equal(t, ReasonForwarded, m.Fail(FailureLost, 0, b).Why)
	require.Zero(t, b.asked, "a refused retry must not draw on the budget")
}

// Whatever the order of steps and failures, a request that may not be repeated
// is sent at most once more than a target has refused it.
func TestUnrepeatableIsSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Terms{Deadline: later})
		unresolved := 0
		for range 8 {
			m.Pass(rapid.SampledFrom(Steps).Draw(t, "step"))
			f := Failure(rapid.IntRange(0, len(failureNames)-1).Draw(t, "failure"))
			if m.Step() >= StepSent && f != FailureFenced {
				unresolved++
			}
			if !m.Fail(f, 0, &openBudget{}).Retry {
				return
			}
			require.Zero(t, unresolved)
			m.Again()
		}
	})
}
