package edge_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM is cut off from the store, from its peers and from all servers but the old
// primary, which is cut off as well and confirms nothing; another server leads by
// now. Callers of that VM have time to be served by another one if they are told at
// once, and none if each waits there until its statement's time is over.
func TestVMThatCanServeNobodySaysSoAtOnce(t *testing.T) {
	play(t, 3, func(f *fleet) {
		c := f.session("vm2", exact)
		require.True(t, c.Query("WRITE a paid").OK())
		f.isolate("vm2")
		f.world.Net.Cut("vm2", "ledger-1")
		f.world.Net.Cut("vm2", "ledger-2")
		f.group.SetDeaf("ledger-0", true)
		f.world.Net.Cut("vm0", "ledger-0")
		f.world.Net.Cut("vm1", "ledger-0")
		// The others find that the primary is gone; what the VM had proven has aged.
		gap, bought := buyUntil(f, f.session("vm0", exact), 3*time.Second)
		require.Less(t, gap, 2*time.Second)
		require.NotEmpty(t, bought)
		atOnce, asked := refusedAtOnce(f, "vm2", 3*time.Second)
		t.Logf("%d of %d", atOnce, asked)
		require.Greater(t, float64(atOnce)/float64(asked), 2./3, "none without the breaker")
		require.True(t, f.session("vm0", exact).Query("WRITE b paid").OK(), "the others serve still")
		f.world.Net.HealAll()
		f.group.SetDeaf("ledger-0", false)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"paid"}, c.Query("READ b").Rows, "and it does again")
		f.fair()
	})
}

// refusedAtOnce lets ten callers read at a VM for a while, and returns how many of
// their reads were refused within 50 ms, and how many there were.
func refusedAtOnce(f *fleet, vm string, length time.Duration) (atOnce, asked int64) {
	var quick, all atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(length)
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
