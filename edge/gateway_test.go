package edge_test

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/target"
)

// runScarce runs a scenario on a deployment whose targets accept fewer connections than there are
// VMs, so that nine VMs share two gateways to each target.
func runScarce(t *testing.T, scenario func(f *fleet)) {
	runFleetWith(t, 9, database.Options{MaxConnections: 9}, scenario)
}

// scarceCatalog returns the part of the catalog of such a fleet that determines the assignment.
func scarceCatalog(f *fleet) *catalog.Catalog {
	c := &catalog.Catalog{Config: &catalog.Config{Services: map[string]*catalog.Service{service: {MaxConnections: 9}}}}
	for i := range len(f.vms) {
		c.VMs = append(c.VMs, catalog.VM{ID: fmt.Sprintf("vm%d", i), Zone: zones[i%len(zones)]})
	}
	return c
}

// splitByGateway returns the gateways to a target, and the VMs that use them.
func splitByGateway(f *fleet, id target.ID, zone string) (holders, others []string) {
	c := scarceCatalog(f)
	to := &catalog.Target{ID: id, Service: service, Zone: zone}
	for _, vm := range c.VMs {
		if gateways.NewAssignment(vm.ID, c).Share(to).Temporary {
			others = append(others, vm.ID)
		} else {
			holders = append(holders, vm.ID)
		}
	}
	return holders, others
}

// firstGateway returns the gateway that a VM uses for the primary.
func firstGateway(f *fleet, self string) string {
	return gateways.NewAssignment(self, scarceCatalog(f)).Route(&catalog.Target{ID: "ledger-0", Service: service, Zone: "a"}, "")[0].ID
}

// Guards against: VMs that are refused for lack of connections. Each target accepts nine
// connections for nine VMs, a tenth of them for the fleet's own status queries. All VMs serve
// writes, reads and transactions at once.
func TestScarceConnectionsServeAllVMs(t *testing.T) {
	runScarce(t, func(f *fleet) {
		var failed atomic.Int64
		var wait sync.WaitGroup
		for name := range f.vms {
			for _, db := range []string{exact, own, bounded} {
				c := f.session(name, db)
				wait.Add(1)
				go func() {
					defer wait.Done()
					for i := range 20 {
						item := name + db + strconv.Itoa(i)
						for _, text := range []string{"WRITE " + item + " paid", "BEGIN", "READ " + item, "COMMIT"} {
							if a := c.Query(text); !a.OK() {
								failed.Add(1)
								t.Logf("%s of %s: %+v", text, name, a)
							}
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
			}
		}
		wait.Wait()
		require.Zero(t, failed.Load())
		f.checkInvariants()
	})
}

// Guards against: a partly applied transaction or an unusable session after a gateway dies between
// two statements. The target rolls the transaction back when its connection ends, the consumer
// receives an error, and the next write uses another gateway.
func TestGatewayDiesWithinATransaction(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		c := f.session(others[0], exact)
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE seat taken").OK())
		f.kill(firstGateway(f, others[0]))
		a := c.Query("COMMIT")
		require.Contains(t, []string{"ABORTED", "INDOUBT"}, a.Code)
		require.Equal(t, "I", a.State)
		require.Equal(t, []string{"none"}, c.Query("READ seat").Rows)
		require.True(t, c.Query("WRITE seat taken").OK())
		f.checkInvariants()
	})
}

// Guards against: a wrong result for a write whose gateway became unreachable, and a second delay
// by the same gateway. It is unknown whether the target ran the write, and the consumer must
// receive exactly that; the next write does not wait for the unreachable VM.
func TestSilentGatewayLeavesAWriteInDoubt(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		via := firstGateway(f, others[0])
		c := f.session(others[0], exact)
		require.True(t, c.Query("WRITE a 1").OK())
		f.world.Net.Cut(others[0], via)
		require.Contains(t, []string{"INDOUBT", "TIMEOUT"}, c.Query("WRITE a 2").Code)
		start := time.Now()
		require.True(t, c.Query("WRITE a 3").OK())
		require.Less(t, time.Since(start), 300*time.Millisecond)
		require.Equal(t, []string{"3"}, c.Query("READ a").Rows)
		f.checkInvariants()
	})
}

