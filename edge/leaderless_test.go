package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/takeover"
)

// recordAttempt sets up the state of an attempt to replace the primary at the point where the
// replicas are paused.
func recordAttempt(f *fleet, holder string) {
	f.group.Pause("ledger-1", 2)
	f.group.Pause("ledger-2", 2)
	f.world.Store.Put("endivemoor", "reign."+service, map[string]any{
		"holder": holder, "attempt": map[string]any{"nonce": "n", "deposed": "ledger-0"},
	})
}

// Guards against: a cost that grows with the number of waiting consumers while there is no primary.
// The primary is dead, and so is the VM that was about to replace it, so that no target leads for
// five seconds. Consumers keep sending requests, and every VM keeps retrying. The replicas' slots
// are needed for reads, and each status query and each call to the store is charged.
func TestWaitingForAPrimaryAsksLittle(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		read := func(i int) []string { return []string{fmt.Sprintf("READ i%d", i)} }
		runConsumers(f, []string{exact}, 2, time.Second, read)
		recordAttempt(f, "vm9")
		f.world.Crash(service, "ledger-0")
		queries, calls := f.group.StatusQueries(), f.world.Store.Calls()
		runConsumers(f, []string{exact, bounded}, 10, takeover.ExpireAfter-time.Second, read)
		queries, calls = f.group.StatusQueries()-queries, f.world.Store.Calls()-calls
		t.Logf("status queries %d, calls to the store %d", queries, calls)
		require.Less(t, queries, int64(3*4*2*5), "each VM queries each replica five times a second at most")
		require.Less(t, calls, 100)
		f.checkInvariants()
	})
}

// Guards against: a restarted holder that waits for its own attempt to expire. The VM that replaces
// a dead primary is killed before the promotion and restarts at once. It finds its own record and,
// unlike other VMs, is certain that no process still acts on it.
func TestRestartedHolderGoesOnSoon(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		c := f.session("vm1", exact)
		_, bought := buyUntil(f, c, time.Second)
		f.kill("vm0")
		f.restartVM("vm0")
		time.Sleep(time.Second)
		go buyUntil(f, f.session("vm0", exact), time.Second)
		recordAttempt(f, "vm0")
		f.world.Crash(service, "ledger-0")
		gap, after := buyUntil(f, c, 7*time.Second)
		require.Less(t, gap, 3*time.Second)
		requireAll(f, f.session("vm2", exact), append(bought, after...))
		require.Equal(t, "vm0", f.world.Store.DesignationCalls()[0].Holder)
		f.checkInvariants()
	})
}

// Guards against: the same for a process that starts while its attempt is recorded. It trusts no replica
// until that has ended, and does not detect that the primary is dead since it sends it no write.
func TestHolderThatStartsDuringItsAttemptGoesOnSoon(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		c := f.session("vm1", exact)
		_, bought := buyUntil(f, c, time.Second)
		recordAttempt(f, "vm0")
		f.kill("vm0")
		f.restartVM("vm0")
		time.Sleep(time.Second)
		go buyUntil(f, f.session("vm0", exact), time.Second)
		f.world.Crash(service, "ledger-0")
		gap, after := buyUntil(f, c, 7*time.Second)
		require.Less(t, gap, 3*time.Second)
		requireAll(f, f.session("vm2", exact), append(bought, after...))
		require.Equal(t, "vm0", f.world.Store.DesignationCalls()[0].Holder)
		f.checkInvariants()
	})
}

// Guards against: a longer outage because the entry of a dead primary is removed before the primary
// can be replaced. No target is considered the leader from then on, but the primary was dead
// before, and waiting for new claims would delay consumers. A VM considers an entry removed some
// 2.5 s after the store has removed it.
func TestEntryOfADeadPrimaryGoes(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		c := f.session("vm1", exact)
		recordAttempt(f, "vm9")
		f.world.Crash(service, "ledger-0")
		go func() {
			time.Sleep(takeover.ExpireAfter - 3*time.Second)
			f.world.Store.Remove("servers", "ledger-0")
		}()
		gap, bought := buyUntil(f, c, 8*time.Second)
		require.NotEmpty(t, bought)
		require.Less(t, gap, takeover.ExpireAfter+time.Second)
		f.checkInvariants()
	})
}
