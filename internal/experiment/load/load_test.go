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

// The target freezes, fails at once, and is well again, while callers come
// back again and again. Work for callers that have gone must not keep it busy:
// the worth served is back within 5 s and attempts stay under 1.1.
func TestOutageEndsWithoutARetryStorm(t *testing.T) {
	shape := Shapes()[2]
	got := RunSeeds(shape, Setup{Policy: admission.DelayRatio{}}, 3, 2)
	require.LessOrEqual(t, got.Recovery(), 5*time.Second)
	require.Less(t, float64(got.Attempts), 1.1*float64(got.Requests))

	unbounded := RunSeeds(shape, Setup{Policy: admission.DelayRatio{}, NoBudget: true}, 3, 2)
	require.Greater(t, float64(unbounded.Attempts), 1.1*float64(unbounded.Requests),
		"without the budget the storm shows")
}
