package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/target"
)

const (
	// somePurchases is how many purchases complete before and after a fault.
	somePurchases = 20
	buyers        = 4
)

// waitPurchases waits until further purchases are done.
func waitPurchases(t *testing.T, h *history, more int) {
	t.Helper()
	goal := h.done() + more
	eventually(t, "purchases succeed", func() bool { return h.done() >= goal })
}

// startUnderLoad starts a fleet with buyers and waits until some purchases are done. stopAndCheck
// stops the buyers and runs the checker.
func startUnderLoad(t *testing.T) (f *fleet, h *history, stopAndCheck func()) {
	t.Helper()
	f, h = startFleet(t, 3), newHistory()
	stop := f.load(t, h, buyers, true)
	waitPurchases(t, h, somePurchases)
	return f, h, func() {
		t.Helper()
		stop()
		f.check(t, h)
	}
}

// waitReplicaOf waits until a server is a replica in the leader's term and has its log up to the
// end.
func waitReplicaOf(t *testing.T, s, leader *server) {
	t.Helper()
	eventually(t, "the server is an up-to-date replica again", func() bool {
		st, ok := s.status(t)
		lead, ok2 := leader.status(t)
		return ok && ok2 && st.Role == target.RoleReplica && st.Term == lead.Term && st.LSN >= lead.LSN
	})
}

// The primary's process dies during purchases. The fleet must promote a replica without an
// operator, purchases must continue, and no paid pass may be lost, duplicated or wrongly reported
// as "not run".
func TestPrimaryKilled(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	old := f.servers[0]
	started := time.Now()
	old.kill(t)
	f.logGap(t, h, started)
	f.waitLeaderOtherThan(t, old)
	waitPurchases(t, h, somePurchases)
	stopAndCheck()
}

// probePurchaseInterval is the interval between new purchases while a gap is measured.
const probePurchaseInterval = 50 * time.Millisecond

// logGap logs the time from started until the first new purchase succeeds. Purchases in progress
// when the fault occurred do not count. It makes no check of the gap beyond waitLimit.
func (f *fleet) logGap(t *testing.T, h *history, started time.Time) {
	t.Helper()
	done := make(chan time.Time, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	b := &buyer{fleet: f, history: h}
	for i := 0; ; i++ {
		wg.Go(func() {
			if b.attempt(f.daemons[i%len(f.daemons)], fmt.Sprintf("probe%d", i)) == outcome.Done {
				select {
				case done <- time.Now():
				default:
				}
			}
		})
		select {
		case at := <-done:
			t.Logf("gap=%s", at.Sub(started).Round(time.Millisecond))
			return
		case <-time.After(probePurchaseInterval):
		}
		require.Less(t, time.Since(started), waitLimit, "no purchase succeeded")
	}
}

// The primary hangs: its kernel still accepts connections and data, but nothing is answered. The
// fleet must detect and replace it. When it resumes, its late work must not count, and it must
// follow the new primary.
func TestPrimaryFrozenThenThawed(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	old := f.servers[0]
	started := time.Now()
	old.pause(t)
	f.logGap(t, h, started)
	leader := f.waitLeaderOtherThan(t, old)
	waitPurchases(t, h, somePurchases)
	old.resume(t)
	waitReplicaOf(t, old, leader)
	waitPurchases(t, h, somePurchases)
	stopAndCheck()
}

// The primary is cut off from all callers and proxies and still acts as primary; its replicas still
// reach it. The fleet must promote another server. After the cut heals, requests in transit reach
// the old primary late and must not count.
func TestPrimaryCutFromCallers(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	old := f.servers[0]
	old.fault(t, "kind", "cut", "who", "callers", "direction", "both")
	eventually(t, "another server is primary", func() bool {
		for _, s := range f.servers[1:] {
			if st, ok := s.status(t); ok && st.Role == target.RolePrimary {
				return true
			}
		}
		return false
	})
	waitPurchases(t, h, somePurchases)
	require.Positive(t, old.faultEffects(t).Requests, "messages held back by the cut")
	old.fault(t, "kind", "heal")
	waitReplicaOf(t, old, f.waitLeaderOtherThan(t, old))
	stopAndCheck()
}

// Only the primary's answers are lost: it executes requests, but no caller learns of it. Each such
// purchase has an unknown outcome for its caller, which repeats it with the same key through
// another daemon; it must be charged at most once.
func TestPrimaryAnswersLost(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	old := f.servers[0]
	old.fault(t, "kind", "cut", "who", "callers", "direction", "answers")
	waitPurchases(t, h, somePurchases)
	require.Positive(t, old.faultEffects(t).Answers, "messages held back by the cut")
	old.fault(t, "kind", "heal")
	waitReplicaOf(t, old, f.waitLeaderOtherThan(t, old))
	stopAndCheck()
}

// The primary's replicas are cut off from it, while callers and proxies reach all servers. A write
// that only the primary has must not be answered "done". After the cut heals, purchases must
// continue.
func TestPrimaryCutFromPeers(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	old := f.servers[0]
	old.fault(t, "kind", "cut", "who", "peers", "direction", "both")
	eventually(t, "the cut takes effect", func() bool {
		struck := old.faultEffects(t)
		return struck.Requests+struck.Answers > 0
	})
	before := h.countOutcome(outcome.Unknown)
	eventually(t, "a purchase has an unknown outcome, or another server is primary", func() bool {
		return h.countOutcome(outcome.Unknown) > before || f.leader(t) != old
	})
	old.fault(t, "kind", "heal")
	waitPurchases(t, h, somePurchases)
	stopAndCheck()
}

// The primary dies, the fleet promotes a replica, and then the new primary dies too. The remaining
// server alone is no majority and must not be promoted, so nothing may be answered "done".
func TestMajorityLostThenNothingIsDone(t *testing.T) {
	f := startFleet(t, 3)
	h := newHistory()
	stop := f.load(t, h, buyers, true)
	waitPurchases(t, h, somePurchases)
	f.servers[0].kill(t)
	second := f.waitLeaderOtherThan(t, f.servers[0])
	waitPurchases(t, h, somePurchases)
	second.kill(t)
	before := h.countOutcome(outcome.Unknown) + h.countOutcome(outcome.NotRun)
	eventually(t, "callers receive not-run or unknown outcomes", func() bool {
		return h.countOutcome(outcome.Unknown)+h.countOutcome(outcome.NotRun) > before+buyers
	})
	stop()
	last := f.servers[1]
	if last == second {
		last = f.servers[2]
	}
	rows := last.rows(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range findViolations(h.attempts, rows) {
		t.Errorf("%s: %s; errors returned to the caller: %v", v.key, v.what, h.errors[v.key])
	}
	require.Empty(t, h.unseen)
}

// A proxy is killed in the middle of a transaction. The transaction must leave no effect, and the
// next purchase must not wait for it.
func TestProxyKilledInTransaction(t *testing.T) {
	f := startFleet(t, 3)
	h := newHistory()
	c := mustConnect(t, f.daemons[0], "")
	exec := func(sql string) error {
		_, err := c.Exec(t.Context(), sql, pgx.QueryExecModeSimpleProtocol)
		return err
	}
	require.NoError(t, exec("/*endivemoor kind=purchase&key=half*/ BEGIN"))
	require.NoError(t, exec("INSERT INTO charges VALUES ('half', '12')"))
	f.daemons[0].kill(t)
	require.Error(t, exec("COMMIT"))
	b := &buyer{fleet: f, history: h}
	eventually(t, "the next purchase succeeds", func() bool {
		return b.attempt(f.daemons[1], "whole") == outcome.Done
	})
	require.Equal(t, map[string]int{"whole": 1}, f.waitLeader(t).rows(t))
}

// A daemon, which may own the group, is paused; meanwhile the primary dies and the other daemons
// promote a replica. The daemon resumes with an outdated view: its commands must be refused, and
// its callers must still see their purchases.
func TestDaemonPausedThroughPromotion(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprintf("p%d", i+1), func(t *testing.T) {
			f := startFleet(t, 3)
			h := newHistory()
			b := &buyer{fleet: f, history: h}
			require.Equal(t, outcome.Done, b.attempt(f.daemons[i], "before"))
			f.daemons[i].pause(t)
			old := f.servers[0]
			old.kill(t)
			leader := f.waitLeaderOtherThan(t, old)
			eventually(t, "a purchase through another daemon", func() bool {
				return b.attempt(f.daemons[(i+1)%3], "during") == outcome.Done
			})
			f.daemons[i].resume(t)
			eventually(t, "a purchase through the resumed daemon", func() bool {
				return b.attempt(f.daemons[i], "after") == outcome.Done
			})
			for _, key := range []string{"before", "during", "after"} {
				f.requireVisible(t, f.daemons[i], "", "balance", key)
			}
			st, ok := leader.status(t)
			require.True(t, ok)
			require.Equal(t, st.Promised, st.Term, "the resumed daemon must not replace the new primary")
			f.check(t, h)
		})
	}
}

