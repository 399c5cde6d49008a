package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/database"
)

// requireSales runs a scenario under load and checks that no promise to a consumer is broken, that
// writes succeed afterwards, and that they pause for less than the given time.
func (f *fleet) requireSales(pause time.Duration, during func()) {
	f.t.Helper()
	load := f.traffic()
	time.Sleep(2 * time.Second)
	during()
	before := load.AckedWrites()
	time.Sleep(2 * time.Second)
	require.Greater(f.t, load.AckedWrites(), before, "no write succeeded after the restore")
	broken, _, gap := load.End()
	require.Empty(f.t, broken)
	require.Less(f.t, gap, pause)
	f.checkInvariants()
}

// Guards against: a fleet that relies on lists, watches and evidence from before a restore of the
// store.
func TestRestoredStoreStopsNoSales(t *testing.T) {
	for _, vms := range fleetSizes(3, 30) {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			runFleet(t, vms, func(f *fleet) {
				f.requireSales(2*time.Second, func() {
					f.world.RestoreStore(200*time.Millisecond, 3*time.Second)
					time.Sleep(8 * time.Second)
				})
			})
		})
	}
}

// Guards against: concurrent promotion attempts, or a promotion based on an invalid record, if the
// store loses an attempt at any of its steps.
func TestStoreRestoredAtEveryStepOfAnAttempt(t *testing.T) {
	every := 100 * time.Millisecond * raceDivisor
	ages := []time.Duration{600 * time.Millisecond, 3 * time.Second}
	for i := range 16 / raceDivisor {
		after, age := time.Duration(i)*every, ages[i%len(ages)]
		t.Run(fmt.Sprint(after, " ", age), func(t *testing.T) {
			runFleet(t, 6, func(f *fleet) {
				f.requireSales(15*time.Second, func() {
					f.world.Crash(service, "ledger-0")
					time.Sleep(after)
					f.world.RestoreStore(100*time.Millisecond, age)
					time.Sleep(12 * time.Second)
				})
			})
		})
	}
}

// Guards against: VMs cut off from the new primary that prove the old one by a record that the
// store has restored from before the change.
func TestOldRecordProvesNothing(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		f.requireSales(15*time.Second, func() {
			f.world.Net.Cut("vm0", "ledger-1")
			f.world.Net.Cut("vm0", "ledger-2")
			for _, other := range []string{"vm1", "vm2", "vm3", "vm4", "vm5", "ledger-1", "ledger-2"} {
				f.world.Net.Cut(other, "ledger-0")
			}
			time.Sleep(2 * time.Second)
			f.world.RestoreStore(100*time.Millisecond, 4*time.Second)
			time.Sleep(4 * time.Second)
			f.world.Net.HealAll()
			time.Sleep(8 * time.Second)
		})
	})
}

// Guards against: a second restore of the store before the first one has been handled.
func TestStoreRestoredTwiceWithinASecond(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		f.requireSales(15*time.Second, func() {
			f.world.Crash(service, "ledger-0")
			time.Sleep(500 * time.Millisecond)
			f.world.RestoreStore(50*time.Millisecond, 2*time.Second)
			time.Sleep(400 * time.Millisecond)
			f.world.RestoreStore(50*time.Millisecond, 3*time.Second)
			time.Sleep(12 * time.Second)
		})
		require.EqualValues(t, 3, f.world.Store.Era())
	})
}

// Guards against: VMs that do not detect the restore themselves, or start during it.
func TestStoreRestoredWhileVMsAreTurnedAwayOrStart(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		f.requireSales(15*time.Second, func() {
			f.world.CutFromStore("vm0", true)
			f.world.CutFromStore("vm1", true)
			f.kill("vm2")
			f.world.RestoreStore(300*time.Millisecond, 4*time.Second)
			f.restartVM("vm2")
			f.world.Crash(service, "ledger-0")
			time.Sleep(10 * time.Second)
			f.world.CutFromStore("vm0", false)
			f.world.CutFromStore("vm1", false)
			time.Sleep(2 * time.Second)
		})
	})
}

// Guards against: a VM whose entry the store has lost and that stays unknown to the others.
func TestEntryLostByTheStoreIsWrittenAgain(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.start("vm3", "a", 4)
		time.Sleep(time.Second)
		f.world.RestoreStore(100*time.Millisecond, 2*time.Second)
		_, there := f.world.Store.Get("endivemoor", "vm.vm3")
		require.False(t, there, "the restored copy is from before the write")
		time.Sleep(2 * time.Second)
		_, there = f.world.Store.Get("endivemoor", "vm.vm3")
		require.True(t, there)
		f.checkInvariants()
	})
}

// Guards against: leadership records that stay lost, so that no record proves anything.
func TestRecordLostByTheStoreIsWrittenAgainByOneVM(t *testing.T) {
	runFleetWith(t, 6, database.Options{}, func(f *fleet) {
		load := f.traffic()
		time.Sleep(time.Second)
		f.world.Crash(service, "ledger-0")
		time.Sleep(3 * time.Second)
		f.world.Restart(service, "ledger-0")
		time.Sleep(time.Second)
		require.NotEqual(t, "ledger-0", f.group.Leader())
		f.world.RestoreStore(100*time.Millisecond, 10*time.Second)
		_, there := f.world.Store.Get("endivemoor", "reign."+service)
		require.False(t, there, "the restored copy is from before the write")
		writes := len(f.world.Store.DesignationCalls())
		time.Sleep(9 * time.Second)
		o, there := f.world.Store.Get("endivemoor", "reign."+service)
		require.True(t, there)
		require.Contains(t, string(o.Spec), f.group.Leader())
		require.Contains(t, string(o.Spec), `"era":2`)
		require.Len(t, f.world.Store.DesignationCalls(), writes, "no target is promoted")
		broken, _, _ := load.End()
		require.Empty(t, broken)
		f.checkInvariants()
	})
}

// Guards against: a configuration or a revoked key that reverts to an older state with the store.
func TestConfigurationDoesNotGoBackWithTheStore(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.publishWorkspaces(workspace("north", "n1", "n2"))
		c := f.admittedSession("n1", "vm0", exact)
		time.Sleep(2 * time.Second)
		f.publishWorkspaces(workspace("north", "n2"))
		f.world.RestoreStore(100*time.Millisecond, 3*time.Second)
		for range 10 {
			_, a := f.openAs("n1", "vm1", exact)
			require.Equal(t, "NOAUTH", a.Code)
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, "NOAUTH", c.Query("READ a").Code)
		f.checkWorkspaces()
	})
}

// Guards against: a restore that costs the store more calls than its rates allow.
func TestRestoredStoreIsCalledLittle(t *testing.T) {
	vms := fleetSizes(9, 30)[len(fleetSizes(9, 30))-1]
	runFleet(t, vms, func(f *fleet) {
		load := f.traffic()
		time.Sleep(3 * time.Second)
		f.world.RestoreStore(200*time.Millisecond, 2*time.Second)
		before := f.world.Store.Calls()
		time.Sleep(3 * time.Second)
		calls := f.world.Store.Calls() - before
		t.Logf("%d calls in 3 s at %d VMs", calls, vms)
		require.Less(t, calls, 10*vms)
		load.End()
		f.checkInvariants()
	})
}
