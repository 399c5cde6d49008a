package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against: a VM that receives nothing because its own link is saturated, and replaces a
// primary that serves all others.
func TestVMWithAFullLinkReplacesNoPrimary(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		calls := f.traffic()
		time.Sleep(3 * time.Second)
		for range 3 {
			f.world.Net.SetRate("vm0", 2_000)
			time.Sleep(5 * time.Second)
			f.world.Net.SetRate("vm0", 0)
			time.Sleep(3 * time.Second)
		}
		calls.End()
		_, attempted := f.world.Store.Get("endivemoor", "reign."+service)
		require.False(t, attempted, "want no promotion attempt recorded")
		f.checkInvariants()
	})
}
