package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against: a workspace over its limit whose urgent operations are refused as often as the
// others, also while one of the owners of its limit is replaced.
func TestUrgentOperationsOfAFloodAreServed(t *testing.T) {
	for _, vms := range fleetSizes(9, 30) {
		runFleet(t, vms, func(f *fleet) {
			f.publishWorkspaces(limitedTo(40, "hot", "h"))
			others := f.sendOperationsTo(bounded, "h", 150, vmNames(vms)...)
			time.Sleep(3 * time.Second)
			urgent := f.sendOperationsTo(exact, "h", 15, vmNames(vms)...)
			time.Sleep(5 * time.Second)
			f.kill("vm4")
			f.restartVM("vm4")
			time.Sleep(5 * time.Second)
			served, refused, _ := urgent.end()
			othersServed, _, _ := others.end()
			require.Greater(t, float64(served), 0.95*float64(served+refused))
			require.Greater(t, float64(served+othersServed), 0.98*13*40)
			f.checkWorkspaces()
		})
	}
}
