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

// scarce is a deployment whose targets take fewer connections than there are
// VMs, so that nine VMs share two gateways to each target.
func scarce(t *testing.T, scenario func(f *fleet)) {
	playOn(t, 9, database.Options{MaxConnections: 9}, scenario)
}

// scarceCatalog is what every VM of such a fleet knows that its plan goes by.
func scarceCatalog(f *fleet) *catalog.Catalog {
	c := &catalog.Catalog{Config: &catalog.Config{Services: map[string]*catalog.Service{service: {MaxConnections: 9}}}}
	for i := range len(f.vms) {
		c.VMs = append(c.VMs, catalog.VM{ID: fmt.Sprintf("vm%d", i), Zone: zones[i%len(zones)]})
	}
	return c
}

// roles returns the gateways to a target, and the VMs that go through them.
func roles(f *fleet, id target.ID, zone string) (holders, others []string) {
	c := scarceCatalog(f)
	to := &catalog.Target{ID: id, Service: service, Zone: zone}
	for _, vm := range c.VMs {
		if gateways.NewPlan(vm.ID, c).Share(to).Lent {
			others = append(others, vm.ID)
		} else {
			holders = append(holders, vm.ID)
		}
	}
	return holders, others
}

// firstGateway returns the gateway that a VM uses for the primary.
func firstGateway(f *fleet, self string) string {
	return gateways.NewPlan(self, scarceCatalog(f)).Route(&catalog.Target{ID: "ledger-0", Service: service, Zone: "a"}, "")[0].ID
}

// Nine VMs stand before targets that take nine connections each, a tenth of them
// for the fleet's own questions. All VMs serve purchases, reads and transactions
// at once, and none is turned away for want of a connection.
func TestScarceConnectionsServeAllVMs(t *testing.T) {
	scarce(t, func(f *fleet) {
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
		f.fair()
	})
}

// A VM sells through a gateway that dies between two statements of the
// transaction. The target rolls it back as its connection ends; the consumer is
// told that nothing was kept, and the next sale goes through another VM.
func TestGatewayDiesWithinATransaction(t *testing.T) {
	scarce(t, func(f *fleet) {
		_, others := roles(f, "ledger-0", "a")
		c := f.session(others[0], exact)
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE seat taken").OK())
		f.kill(firstGateway(f, others[0]))
		a := c.Query("COMMIT")
		require.Contains(t, []string{"ABORTED", "INDOUBT"}, a.Code)
		require.Equal(t, "I", a.State)
		require.Equal(t, []string{"none"}, c.Query("READ seat").Rows)
		require.True(t, c.Query("WRITE seat taken").OK())
		f.fair()
	})
}

// A gateway falls silent while a purchase is on its way through it. Whether the
// target ran it is not known, and the consumer must hear just that; the next one
// need not wait for the silent VM.
func TestSilentGatewayLeavesAWriteInDoubt(t *testing.T) {
	scarce(t, func(f *fleet) {
		_, others := roles(f, "ledger-0", "a")
		via := firstGateway(f, others[0])
		c := f.session(others[0], exact)
		require.True(t, c.Query("WRITE a 1").OK())
		f.world.Net.Cut(others[0], via)
		require.Contains(t, []string{"INDOUBT", "TIMEOUT"}, c.Query("WRITE a 2").Code)
		start := time.Now()
		require.True(t, c.Query("WRITE a 3").OK())
		require.Less(t, time.Since(start), 300*time.Millisecond)
		require.Equal(t, []string{"3"}, c.Query("READ a").Rows)
		f.fair()
	})
}

// A VM dies in the middle of transactions that are open at its gateways. They
// are rolled back there, and the connections serve others again: were they kept,
// a handful of dead VMs would leave a target without any.
func TestDeadVMsTransactionsEndAtTheGateway(t *testing.T) {
	scarce(t, func(f *fleet) {
		_, others := roles(f, "ledger-0", "a")
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
			require.True(t, s.Query("WRITE seat4 x").OK(), "a connection is free")
			sold = append(sold, s)
		}
		for _, s := range sold {
			s.Query("ROLLBACK")
		}
		f.fair()
	})
}

// A gateway is stopped as planned while a consumer of another VM rests between
// two statements of a transaction. The transaction ends as usual, and new work
// goes elsewhere at once.
func TestLeavingGatewayLetsTransactionsEnd(t *testing.T) {
	scarce(t, func(f *fleet) {
		_, others := roles(f, "ledger-0", "a")
		c := f.session(others[0], exact)
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("WRITE seat taken").OK())
		f.vms[firstGateway(f, others[0])].stop()
		time.Sleep(time.Second)
		require.True(t, c.Query("WRITE seat2 taken").OK())
		require.True(t, c.Query("COMMIT").OK())
		require.True(t, c.Query("WRITE seat3 taken").OK())
		f.fair()
	})
}

