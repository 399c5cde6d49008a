package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/workspaces"
)

func limitedTo(rate float64, name string, keys ...string) workspaces.Workspace {
	return workspaces.Workspace{Name: name, Keys: keys, Rate: rate, Burst: rate}
}

// callers counts the results of a workspace's operations.
type callers struct {
	db                      string
	served, refused, failed atomic.Int64
	wait                    sync.WaitGroup
	stop                    chan struct{}
}

// sendOperations sends operations with a key at a rate a second, at each of the VMs in turn, until
// end is called.
func (f *fleet) sendOperations(key string, rate float64, vms ...string) *callers {
	return f.sendOperationsTo(bounded, key, rate, vms...)
}

// sendOperationsTo sends operations to a route's database.
func (f *fleet) sendOperationsTo(db, key string, rate float64, vms ...string) *callers {
	c := &callers{db: db, stop: make(chan struct{})}
	for i, vm := range vms {
		c.wait.Go(func() {
			every := time.Duration(float64(time.Second) * float64(len(vms)) / rate)
			time.Sleep(every * time.Duration(i) / time.Duration(len(vms)))
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					c.wait.Go(func() { c.runOne(f, key, vm) })
				case <-c.stop:
					return
				}
			}
		})
	}
	return c
}

func (c *callers) runOne(f *fleet, key, vm string) {
	s, a := f.openAs(key, vm, c.db)
	if s == nil || a.State != "I" {
		c.failed.Add(1)
		return
	}
	defer s.Close()
	a = s.Query("READ a")
	switch {
	case a.OK():
		c.served.Add(1)
	case a.Code == "BUSY" && strings.Contains(a.Text, "limit"):
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

func (c *callers) end() (served, refused, failed int64) {
	close(c.stop)
	c.wait.Wait()
	return c.served.Load(), c.refused.Load(), c.failed.Load()
}

func vmNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("vm%d", i))
	}
	return out
}

// Guards against: a flood that gets more or less than its limit, or affects another workspace's
// service.
func TestFloodGetsItsLimitAndNoMore(t *testing.T) {
	for _, vms := range fleetSizes(9, 30) {
		runFleet(t, vms, func(f *fleet) {
			f.publishWorkspaces(limitedTo(20, "hot", "h"), limitedTo(20, "calm", "c"))
			hot, calm := f.sendOperations("h", 150, vmNames(vms)...), f.sendOperations("c", 12, vmNames(vms)...)
			time.Sleep(10 * time.Second)
			served, refused, failed := hot.end()
			require.GreaterOrEqual(t, served, int64(200), "10 s at 20 a second")
			require.Positive(t, refused)
			require.Zero(t, failed)
			served, refused, failed = calm.end()
			require.Zero(t, refused+failed, "of %d", served)
			f.checkWorkspaces()
		})
	}
}

// Guards against: a flood at one VM that is admitted there without the rest of the fleet.
func TestFloodAtOneVM(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		f.publishWorkspaces(limitedTo(20, "hot", "h"))
		hot := f.sendOperations("h", 150, "vm3")
		time.Sleep(10 * time.Second)
		served, _, _ := hot.end()
		require.GreaterOrEqual(t, served, int64(200))
		f.checkWorkspaces()
	})
}

// Guards against: a burst that is granted again at every start of the fleet.
func TestRestartedFleetGrantsNoSecondBurst(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		f.publishWorkspaces(limitedTo(40, "hot", "h"))
		hot := f.sendOperations("h", 300, vmNames(9)...)
		for range 3 {
			time.Sleep(1500 * time.Millisecond)
			for _, name := range vmNames(9) {
				f.kill(name)
			}
			for _, name := range vmNames(9) {
				f.restartVM(name)
			}
		}
		time.Sleep(5 * time.Second)
		hot.end()
		f.checkWorkspaces()
	})
}

// Guards against: a lowered limit that some VMs receive too late.
func TestLoweredLimitBindsWhileVMsAreTurnedAway(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		f.publishWorkspaces(limitedTo(60, "hot", "h"))
		hot := f.sendOperations("h", 100, vmNames(9)...)
		time.Sleep(3 * time.Second)
		for _, name := range vmNames(3) {
			f.world.CutFromStore(name, true)
		}
		f.world.SetWorkspaces(limitedTo(5, "hot", "h"))
		time.Sleep(15 * time.Second)
		hot.end()
		for _, name := range vmNames(3) {
			f.world.CutFromStore(name, false)
		}
		f.checkWorkspaces()
	})
}

// Guards against: VMs that admit operations on their own because they reach no owner of a limit,
// and operations that wait in vain there.
func TestVMsThatReachNoOwnerRefuseAtOnce(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		f.publishWorkspaces(limitedTo(20, "hot", "h"))
		f.isolate("vm4")
		time.Sleep(time.Second)
		alone := f.sendOperations("h", 50, "vm4")
		time.Sleep(3 * time.Second)
		served, refused, failed := alone.end()
		require.LessOrEqual(t, served, int64(30), "at most the third of the limit that this VM may own")
		require.Greater(t, refused, 9*failed, "nearly all operations are refused at once")
		f.checkWorkspaces()
	})
}

// Guards against: workspaces without an owner while VMs whose entries the store has lost rewrite
// them.
func TestRestoreThatLosesAllVMsRefusesNobody(t *testing.T) {
	runFleet(t, 9, func(f *fleet) {
		f.publishWorkspaces(limitedTo(100, "calm", "c"))
		calm := f.sendOperations("c", 60, vmNames(9)...)
		time.Sleep(time.Second)
		f.world.RestoreStore(100*time.Millisecond, 20*time.Second)
		time.Sleep(6 * time.Second)
		served, refused, _ := calm.end()
		require.Zero(t, refused, "of %d", served)
		f.checkWorkspaces()
	})
}
