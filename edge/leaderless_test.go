package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/takeover"
)

// recordAttempt leaves what an attempt to replace the primary has done so far:
// the replicas are paused.
func recordAttempt(f *fleet, holder string) {
	f.group.Pause("ledger-1", 2)
	f.group.Pause("ledger-2", 2)
	f.world.Store.Put("endivemoor", "reign."+service, map[string]any{
		"holder": holder, "attempt": map[string]any{"nonce": "n", "deposed": "ledger-0"},
	})
}

// The primary is dead, and so is the VM that was about to replace it: for five
// seconds nobody leads. Consumers go on asking, and every VM goes on trying. What
// that costs the replicas and the store must not grow with the number of those
// who wait: the replicas' slots are needed for reads, and each question and each
// call is charged.
func TestWaitingForAPrimaryAsksLittle(t *testing.T) {
	play(t, 3, func(f *fleet) {
		read := func(i int) []string { return []string{fmt.Sprintf("READ i%d", i)} }
		sellAtOnce(f, []string{exact}, 2, time.Second, read)
		recordAttempt(f, "vm9")
		f.world.Crash(service, "ledger-0")
		questions, calls := f.group.Questions(), f.world.Store.Calls()
		sellAtOnce(f, []string{exact, bounded}, 10, takeover.ExpireAfter-time.Second, read)
		questions, calls = f.group.Questions()-questions, f.world.Store.Calls()-calls
		t.Logf("questions %d, calls to the store %d", questions, calls)
		require.Less(t, questions, int64(3*4*2*5), "each VM asks each replica five times a second at most")
		require.Less(t, calls, 100)
		f.fair()
	})
}

// The VM that replaces a dead primary is killed before it has promoted anybody,
// and its process starts again at once. It finds its own record, and knows that
// nobody acts by it any more: the others would wait for it to lapse.
func TestRestartedHolderGoesOnSoon(t *testing.T) {
	play(t, 3, func(f *fleet) {
		c := f.session("vm1", exact)
		_, bought := buyUntil(f, c, time.Second)
		f.kill("vm0")
		f.again("vm0")
		time.Sleep(time.Second)
		go buyUntil(f, f.session("vm0", exact), time.Second)
		recordAttempt(f, "vm0")
		f.world.Crash(service, "ledger-0")
		gap, after := buyUntil(f, c, 7*time.Second)
		require.Less(t, gap, 3*time.Second)
		requireAll(f, f.session("vm2", exact), append(bought, after...))
		require.Equal(t, "vm0", f.world.Store.Duties()[0].Holder)
		f.fair()
	})
}

// The primary is dead for seconds before somebody may replace it, and its entry
// goes in that time. Nobody is believed to lead from then on; but it was dead
// before, and to wait for claims anew would keep passengers waiting. A VM takes an
// entry for gone some 2.5 s after the store has removed it.
func TestEntryOfADeadPrimaryGoes(t *testing.T) {
	play(t, 3, func(f *fleet) {
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
		f.fair()
	})
}
