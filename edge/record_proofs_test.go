package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/takeover"
)

// Guards against: VMs that reach no replica and call the store for every exact read.
func TestProofsByTheStoreAreFew(t *testing.T) {
	const vms, behind = 24, 12
	runFleet(t, vms, func(f *fleet) {
		sessions := make(map[string]*consumer.Session)
		for i := range behind {
			name := fmt.Sprint("vm", i)
			sessions[name] = f.session(name, exact)
			require.True(t, sessions[name].Query("READ a").OK())
			f.world.Net.Cut(name, "ledger-1")
			f.world.Net.Cut(name, "ledger-2")
		}
		time.Sleep(3 * time.Second)

		const reads, interval = 50, 100 * time.Millisecond
		idle := f.world.Store.Calls()
		time.Sleep(reads * interval)
		before := f.world.Store.Calls()
		idle = before - idle
		failed, slow := readConcurrently(sessions, readPace{reads: reads, interval: interval, stagger: 7 * time.Millisecond, slow: 250 * time.Millisecond})
		calls := f.world.Store.Calls() - before - idle
		t.Logf("%d reads: %d failed, %d slow, %d calls beside %d idle ones", behind*reads, failed, slow, calls, idle)
		require.Zero(t, failed)
		require.LessOrEqual(t, calls, behind*(1+int(reads*interval/takeover.Permission)), "a proof lasts for a permission")
	})
}

// Guards against: exact reads that rest on the store's answer. Several VMs that reach the old primary
// alone, and not the store, read nothing there once another target is promoted.
func TestReadsWithoutTheStoresProofAreNotStale(t *testing.T) {
	const vms, behind = 4, 2
	runFleet(t, vms, func(f *fleet) {
		c := f.session("vm3", exact)
		require.True(t, c.Query("WRITE seat free").OK())
		sessions := make(map[string]*consumer.Session)
		for i := range behind {
			name := fmt.Sprint("vm", i)
			sessions[name] = f.session(name, exact)
			require.True(t, sessions[name].Query("READ seat").OK())
			f.world.Net.Cut(name, "ledger-1")
			f.world.Net.Cut(name, "ledger-2")
			f.world.CutFromStore(name, true)
			for j := behind; j < vms; j++ {
				f.world.Net.Cut(name, fmt.Sprint("vm", j))
			}
		}
		for j := behind; j < vms; j++ {
			f.world.Net.Cut(fmt.Sprint("vm", j), "ledger-0")
		}
		f.group.SetReplicationCut("ledger-0", true)
		for _, reader := range sessions {
			f.requireNoStaleRead(c, reader)
		}
	})
}
