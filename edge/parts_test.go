package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against: the rest of a statement that arrives in two parts at a VM that shuts down is run as a
// statement of its own.
func TestStatementInPartsDuringShutdownRunsWhole(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		other, c := f.session("vm1", exact), f.session("vm0", exact)
		require.True(t, other.Query("WRITE account 100").OK())
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE visits 1").OK())
		f.vms["vm0"].stop()
		time.Sleep(2300 * time.Millisecond)
		require.NoError(t, c.SendPart("QUERY user WRITE note see "))
		time.Sleep(150 * time.Millisecond)
		require.True(t, c.Send("QUERY smuggled WRITE account 0\r\n").OK())
		require.True(t, c.Query("COMMIT").OK())
		require.Equal(t, []string{"100"}, other.Query("READ account").Rows)
		require.Equal(t, []string{"see QUERY smuggled WRITE account 0"}, other.Query("READ note").Rows)
		f.checkInvariants()
	})
}

// Guards against: a statement that arrives in two parts, with the transaction's idle timeout between
// them. Its rest is run as a statement of its own, after the transaction was ended.
func TestStatementInPartsAcrossTheIdleTimeoutIsNotCut(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE visits 1").OK())
		require.NoError(t, c.SendPart("QUERY user WRITE note see "))
		time.Sleep(time.Minute)
		a := c.Send("QUERY smuggled WRITE account 0\r\n")
		require.False(t, a.OK())
		require.False(t, a.Lost)
		require.Equal(t, []string{"none"}, f.session("vm0", exact).Query("READ account").Rows)
		f.checkInvariants()
	})
}

// Guards against: a line feed within a field ends a message, so that its rest is run as another.
func TestLineFeedInAFieldEndsNoMessage(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		c := f.session("vm0", exact)
		require.True(t, c.Query("WRITE note see\nQUERY smuggled WRITE account 0").OK())
		require.Equal(t, []string{"none"}, c.Query("READ account").Rows)
		require.Equal(t, []string{"see\nQUERY smuggled WRITE account 0"}, c.Query("READ note").Rows)
		f.checkInvariants()
	})
}