// All connections to a target are held by transactions whose consumers rest, and
// a purchase waits for one at the gateway in vain. It was never sent: its consumer
// must hear that it has not run, and not that it is in doubt, as if the gateway
// had not answered in time.
func TestPurchaseThatWaitedInVainAtTheGatewayHasNotRun(t *testing.T) {
	scarce(t, func(f *fleet) {
		_, others := roles(f, "ledger-0", "a")
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
		f.fair()
	})
}

// Guards against a question to a replica for each sale of a VM that sells seldom.
func TestSalesThroughGatewaysNeedFewQuestions(t *testing.T) {
	const vms, sales = 30, 8
	playOn(t, vms, database.Options{MaxConnections: 20}, func(f *fleet) {
		var wait sync.WaitGroup
		var failed atomic.Int64
		before := f.group.Questions()
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
		asked := f.group.Questions() - before
		t.Logf("%d questions for %d statements", asked, 2*vms*sales)
		require.Less(t, asked, int64(2*vms*sales)/4)
		f.fair()
	})
}

// paced is how sessions read: each so often, one begins apart from the next.
type paced struct {
	reads        int
	every, apart time.Duration
	// slow is how long a read takes at least that counts as slow.
	slow time.Duration
}

// readByTurns lets sessions read beside each other, and counts reads that failed and
// that were slow.
func readByTurns(sessions map[string]*consumer.Session, p paced) (failed, slow int64) {
	var wait sync.WaitGroup
	var failures, late atomic.Int64
	number := 0
	for _, session := range sessions {
		start := time.Duration(number) * p.apart
		number++
		wait.Go(func() {
			time.Sleep(start)
			for range p.reads {
				sent := time.Now()
				if !session.Query("READ a").OK() {
					failures.Add(1)
				}
				if time.Since(sent) > p.slow {
					late.Add(1)
				}
				time.Sleep(p.every)
			}
		})
	}
	wait.Wait()
	return failures.Load(), late.Load()
}

// Guards against reads that wait for silent replicas, and a call to the store for each of them.
func TestSalesGoOnWhileReplicasAreOutOfReach(t *testing.T) {
	const vms, reads = 30, 10
	playOn(t, vms, database.Options{MaxConnections: 20}, func(f *fleet) {
		sessions := make(map[string]*consumer.Session)
		for name := range f.vms {
			sessions[name] = f.session(name, exact)
			require.True(t, sessions[name].Query("READ a").OK())
			f.world.Net.Cut(name, "ledger-1")
			f.world.Net.Cut(name, "ledger-2")
		}
		time.Sleep(3 * time.Second)
		before := f.world.Store.Calls()
		failed, slow := readByTurns(sessions, paced{reads: reads, every: time.Second, apart: 31 * time.Millisecond, slow: 250 * time.Millisecond})
		calls := f.world.Store.Calls() - before
		t.Logf("%d failed, %d slow, %d calls", failed, slow, calls)
		require.Zero(t, failed)
		require.Less(t, slow, int64(vms*reads)/20)
		// Two gateways renew their witness at most three times a second each, beside
		// the watches of six VMs.
		require.Less(t, calls, 2*3*reads+6*3*reads)
		f.fair()
	})
}

// Guards against a silent gateway that each VM finds out about by itself, again after each pause.
func TestOneVMsExperienceSparesTheOthers(t *testing.T) {
	const vms, rounds = 30, 60
	playOn(t, vms, database.Options{MaxConnections: 20}, func(f *fleet) {
		sessions := make(map[string]*consumer.Session)
		c := &catalog.Catalog{Config: &catalog.Config{Services: map[string]*catalog.Service{service: {MaxConnections: 20}}}}
		for name, vm := range f.vms {
			sessions[name] = f.session(name, exact)
			require.True(t, sessions[name].Query("READ a").OK())
			c.VMs = append(c.VMs, catalog.VM{ID: name, Zone: vm.zone})
		}
		primary := &catalog.Target{ID: "ledger-0", Service: service, Zone: "a"}
		silent := gateways.Choose(primary, c.VMs, 2)[0].ID
		for name := range f.vms {
			if name != silent {
				f.world.Net.Cut(name, silent)
			}
		}
		delete(sessions, silent)
		failed, slow := readByTurns(sessions, paced{reads: rounds, every: 100 * time.Millisecond, apart: 7 * time.Millisecond, slow: 100 * time.Millisecond})
		t.Logf("%d slow, %d failed", slow, failed)
		require.Zero(t, failed)
		require.Less(t, slow, int64(vms), "not once for each VM")
		f.fair()
	})
}

// Guards against a stale exact read at a VM that is cut off together with its gateway and a superseded primary.
func TestCutOffGatewayProvesNothingForLong(t *testing.T) {
	scarce(t, func(f *fleet) {
		_, others := roles(f, "ledger-0", "a")
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
		f.group.SetDeaf("ledger-0", true)
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
				require.GreaterOrEqual(t, seen, before, "a stale read was proven")
			}
			time.Sleep(10 * time.Millisecond)
		}
		wait.Wait()
		require.Positive(t, read)
		require.Positive(t, sold.Load(), "another target leads")
		require.NotEqual(t, "ledger-0", f.group.Leader())
		f.fair()
	})
}
