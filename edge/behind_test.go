package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/takeover"
)

// runReaders has many consumers read for the given time, more than three slots can serve, while a
// few others write. It returns the outcomes of the readers.
func runReaders(f *fleet, readers int, during time.Duration) *outcomes {
	written := make(chan *outcomes)
	go func() {
		written <- runConsumers(f, []string{exact}, 1, during, func(i int) []string { return []string{fmt.Sprintf("WRITE i%d x", i)} })
	}()
	out := runConsumers(f, []string{bounded}, readers, during, func(i int) []string { return []string{fmt.Sprintf("READ i%d", i%5)} })
	<-written
	return out
}

// Guards against: a primary that is not replaced although its reads are late. Both replicas apply
// changes seconds late, so all bounded-staleness reads go to the primary, which can serve a third
// of them. Targets apply all outstanding changes when they are promoted: after the change another
// target leads, and the old primary serves reads too. No write is lost or left in doubt.
func TestPrimaryIsChangedWhileAllReplicasAreFarBehind(t *testing.T) {
	runFleetWith(t, 3, database.Options{Slots: 1}, func(f *fleet) {
		f.group.SetApplyDelay("ledger-1", 30*time.Second)
		f.group.SetApplyDelay("ledger-2", 30*time.Second)
		runReaders(f, 60, 20*time.Second)
		duties := f.world.Store.DesignationCalls()
		require.Len(t, duties, 1, "want exactly one change of primary")
		require.Equal(t, "replica", f.group.Server("ledger-0").Role(), "the old primary serves as a replica")
		f.checkInvariants()
	})
}

// Guards against: a needless change of primary that delays writers. The replicas are as far behind,
// but the primary can serve all reads.
func TestIdlePrimaryIsNotChangedForItsReplicas(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.group.SetApplyDelay("ledger-1", 30*time.Second)
		f.group.SetApplyDelay("ledger-2", 30*time.Second)
		runReaders(f, 2, 10*time.Second)
		require.Empty(t, f.world.Store.DesignationCalls())
		f.checkInvariants()
	})
}

// Guards against: a change of primary although one replica is up to date and serves the reads.
func TestPrimaryStaysWhileOneReplicaIsUpToDate(t *testing.T) {
	runFleetWith(t, 3, database.Options{Slots: 1}, func(f *fleet) {
		f.group.SetApplyDelay("ledger-1", 30*time.Second)
		runReaders(f, 60, 20*time.Second)
		require.Empty(t, f.world.Store.DesignationCalls())
		f.checkInvariants()
	})
}

// Guards against: a service without a primary after the VM that replaces a primary with late reads
// dies during its attempt. The old primary may already have stepped down. Another VM takes over
// once the attempt has expired, and no write is lost.
func TestHolderDiesWhileItReplacesAPrimaryWithLateReads(t *testing.T) {
	runFleetWith(t, 3, database.Options{Slots: 1}, func(f *fleet) {
		f.group.SetApplyDelay("ledger-1", 30*time.Second)
		f.group.SetApplyDelay("ledger-2", 30*time.Second)
		go func() {
			holder := ""
			for holder == "" {
				time.Sleep(time.Millisecond)
				holder = holderOf(f)
			}
			time.Sleep(150 * time.Millisecond)
			f.kill(holder)
		}()
		runReaders(f, 60, 14*time.Second)
		time.Sleep(takeover.ExpireAfter + 5*time.Second)
		alive := ""
		for name, v := range f.vms {
			if !v.killed.Load() {
				alive = name
			}
		}
		require.True(t, f.session(alive, exact).Query("WRITE after it").OK())
		f.checkInvariants()
	})
}

// holderOf returns the VM with an attempt under way; empty if there is none.
func holderOf(f *fleet) string {
	o, ok := f.world.Store.Get("endivemoor", "reign."+service)
	if !ok || !strings.Contains(string(o.Spec), "nonce") {
		return ""
	}
	for name := range f.vms {
		if strings.Contains(string(o.Spec), `"`+name+`"`) {
			return name
		}
	}
	return ""
}