// The platform's store goes down, then the primary dies. The fleet promotes with a term that it
// reserved while the store was available. When the store is back, every daemon must name the new
// primary.
func TestStoreDownAndPrimaryKilled(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	f.storeFaults(t, `{"faults":{"down":true}}`)
	old := f.servers[0]
	old.kill(t)
	leader := f.waitLeaderOtherThan(t, old)
	waitPurchases(t, h, somePurchases)
	f.storeFaults(t, `{"faults":{}}`)
	eventually(t, "every daemon names the new primary", func() bool {
		for _, d := range f.daemons {
			if d.primary(t) != leader.id {
				return false
			}
		}
		return true
	})
	waitPurchases(t, h, somePurchases)
	stopAndCheck()
}

// primary returns the group's primary in a daemon's view.
func (d *daemon) primary(t *testing.T) target.ID {
	t.Helper()
	var st struct {
		Groups map[string]struct {
			Primary target.ID `json:"primary"`
		} `json:"groups"`
	}
	getJSON(t, "http://"+d.admin+"/status", &st)
	return st.Groups[groupName].Primary
}

// Two simultaneous faults: a daemon and the primary die together. Callers must continue through the
// other daemons, with the same keys.
func TestPrimaryAndDaemonKilledTogether(t *testing.T) {
	f, h, stopAndCheck := startUnderLoad(t)
	old := f.servers[0]
	f.daemons[0].kill(t)
	old.kill(t)
	f.waitLeaderOtherThan(t, old)
	waitPurchases(t, h, somePurchases)
	stopAndCheck()
}

// While no server can commit, a caller is refused at once with a retry-after, or receives an
// unknown outcome. A purchase that was only ever "not run" must not appear later.
func TestNotRunDidNotRun(t *testing.T) {
	f := startFleet(t, 3)
	h := newHistory()
	stop := f.load(t, h, buyers, false)
	waitPurchases(t, h, somePurchases)
	old := f.servers[0]
	old.pause(t)
	leader := f.waitLeaderOtherThan(t, old)
	waitPurchases(t, h, somePurchases)
	old.resume(t)
	waitReplicaOf(t, old, leader)
	stop()
	f.check(t, h)
}
