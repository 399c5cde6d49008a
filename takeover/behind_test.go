package takeover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A primary that is dead, leaves or confirms nothing is replaced for that, whatever
// waits there; and one that was changed a moment ago is left alone.
func TestCrowdedPrimaryIsTheLastReason(t *testing.T) {
	crowded := Signs{Known: true, Crowded: CrowdedAfter, Settled: BehindEvery}
	require.Equal(t, ReasonBehind, Judge(crowded))
	require.True(t, ReasonBehind.Planned())

	soon := crowded
	soon.Settled--
	require.Equal(t, ReasonNone, Judge(soon))
	brief := crowded
	brief.Crowded--
	require.Equal(t, ReasonNone, Judge(brief))
	leaving := crowded
	leaving.Draining = true
	require.Equal(t, ReasonLeaving, Judge(leaving))
	stalled := crowded
	stalled.Stalled = StalledAfter
	require.Equal(t, ReasonStalled, Judge(stalled))
	silent := crowded
	silent.Silent = SilentAfter
	require.Equal(t, ReasonSilent, Judge(silent))
}
