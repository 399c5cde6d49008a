package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/platform/standin/database"
)

// Without the parts of hard load, a fleet that uses gateways serves a workspace beyond its limit as
// before: all of the limit, and urgent operations like the others.
func TestFleetServesWithoutThePartsOfHardLoad(t *testing.T) {
	urgentOf := func(without ...feature.Part) (fraction float64) {
		opt := database.Options{MaxConnections: 20}
		runFleetOf(t, 24, opt, feature.Without(without...), func(f *fleet) {
			f.publishWorkspaces(limitedTo(40, "hot", "h"))
			others, urgent := f.sendOperationsTo(bounded, "h", 150, vmNames(24)...), f.sendOperationsTo(exact, "h", 15, vmNames(24)...)
			time.Sleep(10 * time.Second)
			served, refused, _ := urgent.end()
			othersServed, _, failed := others.end()
			require.Greater(t, served+othersServed, int64(0.95*400))
			require.Zero(t, failed)
			f.checkWorkspaces()
			fraction = float64(served) / float64(served+refused)
		})
		return fraction
	}
	without := urgentOf(feature.LimitsByPriority, feature.WarmConnections, feature.LoadReports, feature.AdmissionByWork,
		feature.FairShares, feature.EarlyRefusals, feature.RepeatBudget)
	with := urgentOf()
	t.Logf("urgent operations served: %.2f without, %.2f with", without, with)
	require.Less(t, without, 0.7)
	require.Greater(t, with, 0.95)
}
