package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
)

// The operator publishes a dozen versions in quick succession before thirty VMs.
// Each VM must know the last one in time, and the store must not be called by
// each VM for each version: its rates do not grow with the fleet.
func TestManyVersionsBeforeManyVMs(t *testing.T) {
	play(t, 30, func(f *fleet) {
		time.Sleep(3 * time.Second)
		before := f.world.Store.Calls()
		var last string
		for i := range 12 {
			last = fmt.Sprint("extra", i)
			route := catalog.Route{Database: last, Service: service, Freshness: catalog.Exact, StatementTimeout: time.Second, Objective: time.Second}
			f.world.SetRoutes(append(standardRoutes(), route)...)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2800 * time.Millisecond)
		require.Less(t, f.world.Store.Calls()-before, 30*12/2)
		for name := range f.vms {
			f.session(name, last)
		}
	})
}

// Half of the VMs, the lookouts among them or not, are turned away by the store.
// A version that comes meanwhile is in force on all of them in time.
func TestVersionWhileHalfOfTheVMsAreTurnedAway(t *testing.T) {
	play(t, 30, func(f *fleet) {
		time.Sleep(3 * time.Second)
		for i := range 15 {
			f.world.CutFromStore(fmt.Sprintf("vm%d", i), true)
		}
		time.Sleep(500 * time.Millisecond)
		route := catalog.Route{Database: "extra", Service: service, Freshness: catalog.Exact, StatementTimeout: time.Second, Objective: time.Second}
		f.world.SetRoutes(append(standardRoutes(), route)...)
		time.Sleep(2900 * time.Millisecond)
		for name := range f.vms {
			f.session(name, "extra")
		}
	})
}

// The store is down for half a minute. Thirty VMs must not all go on calling
// it every second: it has to come back under that load. A version that
// is published then is in force everywhere in time, as the first call that succeeds lets all others go on.
func TestStoreThatIsDownIsCalledLittle(t *testing.T) {
	play(t, 30, func(f *fleet) {
		time.Sleep(3 * time.Second)
		f.world.Store.SetDown(true)
		before := f.world.Store.Calls()
		time.Sleep(30 * time.Second)
		calls := f.world.Store.Calls() - before
		t.Logf("calls %d", calls)
		require.Less(t, calls, 2000)
		f.world.Store.SetDown(false)
		route := catalog.Route{Database: "extra", Service: service, Freshness: catalog.Exact, StatementTimeout: time.Second, Objective: time.Second}
		f.world.SetRoutes(append(standardRoutes(), route)...)
		time.Sleep(2900 * time.Millisecond)
		for name := range f.vms {
			f.session(name, "extra")
		}
	})
}
