package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a VM that cannot hear over its own full link, and replaces a primary that serves all others.
func TestVMWithAFullLinkReplacesNoPrimary(t *testing.T) {
	play(t, 9, func(f *fleet) {
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
		require.False(t, attempted, "an attempt was recorded")
		f.fair()
	})
}
