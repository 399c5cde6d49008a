package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/platform/standin/workspaces"
)

var hardLoadParts = []feature.Part{
	feature.LimitsByPriority, feature.WarmConnections, feature.LoadReports, feature.AdmissionByWork, feature.FairShares,
	feature.EarlyRefusals, feature.RepeatBudget,
}

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
	without := urgentOf(hardLoadParts...)
	with := urgentOf()
	t.Logf("urgent operations served: %.2f without, %.2f with", without, with)
	require.Less(t, without, 0.7)
	require.Greater(t, with, 0.95)
}

// Every other VM has no load reports, demands and intervals, as an older program; requests for tokens
// are slow. Guards against: fields that are left out or come late let a limit be exceeded or leave it
// unused, or send reads to targets that refuse them.
func TestFieldsThatHalfOfTheFleetLeavesOut(t *testing.T) {
	const vms, objective = 24, 500 * time.Millisecond
	opt := database.Options{MaxConnections: 24, StatementTime: 20 * time.Millisecond}
	runFleetWith(t, vms, opt, func(f *fleet) {
		f.features = feature.Without(hardLoadParts...)
		for i := 0; i < vms; i += 2 {
			f.kill(vmNames(vms)[i])
			f.restartVM(vmNames(vms)[i])
		}
		time.Sleep(5 * time.Second)
		burst := f.readsAt(675, 2*time.Second, objective)
		t.Logf("in time %d, late %d, refused %d", burst.inTime, burst.late, burst.refused)
		require.Greater(t, burst.inTime, 2*450*8/10, "targets can do 450 a second")
		time.Sleep(2 * time.Second)
		f.publishWorkspaces(limitedTo(40, "hot", "h"))
		f.execute("slow-net 10ms")
		hot := f.sendOperations("h", 150, vmNames(vms)...)
		time.Sleep(10 * time.Second)
		served, refused, failed := hot.end()
		t.Logf("served %d, refused %d, failed %d", served, refused, failed)
		require.GreaterOrEqual(t, served, int64(400), "10 s at 40 a second")
		require.Zero(t, failed)
		f.checkInvariants()
		require.Empty(t, f.world.Checker.Check(workspaces.DefaultBounds).Exceeded)
	})
}
