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
	f.restartVM("vm0")
	time.AfterFunc(storeIsBack, func() { f.world.Store.SetDown(false) })
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	_, a := f.world.Open("returning", f.addr("vm0"), own)
	return a, time.Since(began)
}

// Guards against: consumers that are refused for good because they reconnect before a VM has its
// configuration. After a power loss of all VMs the store refuses the first calls. A consumer that
// receives "no such database" would give up for good, although the database becomes available
// shortly afterwards.
func TestReturningConsumersWaitForTheConfiguration(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		a, took := reopen(f, 100*time.Millisecond)
		require.Equal(t, "I", a.State, "startup: %+v", a)
		require.Less(t, took, 500*time.Millisecond)
		_, a = f.world.Open("lost", f.addr("vm0"), "nothing.example")
		require.Equal(t, "NODB", a.Code, "a database without a route is still refused")
	})
}

// Guards against: consumers that time out because the store stays down. A consumer must receive
// that nothing has run and that it may retry, well before it disconnects by itself after two
// seconds.
func TestWithoutAConfigurationConsumersAreToldToComeBack(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		a, took := reopen(f, 4*time.Second)
		require.Equal(t, "BUSY", a.Code, "%+v", a)
		require.Contains(t, a.Text, "come back")
		require.Less(t, took, 1500*time.Millisecond)
	})
}
