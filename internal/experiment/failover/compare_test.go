package failover

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: under one of the faults, a gate that confirms writes with a replica
// loses a confirmed write, or a run ends with a group that does not serve or with a finding.
func TestConfirmLosesNothing(t *testing.T) {
	for _, f := range faultCases {
		for _, g := range gateCases {
			sum, err := play(f.trial(g), 2, 2)
			require.NoError(t, err)
			require.Zero(t, sum.notServed, "%s %s", f.name, g.name)
			require.Zero(t, sum.findings, "%s %s", f.name, g.name)
			if g.name == "confirm" || g.name == "confirm+witness" || g.name == "confirm+lease" {
				require.Zero(t, sum.lostConfirmed, "%s %s", f.name, g.name)
			}
		}
	}
}

func TestSameSeedsSameTable(t *testing.T) {
	trial := faultCases[0].trial(gateCases[0])
	first, err := play(trial, 3, 2)
	require.NoError(t, err)
	second, err := play(trial, 3, 1)
	require.NoError(t, err)
	require.Equal(t, first.gap.Export(), second.gap.Export())
	require.Equal(t, first.gated.Export(), second.gated.Export())
	var out bytes.Buffer
	require.NoError(t, FalsePromotions(&out, 1, 1))
	require.Contains(t, out.String(), "50.00%")
}
