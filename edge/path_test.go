package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPurchaseIsReadAtAnotherVM(t *testing.T) {
	play(t, 3, func(f *fleet) {
		buyer := f.session("vm0", exact)
		bought := buyer.Query("WRITE pass7 paid")
		require.True(t, bought.OK(), "%+v", bought)
		reader := f.session("vm1", exact)
		seen := reader.Query("READ pass7")
		require.True(t, seen.OK(), "%+v", seen)
		require.Equal(t, []string{"paid"}, seen.Rows)
		f.fair()
	})
}

// A session renews a pass and looks at it at once. Its read may go to a replica,
// but must see the session's own write, though replicas are 60 ms behind.
func TestSessionReadsItsOwnWrite(t *testing.T) {
	play(t, 2, func(f *fleet) {
		c := f.session("vm0", own)
		for range 20 {
			require.True(t, c.Query("WRITE pass1 renewed").OK())
			require.Equal(t, []string{"renewed"}, c.Query("READ pass1").Rows)
			require.True(t, c.Query("WRITE pass1 again").OK())
			require.Equal(t, []string{"again"}, c.Query("READ pass1").Rows)
		}
		f.fair()
	})
}

// One replica receives nothing for a while, and still answers reads at once. A
// session that has just written must not be shown what was there before.
func TestOwnWriteIsNotReadAtALaggingReplica(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c := f.session("vm0", own)
		require.True(t, c.Query("WRITE pass1 old").OK())
		require.True(t, c.Query("READ pass1").OK())
		time.Sleep(time.Second)
		f.group.SetDeaf("ledger-1", true)
		f.group.SetDeaf("ledger-2", false)
		for i := range 20 {
			value := fmt.Sprint("v", i)
			require.True(t, c.Query("WRITE pass1 "+value).OK())
			for range 4 {
				require.Equal(t, []string{value}, c.Query("READ pass1").Rows)
			}
		}
		f.fair()
	})
}

func TestTransactionKeepsAllOrNothing(t *testing.T) {
	play(t, 1, func(f *fleet) {
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
		f.fair()
	})
}

// Two passengers' sessions prepare different statements under the same name,
// and set different values. On a shared connection one would run the other's.
func TestNamesAndValuesAreTheSessionsOwn(t *testing.T) {
	play(t, 1, func(f *fleet) {
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
		f.fair()
	})
}

func TestUnknownDatabaseAndNewRoute(t *testing.T) {
	play(t, 2, func(f *fleet) {
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

// A consumer sends what breaks the protocol. It must get a clear error, and the
// session beside it nothing of it.
func TestMalformedInputHurtsNobodyElse(t *testing.T) {
	play(t, 1, func(f *fleet) {
		c, good := f.session("vm0", exact), f.session("vm0", exact)
		require.Equal(t, "MALFORMED", c.Query("EXPLODE now").Code)
		require.Equal(t, "MALFORMED", c.Query("COMMIT").Code)
		require.Equal(t, "MALFORMED", c.Send("HELLO\r\n").Code)
		require.True(t, good.Query("READ x").OK())
		require.True(t, c.Query("READ x").OK())
	})
}
