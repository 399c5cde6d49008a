package takeover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A dead, draining or stalled primary is replaced for that reason, whether or not reads are late
// there, and a primary that was changed recently is not replaced for late reads.
func TestLateReadsAreTheLastReason(t *testing.T) {
	readsLate := Symptoms{Known: true, ReadsLate: ReadsLateAfter, Settled: BehindEvery}
	require.Equal(t, ReasonBehind, Diagnose(readsLate))
	require.True(t, ReasonBehind.Planned())

	recentlyChanged := readsLate
	recentlyChanged.Settled--
	require.Equal(t, ReasonNone, Diagnose(recentlyChanged))
	brief := readsLate
	brief.ReadsLate--
	require.Equal(t, ReasonNone, Diagnose(brief))
	leaving := readsLate
	leaving.Draining = true
	require.Equal(t, ReasonLeaving, Diagnose(leaving))
	stalled := readsLate
	stalled.Stalled = StalledAfter
	require.Equal(t, ReasonStalled, Diagnose(stalled))
	silent := readsLate
	silent.Unresponsive = UnresponsiveAfter
	require.Equal(t, ReasonUnresponsive, Diagnose(silent))
}