// Guards against: connections that stay occupied by transactions of dead VMs, so that a few of them
// use up a target. The gateways roll these transactions back and reuse the connections.
func TestDeadVMsTransactionsEndAtTheGateway(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		var open []string
		for _, vm := range others[:3] {
			for range 2 {
				c := f.session(vm, exact)
				c.Query("BEGIN")
				require.True(t, c.Query("WRITE seat "+vm).OK())
			}
			open = append(open, vm)
		}
		for _, vm := range open {
			f.kill(vm)
		}
		time.Sleep(5 * time.Second)
		c := f.session(others[3], exact)
		require.Equal(t, []string{"none"}, c.Query("READ seat").Rows)
		var sold []*consumer.Session
		for range 4 {
			s := f.session(others[3], exact)
			s.Query("BEGIN")
			require.True(t, s.Query("WRITE seat4 x").OK(), "a connection is available")
			sold = append(sold, s)
		}
		for _, s := range sold {
			s.Query("ROLLBACK")
		}
		f.checkInvariants()
	})
}

// Guards against: a planned stop of a gateway that aborts an open transaction of another VM. The
// transaction ends as usual, and new work uses another gateway at once.
func TestLeavingGatewayLetsTransactionsEnd(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		c := f.session(others[0], exact)
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE seat taken").OK())
		f.vms[firstGateway(f, others[0])].stop()
		time.Sleep(time.Second)
		require.True(t, c.Query("WRITE seat2 taken").OK())
		require.True(t, c.Query("COMMIT").OK())
		require.True(t, c.Query("WRITE seat3 taken").OK())
		f.checkInvariants()
	})
}

// Guards against: a write that waited for a connection at the gateway in vain and is reported in
// doubt, as if the gateway had timed out. Idle transactions hold all connections to the target, so
// the write was never sent and the consumer must be told that it has not run.
func TestPurchaseThatWaitedInVainAtTheGatewayHasNotRun(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		for i := range 12 {
			c := f.session(others[i%len(others)], exact)
			c.Query("BEGIN")
			if !c.Query("WRITE seat" + strconv.Itoa(i) + " held").OK() {
				break
			}
		}
		a := f.session(others[0], exact).Query("WRITE seat taken")
		require.Equal(t, "BUSY", a.Code, "%+v", a)
		require.Contains(t, a.Text, "retry-after-ms=")
		f.checkInvariants()
	})
}

// Guards against: a status query to a replica for each write of a VM that writes rarely.
func TestSalesThroughGatewaysNeedFewQuestions(t *testing.T) {
	const vms, sales = 30, 8
	runFleetWith(t, vms, database.Options{MaxConnections: 20}, func(f *fleet) {
		var wait sync.WaitGroup
		var failed atomic.Int64
		before := f.group.StatusQueries()
		number := 0
		for name := range f.vms {
			c := f.session(name, exact)
			start := time.Duration(number) * 31 * time.Millisecond
			number++
			wait.Go(func() {
				time.Sleep(start)
				for i := range sales {
					if !c.Query("WRITE "+name+strconv.Itoa(i)+" paid").OK() || !c.Query("READ "+name+strconv.Itoa(i)).OK() {
						failed.Add(1)
					}
					time.Sleep(time.Second)
				}
			})
		}
		wait.Wait()
		require.Zero(t, failed.Load())
		queries := f.group.StatusQueries() - before
		t.Logf("%d status queries for %d statements", queries, 2*vms*sales)
		require.Less(t, queries, int64(2*vms*sales)/4)
		f.checkInvariants()
	})
}

// readPace sets how sessions read: how many reads each session makes and at which interval, and the
// stagger between the starts of sessions.
type readPace struct {
	reads             int
	interval, stagger time.Duration
	// slow is the duration from which a read counts as slow.
	slow time.Duration
}

// readConcurrently lets sessions read concurrently, and counts failed and slow reads.
func readConcurrently(sessions map[string]*consumer.Session, p readPace) (failed, slow int64) {
	var wait sync.WaitGroup
	var failures, slowReads atomic.Int64
	number := 0
	for _, session := range sessions {
		start := time.Duration(number) * p.stagger
		number++
		wait.Go(func() {
			time.Sleep(start)
			for range p.reads {
				sent := time.Now()
				if !session.Query("READ a").OK() {
					failures.Add(1)
				}
				if time.Since(sent) > p.slow {
					slowReads.Add(1)
				}
				time.Sleep(p.interval)
			}
		})
	}
	wait.Wait()
	return failures.Load(), slowReads.Load()
}

