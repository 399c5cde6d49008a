package reads

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/routing"
)

// Failure guarded against: a checker that never reports a violation. With one guard of routing
// disabled, the checker must find the reads that the guard prevents; with all enabled, none.
func TestCheckersFindReadsThatADisabledGuardPermits(t *testing.T) {
	run := func(sc Scenario, out ...guard.Name) Tally {
		return Run(sc, Setup{Policy: routing.EvidencePolicy{}, Lag: Typical, Seed: 1, Guards: guard.Without(out...)})
	}
	behind, cutOff := Scenarios()[2], Scenarios()[6]
	for _, sc := range []Scenario{behind, cutOff} {
		got := run(sc)
		require.Zero(t, got.Stale, sc.Name)
		require.Zero(t, got.OwnWritesMissed, sc.Name)
	}
	require.Positive(t, run(behind, routing.GuardAge).Stale)
	require.Positive(t, run(behind, routing.GuardFloor).OwnWritesMissed)
	require.Positive(t, run(cutOff, routing.GuardWitness).Stale)
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	setup := Setup{Policy: routing.EvidencePolicy{}, Lag: Typical, Seed: 3}
	a, b := Run(Scenarios()[3], setup), Run(Scenarios()[3], setup)
	require.Equal(t, a.Reads, b.Reads)
	require.Equal(t, a.ByReplica, b.ByReplica)
	require.Equal(t, a.ReadLatency.Export(), b.ReadLatency.Export())
}

// Replicas must serve 97% of the reads that they may serve, which is the users' objective, at a
// usual lag of 200 ms, with one read in twenty by a session that has just written.
func TestReplicasServeTheAimedShare(t *testing.T) {
	got := Run(Scenarios()[0], Setup{Policy: routing.EvidencePolicy{}, Lag: 200 * time.Millisecond, Seed: 1})
	require.Greater(t, got.Share(), 0.97)
	require.Zero(t, got.Failed)
}
