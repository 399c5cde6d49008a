package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against: a definite result for a write whose answer was lost. The outcome is unknown, and
// the consumer must receive exactly that.
func TestLostAnswerToAWriteIsInDoubt(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.True(t, c.Query("WRITE a 1").OK())
		f.group.LoseAnswers("ledger-0", 1)
		a := c.Query("WRITE a 2")
		require.Contains(t, []string{"INDOUBT", "TIMEOUT"}, a.Code)
		require.Equal(t, "I", a.State)
		require.Equal(t, []string{"2"}, c.Query("READ a").Rows)
		f.checkInvariants()
	})
}

// Guards against: an in-doubt result for a statement within a transaction whose answer was lost.
// The commit was never sent, so nothing is kept, and the consumer may repeat the whole transaction.
func TestLostAnswerWithinATransactionAborts(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
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
		f.checkInvariants()
	})
}

// If the answer to a commit is lost, a transaction that wrote is in doubt, and one that only read
// may be repeated.
func TestLostAnswerToACommit(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		c.Query("WRITE a 1")
		f.group.LoseAnswers("ledger-0", 1)
		require.Contains(t, []string{"INDOUBT", "TIMEOUT"}, c.Query("COMMIT").Code)
		c.Query("BEGIN")
		require.True(t, c.Query("READ a").OK())
		f.group.LoseAnswers("ledger-0", 1)
		require.Equal(t, "ABORTED", c.Query("COMMIT").Code)
		f.checkInvariants()
	})
}

// Guards against: a read that waits for its timeout after a replica's answer was lost. Another
// target answers it.
func TestLostAnswerToAReadIsReadElsewhere(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
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

// Guards against: an idle transaction that holds its connection. The transaction ends after the
// configured time, its connection serves others, and the consumer receives an error for its next
// statement.
func TestIdleTransactionEnds(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		require.True(t, c.Query("WRITE a 1").OK())
		time.Sleep(4 * time.Second)
		require.Equal(t, "ABORTED", c.Query("COMMIT").Code)
		require.Equal(t, "I", c.Query("ROLLBACK").State)
		require.Equal(t, []string{"none"}, c.Query("READ a").Rows)
	})
}

// Guards against: changes that are kept although the consumer disconnected in the middle of the
// transaction.
func TestConsumerWhoLeavesKeepsNothing(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		c.Query("BEGIN")
		require.True(t, c.Query("WRITE a 1").OK())
		c.Close()
		time.Sleep(time.Second)
		require.Equal(t, []string{"none"}, f.session("vm0", exact).Query("READ a").Rows)
	})
}

// Guards against: a stopped VM that aborts an open transaction or keeps an idle session. The
// transaction may end, and the idle session is closed between operations.
func TestStoppedVMLetsTransactionsEnd(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
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
		require.False(t, there, "a stopped VM removes its entry")
	})
}

// Guards against: a configuration that is late because the store dropped its history during the
// change and the watch missed it. The change must be in force within its bound.
func TestConfigurationAfterADroppedHistory(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
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

// Guards against: sessions that lose their service when the entries of running targets expire while
// the store is down.
func TestLapsedEntriesCostNoService(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.True(t, c.Query("READ a").OK())
		for _, id := range []string{"ledger-0", "ledger-1", "ledger-2"} {
			f.world.Store.Remove("servers", id)
		}
		time.Sleep(time.Second)
		require.True(t, c.Query("READ a").OK())
	})
}