// Guards against: reads that wait for unreachable replicas, and a call to the store for each of
// these reads.
func TestSalesGoOnWhileReplicasAreOutOfReach(t *testing.T) {
	const vms, reads = 30, 10
	runFleetWith(t, vms, database.Options{MaxConnections: 20}, func(f *fleet) {
		sessions := make(map[string]*consumer.Session)
		for name := range f.vms {
			sessions[name] = f.session(name, exact)
			require.True(t, sessions[name].Query("READ a").OK())
			f.world.Net.Cut(name, "ledger-1")
			f.world.Net.Cut(name, "ledger-2")
		}
		time.Sleep(3 * time.Second)
		before := f.world.Store.Calls()
		failed, slow := readConcurrently(sessions, readPace{reads: reads, interval: time.Second, stagger: 31 * time.Millisecond, slow: 250 * time.Millisecond})
		calls := f.world.Store.Calls() - before
		t.Logf("%d failed, %d slow, %d calls", failed, slow, calls)
		require.Zero(t, failed)
		require.Less(t, slow, int64(vms*reads)/20)
		// Two gateways renew their witness at most three times a second each, in addition to the
		// watches of six VMs.
		require.Less(t, calls, 2*3*reads+6*3*reads)
		f.checkInvariants()
	})
}

// Guards against: an unreachable gateway that each VM has to detect by itself, again after each
// backoff.
func TestUnreachableGatewayIsReportedToOtherVMs(t *testing.T) {
	const vms, rounds = 30, 60
	runFleetWith(t, vms, database.Options{MaxConnections: 20}, func(f *fleet) {
		sessions := make(map[string]*consumer.Session)
		c := &catalog.Catalog{Config: &catalog.Config{Services: map[string]*catalog.Service{service: {MaxConnections: 20}}}}
		for name, vm := range f.vms {
			sessions[name] = f.session(name, exact)
			require.True(t, sessions[name].Query("READ a").OK())
			c.VMs = append(c.VMs, catalog.VM{ID: name, Zone: vm.zone})
		}
		primary := &catalog.Target{ID: "ledger-0", Service: service, Zone: "a"}
		unreachable := gateways.Choose(primary, c.VMs, 2)[0].ID
		for name := range f.vms {
			if name != unreachable {
				f.world.Net.Cut(name, unreachable)
			}
		}
		delete(sessions, unreachable)
		failed, slow := readConcurrently(sessions, readPace{reads: rounds, interval: 100 * time.Millisecond, stagger: 7 * time.Millisecond, slow: 100 * time.Millisecond})
		t.Logf("%d slow, %d failed", slow, failed)
		require.Zero(t, failed)
		require.Less(t, slow, int64(vms), "fewer slow reads than one for each VM")
		f.checkInvariants()
	})
}

// Guards against: an outdated exact read at a VM that is partitioned together with its gateway and
// a superseded primary.
func TestCutOffGatewayProvesNothingForLong(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		reader := others[0]
		gateway := firstGateway(f, reader)
		seller := ""
		for name := range f.vms {
			if name != reader && name != gateway {
				seller = name
			}
		}
		c, alone := f.session(seller, exact), f.session(reader, exact)
		require.True(t, c.Query("WRITE seat 0").OK())
		require.Equal(t, []string{"0"}, alone.Query("READ seat").Rows)
		for _, cut := range []string{reader, gateway} {
			f.world.CutFromStore(cut, true)
			for other := range f.vms {
				if other != reader && other != gateway {
					f.world.Net.Cut(cut, other)
				}
			}
		}
		f.group.SetReplicationCut("ledger-0", true)
		var sold atomic.Int64
		end := time.Now().Add(8 * time.Second)
		var wait sync.WaitGroup
		wait.Go(func() {
			for n := int64(1); time.Now().Before(end); n++ {
				if c.Query("WRITE seat " + strconv.FormatInt(n, 10)).OK() {
					sold.Store(n)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		read := 0
		for time.Now().Before(end) {
			before := sold.Load()
			if a := alone.Query("READ seat"); a.OK() {
				read++
				seen, err := strconv.ParseInt(a.Rows[0], 10, 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, seen, before, "an outdated read was accepted as exact")
			}
			time.Sleep(10 * time.Millisecond)
		}
		wait.Wait()
		require.Positive(t, read)
		require.Positive(t, sold.Load(), "another target confirmed writes")
		require.NotEqual(t, "ledger-0", f.group.Leader())
		f.checkInvariants()
	})
}
