package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The answer to a purchase is lost. Whether it was made is not known, and the
// passenger's application must hear just that, and no promise.
func TestLostAnswerToAWriteIsInDoubt(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.True(t, c.Query("WRITE a 1").OK())
		f.group.LoseAnswers("ledger-0", 1)
		a := c.Query("WRITE a 2")
		require.Contains(t, []string{"INDOUBT", "TIMEOUT"}, a.Code)
		require.Equal(t, "I", a.State)
		require.Equal(t, []string{"2"}, c.Query("READ a").Rows)
		f.fair()
	})
}

// The answer to a statement within a transaction is lost. Its commit was never
// sent, so nothing is kept, and the caller may be told so and repeat it all.
func TestLostAnswerWithinATransactionAborts(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		require.True(t, c.Query("WRITE a 1").OK())
		f.group.LoseAnswers("ledger-0", 1)
		a := c.Query("WRITE b 1")
		require.Equal(t, "ABORTED", a.Code)
		require.Equal(t, "E", a.State)
		require.Equal(t, "MALFORMED", c.Query("READ a").Code)
		require.Equal(t, "I", c.Query("ROLLBACK").State)
		require.Equal(t, []string{"none"}, c.Query("READ a").Rows)
		f.fair()
	})
}

// The commit's answer is lost: a transaction that wrote is in doubt, one that
// only read may be repeated.
func TestLostAnswerToACommit(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		c.Query("WRITE a 1")
		f.group.LoseAnswers("ledger-0", 1)
		require.Contains(t, []string{"INDOUBT", "TIMEOUT"}, c.Query("COMMIT").Code)
		c.Query("BEGIN")
		require.True(t, c.Query("READ a").OK())
		f.group.LoseAnswers("ledger-0", 1)
		require.Equal(t, "ABORTED", c.Query("COMMIT").Code)
		f.fair()
	})
}

// A replica runs a read and its answer is lost. The reader gets the answer of
// another target, and waits for no time-out of its own.
func TestLostAnswerToAReadIsReadElsewhere(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", bounded)
		require.True(t, c.Query("READ a").OK())
		f.group.LoseAnswers("ledger-1", 1)
		f.group.LoseAnswers("ledger-2", 1)
		start := time.Now()
		require.True(t, c.Query("READ a").OK())
		require.True(t, c.Query("READ a").OK())
		require.Less(t, time.Since(start), 2*time.Second)
	})
}

// A consumer opens a transaction, writes and falls asleep. The transaction ends
// after the configured time, its connection serves others, and the consumer
// hears of it with its next statement.
func TestIdleTransactionEnds(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		require.True(t, c.Query("WRITE a 1").OK())
		time.Sleep(4 * time.Second)
		require.Equal(t, "ABORTED", c.Query("COMMIT").Code)
		require.Equal(t, "I", c.Query("ROLLBACK").State)
		require.Equal(t, []string{"none"}, c.Query("READ a").Rows)
	})
}

// A consumer leaves in the middle of a transaction. Nothing of it is kept.
func TestConsumerWhoLeavesKeepsNothing(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		require.True(t, c.Query("WRITE a 1").OK())
		c.Close()
		time.Sleep(time.Second)
		require.Equal(t, []string{"none"}, f.session("vm0", exact).Query("READ a").Rows)
	})
}

// A VM is stopped while a transaction is open and another session is idle. The
// transaction may end; the idle session is closed between operations.
func TestStoppedVMLetsTransactionsEnd(t *testing.T) {
	play(t, 2, func(f *fleet) {
		busy, idle := f.session("vm0", exact), f.session("vm0", exact)
		busy.Query("BEGIN")
		require.True(t, busy.Query("WRITE a 1").OK())
		f.vms["vm0"].stop()
		time.Sleep(2500 * time.Millisecond)
		require.True(t, idle.Query("READ a").Lost)
		require.True(t, busy.Query("COMMIT").OK())
		<-f.vms["vm0"].done
		require.Equal(t, []string{"1"}, f.session("vm1", exact).Query("READ a").Rows)
		_, there := f.world.Store.Get("endivemoor", "vm.vm0")
		require.False(t, there, "the entry of a VM that left is taken away")
	})
}

// The store drops its history while a configuration changes, and the watch
// hears nothing. The change must be in force within its bound all the same.
func TestConfigurationAfterADroppedHistory(t *testing.T) {
	play(t, 1, func(f *fleet) {
		routes := standardRoutes()
		routes[0].Database = "renamed"
		f.world.CutFromStore("vm0", true)
		f.world.SetRoutes(routes...)
		f.world.Store.DropHistory()
		f.world.CutFromStore("vm0", false)
		time.Sleep(3 * time.Second)
		require.True(t, f.session("vm0", "renamed").Query("READ a").OK())
	})
}

// Entries of targets lapse while the store is down, though the targets live.
// Sessions must not lose their service over it.
func TestLapsedEntriesCostNoService(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.True(t, c.Query("READ a").OK())
		for _, id := range []string{"ledger-0", "ledger-1", "ledger-2"} {
			f.world.Store.Remove("servers", id)
		}
		time.Sleep(time.Second)
		require.True(t, c.Query("READ a").OK())
	})
}
