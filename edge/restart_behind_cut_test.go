package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
)

// splitWithOldPrimary cuts vm2 and the primary ledger-0 off from the rest of the
// fleet and from the store, and has the rest promote another target. ledger-1, which both sides reach
// and nothing replicates to, is paused for that. atPromotion is called once the promotion is ordered.
// It returns sessions of both sides.
func (f *fleet) splitWithOldPrimary(atPromotion func()) (c, behind *consumer.Session) {
	f.world.AddServer(service, "ledger-3", "b")
	time.Sleep(2 * time.Second)
	c, behind = f.session("vm0", exact), f.session("vm2", exact)
	require.True(f.t, c.Query("WRITE seat free").OK())
	f.group.SetReplicationCut("ledger-1", true) // another target has the longer log
	require.True(f.t, c.Query("WRITE seat held").OK())
	require.Equal(f.t, []string{"held"}, behind.Query("READ seat").Rows)
	f.isolate("vm2")
	f.world.Net.Cut("vm2", "ledger-2")
	f.world.Net.Cut("vm2", "ledger-3")
	f.world.Net.Cut("vm0", "ledger-0")
	f.world.Net.Cut("vm1", "ledger-0")
	f.group.SetReplicationCut("ledger-0", true)
	asked := make(chan bool)
	go func() {
		defer close(asked)
		buyUntil(f, c, 5*time.Second)
	}()
	for i := 0; len(f.world.Store.DesignationCalls()) == 0; i++ {
		require.Less(f.t, i, 10000, "no promotion was ordered")
		time.Sleep(time.Millisecond)
	}
	atPromotion()
	<-asked
	return c, behind
}

// requireNoStaleRead sells an item on one side and reads it for some seconds on the other.
func (f *fleet) requireNoStaleRead(c, behind *consumer.Session) {
	f.t.Helper()
	sold := ""
	for i := 0; i < 200 && sold == ""; i++ {
		if buyer := fmt.Sprint("buyer", i); c.Query("WRITE seat " + buyer).OK() {
			sold = buyer
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.NotEmpty(f.t, sold)
	for range 10 {
		a := behind.Query("READ seat")
		require.False(f.t, a.OK() && a.Rows[0] != sold, "%+v", a)
		time.Sleep(300 * time.Millisecond)
	}
	f.checkInvariants()
}

// Guards against: a replica that restarts behind a cut, after it was paused. It has lost the pause
// and is taken for a witness by a VM that learns of neither.
func TestReplicaThatRestartsBehindACutProvesNothing(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.requireNoStaleRead(f.splitWithOldPrimary(func() {
			f.world.Net.Cut("vm0", "ledger-1")
			f.world.Net.Cut("vm1", "ledger-1")
			f.world.Crash(service, "ledger-1")
			f.world.Restart(service, "ledger-1")
		}))
	})
}

// Guards against: a replica that is resumed after a promotion, and does not reach the new primary. A
// VM that learns of no promotion takes it for a witness.
func TestResumedReplicaThatDoesNotFollowProvesNothing(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.requireNoStaleRead(f.splitWithOldPrimary(func() {}))
	})
}
