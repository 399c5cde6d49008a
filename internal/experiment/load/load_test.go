package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/admission"
)

func TestSameSeedGivesTheSameRun(t *testing.T) {
	shape := Shapes()[1]
	setup := Setup{Policy: admission.DelayRatio{}, Seed: 5}
	a, b := Run(shape, setup), Run(shape, setup)
	require.Equal(t, a.Worth(), b.Worth())
	require.Equal(t, a.Classes[0].served, b.Classes[0].served)
}

// Failure guarded against: the target freezes, then fails each statement at once, then recovers,
// while callers retry; work for callers that have already given up keeps the target busy after its
// recovery. The worth served must recover within 5 s, with less than 1.1 attempts per request.
func TestOutageEndsWithoutARetryStorm(t *testing.T) {
	shape := Shapes()[2]
	got := RunSeeds(shape, Setup{Policy: admission.DelayRatio{}}, 3, 2)
	require.LessOrEqual(t, got.Recovery(), 5*time.Second)
	require.Less(t, float64(got.Attempts), 1.1*float64(got.Requests))

	unbounded := RunSeeds(shape, Setup{Policy: admission.DelayRatio{}, NoBudget: true}, 3, 2)
	require.Greater(t, float64(unbounded.Attempts), 1.1*float64(unbounded.Requests),
		"the run without a retry budget shows no retry storm")
}
