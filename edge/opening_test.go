package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
)

// reopen restarts the only VM without the store, and opens a session at once.
func reopen(f *fleet, storeIsBack time.Duration) (consumer.Answer, time.Duration) {
	f.world.Store.SetDown(true)
	f.again("vm0")
	time.AfterFunc(storeIsBack, func() { f.world.Store.SetDown(false) })
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	_, a := f.world.Open("returning", f.addr("vm0"), own)
	return a, time.Since(began)
}

// All VMs were without power, and their consumers return at once. The store turns
// the first calls away, so that nobody knows the configuration yet. Told that there
// is no such database, a consumer would give up for good what works a moment later.
func TestReturningConsumersWaitForTheConfiguration(t *testing.T) {
	play(t, 1, func(f *fleet) {
		a, took := reopen(f, 100*time.Millisecond)
		require.Equal(t, "I", a.State, "startup: %+v", a)
		require.Less(t, took, 500*time.Millisecond)
		_, a = f.world.Open("lost", f.addr("vm0"), "nothing.example")
		require.Equal(t, "NODB", a.Code, "what the configuration does not name is still refused")
	})
}

// The store stays away. A consumer is told in time that nothing has run and that it
// may come back, well before it would leave by itself after two seconds.
func TestWithoutAConfigurationConsumersAreToldToComeBack(t *testing.T) {
	play(t, 1, func(f *fleet) {
		a, took := reopen(f, 4*time.Second)
		require.Equal(t, "BUSY", a.Code, "%+v", a)
		require.Contains(t, a.Text, "come back")
		require.Less(t, took, 1500*time.Millisecond)
	})
}
