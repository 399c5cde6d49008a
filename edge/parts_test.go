package edge_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
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

// Guards against: a part of a statement that arrives in three parts, split anywhere and at any moment of a
// shutdown, is run as a statement of its own. One that the end of its transaction cuts off does not run at all.
func TestStatementInThreePartsDuringShutdownRunsWholeOrNot(t *testing.T) {
	const text, data = "QUERY user WRITE note see QUERY smuggled WRITE account 0\r\n", "see QUERY smuggled WRITE account 0"
	for _, sent := range []time.Duration{0, time.Second, 2290 * time.Millisecond, 2600 * time.Millisecond, 2950 * time.Millisecond} {
		runFleet(t, 3, func(f *fleet) {
			other := f.session("vm1", exact)
			require.True(t, other.Query("WRITE account 100").OK())
			c := make(map[int]*consumer.Session)
			for first := 1; first < len(text)-2; first += 7 {
				c[first] = f.session("vm0", exact)
				require.True(t, c[first].Query("BEGIN").OK())
			}
			f.vms["vm0"].stop()
			time.Sleep(sent)
			var wait sync.WaitGroup
			for first, session := range c {
				wait.Go(func() {
					second := first + (len(text)-first)/2
					if session.SendPart(text[:first]) != nil {
						return
					}
					time.Sleep(70 * time.Millisecond)
					if session.SendPart(text[first:second]) != nil {
						return
					}
					time.Sleep(70 * time.Millisecond)
					written := session.Send(text[second:]).OK()
					committed := written && session.Query("COMMIT").OK()
					require.True(t, committed || sent > 2600*time.Millisecond, "split at %d and %d", first, second)
				})
			}
			wait.Wait()
			require.Equal(t, []string{"100"}, other.Query("READ account").Rows)
			require.Contains(t, [][]string{{"none"}, {data}}, other.Query("READ note").Rows)
			f.checkInvariants()
		})
	}
}
