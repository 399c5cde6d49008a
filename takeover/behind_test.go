package takeover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A dead, draining or stalled primary is replaced for that reason, whether or not reads are late
// there, and a primary that was changed recently is not replaced for late reads.
func TestLateReadsAreTheLastReason(t *testing.T) {
	readsLate := Signs{Known: true, Crowded: CrowdedAfter, Settled: BehindEvery}
	require.Equal(t, ReasonBehind, Judge(readsLate))
	require.True(t, ReasonBehind.Planned())

	recentlyChanged := readsLate
	recentlyChanged.Settled--
	require.Equal(t, ReasonNone, Judge(recentlyChanged))
	brief := readsLate
	brief.Crowded--
	require.Equal(t, ReasonNone, Judge(brief))
	leaving := readsLate
	leaving.Draining = true
	require.Equal(t, ReasonLeaving, Judge(leaving))
	stalled := readsLate
	stalled.Stalled = StalledAfter
	require.Equal(t, ReasonStalled, Judge(stalled))
	silent := readsLate
	silent.Silent = SilentAfter
	require.Equal(t, ReasonSilent, Judge(silent))
}
