package edge_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against: consumers that wait for their statement timeout at a VM that cannot serve them.
// The VM is partitioned from the store, from its peers and from all targets except the old primary,
// which is partitioned too and confirms nothing; another target leads by now. Consumers that are
// refused at once have time to be served by another VM.
func TestVMThatCanServeNobodyRefusesAtOnce(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		c := f.session("vm2", exact)
		require.True(t, c.Query("WRITE a paid").OK())
		f.isolate("vm2")
		f.world.Net.Cut("vm2", "ledger-1")
		f.world.Net.Cut("vm2", "ledger-2")
		f.group.SetReplicationCut("ledger-0", true)
		f.world.Net.Cut("vm0", "ledger-0")
		f.world.Net.Cut("vm1", "ledger-0")
		// The other VMs detect that the primary is unreachable; the proofs of the isolated VM
		// expire.
		gap, bought := buyUntil(f, f.session("vm0", exact), 3*time.Second)
		require.Less(t, gap, 2*time.Second)
		require.NotEmpty(t, bought)
		atOnce, total := refusedAtOnce(f, "vm2", 3*time.Second)
		t.Logf("%d of %d", atOnce, total)
		require.Greater(t, float64(atOnce)/float64(total), 2./3, "none is refused at once without the circuit breaker")
		require.True(t, f.session("vm0", exact).Query("WRITE b paid").OK(), "the other VMs still serve")
		f.world.Net.HealAll()
		f.group.SetReplicationCut("ledger-0", false)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"paid"}, c.Query("READ b").Rows, "the VM serves again after the partition")
		f.checkInvariants()
	})
}

// refusedAtOnce lets ten consumers read at a VM for the given time. It returns how many of their
// reads were refused within 50 ms, and the number of reads.
func refusedAtOnce(f *fleet, vm string, duration time.Duration) (atOnce, total int64) {
	var quick, all atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for range 10 {
		c := f.session(vm, exact)
		wait.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				a := c.Query("READ a")
				all.Add(1)
				if a.Code == "BUSY" && time.Since(start) < 50*time.Millisecond {
					quick.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return quick.Load(), all.Load()
}
