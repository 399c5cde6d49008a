package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPurchaseIsReadAtAnotherVM(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		buyer := f.session("vm0", exact)
		bought := buyer.Query("WRITE pass7 paid")
		require.True(t, bought.OK(), "%+v", bought)
		reader := f.session("vm1", exact)
		seen := reader.Query("READ pass7")
		require.True(t, seen.OK(), "%+v", seen)
		require.Equal(t, []string{"paid"}, seen.Rows)
		f.checkInvariants()
	})
}

// Guards against: a session that does not see its own write. Its read may be served by a replica,
// which lags by 60 ms.
func TestSessionReadsItsOwnWrite(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		c := f.session("vm0", own)
		for range 20 {
			require.True(t, c.Query("WRITE pass1 renewed").OK())
			require.Equal(t, []string{"renewed"}, c.Query("READ pass1").Rows)
			require.True(t, c.Query("WRITE pass1 again").OK())
			require.Equal(t, []string{"again"}, c.Query("READ pass1").Rows)
		}
		f.checkInvariants()
	})
}

// Guards against: a session that reads data from before its own write at a lagging replica. The
// replica receives nothing for a while, but answers reads at once.
func TestOwnWriteIsNotReadAtALaggingReplica(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", own)
		require.True(t, c.Query("WRITE pass1 old").OK())
		require.True(t, c.Query("READ pass1").OK())
		time.Sleep(time.Second)
		f.group.SetReplicationCut("ledger-1", true)
		f.group.SetReplicationCut("ledger-2", false)
		for i := range 20 {
			value := fmt.Sprint("v", i)
			require.True(t, c.Query("WRITE pass1 "+value).OK())
			for range 4 {
				require.Equal(t, []string{value}, c.Query("READ pass1").Rows)
			}
		}
		f.checkInvariants()
	})
}

func TestTransactionKeepsAllOrNothing(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.Equal(t, "T", c.Query("BEGIN").State)
		require.True(t, c.Query("WRITE a 1").OK())
		require.True(t, c.Query("WRITE b 2").OK())
		require.Equal(t, "I", c.Query("ROLLBACK").State)
		require.Equal(t, []string{"none"}, c.Query("READ a").Rows)
		c.Query("BEGIN")
		c.Query("WRITE a 1")
		require.Equal(t, []string{"1"}, c.Query("READ a").Rows)
		require.True(t, c.Query("COMMIT").OK())
		require.Equal(t, []string{"1"}, c.Query("READ a").Rows)
		f.checkInvariants()
	})
}

// Guards against: sessions that share prepared statements or settings. Two sessions prepare
// different statements under the same name and set different values; on a shared connection one
// would run the other's statement.
func TestNamesAndValuesAreTheSessionsOwn(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		first, second := f.session("vm0", exact), f.session("vm0", exact)
		require.True(t, first.Query("PREPARE s WRITE qa").OK())
		require.True(t, second.Query("PREPARE s READ qb").OK())
		require.True(t, first.Query("SET lang ga").OK())
		for range 5 {
			require.True(t, first.Query("EXEC s pass3 paid").OK())
			require.Equal(t, []string{"paid"}, second.Query("EXEC s pass3").Rows)
		}
		require.True(t, first.Query("DEALLOC s").OK())
		require.Equal(t, "NOSTMT", first.Query("EXEC s pass3 paid").Code)
		f.checkInvariants()
	})
}

func TestUnknownDatabaseAndNewRoute(t *testing.T) {
	runFleet(t, 2, func(f *fleet) {
		_, refused := f.world.Open("consumer", f.vms["vm0"].addr, "nosuch")
		require.Equal(t, "NODB", refused.Code)
		routes := standardRoutes()
		routes[0].Database = "nosuch"
		f.world.SetRoutes(routes...)
		time.Sleep(100 * time.Millisecond)
		require.True(t, f.session("vm1", "nosuch").Query("READ x").OK())
		_, refused = f.world.Open("consumer", f.vms["vm0"].addr, exact)
		require.Equal(t, "NODB", refused.Code)
	})
}

// Guards against: malformed input of one session that affects another one. The sender must get a
// clear error.
func TestMalformedInputHurtsNobodyElse(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c, good := f.session("vm0", exact), f.session("vm0", exact)
		require.Equal(t, "MALFORMED", c.Query("EXPLODE now").Code)
		require.Equal(t, "MALFORMED", c.Query("COMMIT").Code)
		require.Equal(t, "MALFORMED", c.Send("HELLO\r\n").Code)
		require.True(t, good.Query("READ x").OK())
		require.True(t, c.Query("READ x").OK())
	})
}

// Guards against: a read that is refused as if the primary had been replaced, because the proof of its
// transaction was canceled as the write before it ended. Both replicas are unreachable, so that the
// proof takes longer than the write.
func TestReadAfterAWriteAwaitsTheProofOfItsTransaction(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		c := f.session("vm0", exact)
		for vm := range f.vms {
			f.world.Net.Cut(vm, "ledger-1")
			f.world.Net.Cut(vm, "ledger-2")
		}
		time.Sleep(time.Second)
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE a 1").OK())
		a := c.Query("READ a")
		require.True(t, a.OK(), "%+v", a)
		require.True(t, c.Query("COMMIT").OK())
		f.checkInvariants()
	})
}
