package edge_test

import (
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
)

// callerBudget is the time that a consumer of the exact route has: its statement timeout.
const callerBudget = 800 * time.Millisecond

var retryAfterText = regexp.MustCompile(`^retry-after-ms=(\d+) `)

// caller is a consumer that tries up to three times within its budget, at one VM after the other,
// and returns when it is told to.
type caller struct {
	served  bool
	took    time.Duration
	refused []consumer.Answer
}

func call(sessions []*consumer.Session, text string) caller {
	var c caller
	begun := time.Now()
	for _, at := range sessions {
		a := at.Query(text)
		c.took = time.Since(begun)
		if a.OK() || a.Code != "BUSY" {
			c.served = a.OK() && c.took <= callerBudget
			return c
		}
		c.refused = append(c.refused, a)
		after := retryAfterText.FindStringSubmatch(a.Text)
		if after == nil {
			return c
		}
		wait, _ := strconv.Atoi(after[1])
		if c.took+time.Duration(wait)*time.Millisecond >= callerBudget {
			return c
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
	return c
}

// startCallers starts a caller at each interval and returns all results.
func startCallers(count int, interval time.Duration, each func(n int) caller) []caller {
	out := make([]caller, count)
	var wait sync.WaitGroup
	for n := range count {
		wait.Go(func() { out[n] = each(n) })
		time.Sleep(interval)
	}
	wait.Wait()
	return out
}

func countServed(all []caller) int {
	served := 0
	for _, c := range all {
		if c.served {
			served++
		}
	}
	return served
}

// Guards against: consumers of a VM on the wrong side of a partition, who are answered when they have
// no time left for another VM. The VM and its gateway reach nothing but the old primary, which
// nothing proves to lead.
func TestCallersOfACutOffVMAreServedElsewhere(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		reader, gateway := others[0], firstGateway(f, others[0])
		elsewhere := ""
		for name := range f.vms {
			if name != reader && name != gateway {
				elsewhere = name
			}
		}
		require.True(t, f.session(elsewhere, exact).Query("WRITE a paid").OK())
		for _, cut := range []string{reader, gateway} {
			f.world.CutFromStore(cut, true)
			for other := range f.vms {
				if other != reader && other != gateway {
					f.world.Net.Cut(cut, other)
				}
			}
			f.world.Net.Cut(cut, "ledger-1")
			f.world.Net.Cut(cut, "ledger-2")
		}
		f.group.SetReplicationCut("ledger-0", true)
		for name := range f.vms {
			if name != reader && name != gateway {
				f.world.Net.Cut(name, "ledger-0")
			}
		}
		_, bought := buyUntil(f, f.session(elsewhere, exact), 4*time.Second)
		require.NotEmpty(t, bought, "another target leads")
		const count = 40
		all := startCallers(count, 100*time.Millisecond, func(int) caller {
			return call([]*consumer.Session{f.session(reader, exact), f.session(elsewhere, exact)}, "READ a")
		})
		t.Logf("%d of %d served", countServed(all), count)
		require.Greater(t, countServed(all), count*9/10)
		f.world.Net.HealAll()
		f.checkInvariants()
	})
}

// Guards against: requests that wait for a primary which is being replaced, are refused before it is,
// and have spent their retries when it is. Callers that return when they are told to are served as
// often as those that waited.
func TestCallersWaitForANewPrimary(t *testing.T) {
	runScarce(t, func(f *fleet) {
		require.True(t, f.session("vm0", exact).Query("WRITE a paid").OK())
		for name := range f.vms {
			f.world.Net.Cut(name, "ledger-0")
		}
		f.group.SetReplicationCut("ledger-0", true)
		const count = 60
		all := startCallers(count, 50*time.Millisecond, func(n int) caller {
			var at []*consumer.Session
			for i := range 3 {
				at = append(at, f.session("vm"+strconv.Itoa((n+i)%9), exact))
			}
			return call(at, "READ a")
		})
		t.Logf("%d of %d served", countServed(all), count)
		require.Greater(t, countServed(all), count/2)
		for _, c := range all {
			for _, a := range c.refused {
				require.Equal(t, "BUSY", a.Code)
			}
		}
		for _, c := range all[count-10:] {
			require.True(t, c.served, "served again after the change")
		}
		f.checkInvariants()
	})
}

// Guards against: reads of consumers who have left, which wait at a gateway and are run once the target
// has room, before those of consumers who wait. Idle transactions hold all connections meanwhile.
func TestReadsOfConsumersWhoLeftAreDropped(t *testing.T) {
	runScarce(t, func(f *fleet) {
		_, others := splitByGateway(f, "ledger-0", "a")
		var holders []*consumer.Session
		for i := range 12 {
			c := f.session(others[i%len(others)], exact)
			c.Query("BEGIN")
			if !c.Query("WRITE seat" + strconv.Itoa(i) + " held").OK() {
				break
			}
			holders = append(holders, c)
		}
		var ran atomic.Int64
		f.group.OnStatement = func(_, _ string, operation bool) {
			if operation {
				ran.Add(1)
			}
		}
		var left sync.WaitGroup
		for range 20 {
			c := f.session(others[0], exact)
			left.Go(func() { c.Query("READ a") })
			time.AfterFunc(200*time.Millisecond, c.Close)
		}
		time.Sleep(400 * time.Millisecond)
		for _, c := range holders {
			c.Query("ROLLBACK")
		}
		left.Wait()
		time.Sleep(time.Second)
		require.Zero(t, ran.Load(), "reads for nobody")
		require.True(t, f.session(others[0], exact).Query("READ a").OK())
		f.checkInvariants()
	})
}

// Guards against: a VM that drains while a service has no primary, and ends sessions whose requests
// wait without an answer.
func TestDrainingVMAnswersWhatItRefuses(t *testing.T) {
	runScarce(t, func(f *fleet) {
		for name := range f.vms {
			for _, id := range f.group.Servers() {
				f.world.Net.Cut(name, id)
			}
		}
		time.Sleep(time.Second)
		var sessions []*consumer.Session
		for range 20 {
			sessions = append(sessions, f.session("vm0", exact))
		}
		f.vms["vm0"].stop()
		all := startCallers(len(sessions), 100*time.Millisecond, func(n int) caller {
			return call(sessions[n:n+1], "READ a")
		})
		for _, c := range all {
			require.Len(t, c.refused, 1, "a complete answer")
			require.LessOrEqual(t, c.took, callerBudget)
		}
		f.world.Net.HealAll()
		f.checkInvariants()
	})
}
