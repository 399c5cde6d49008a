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
	// somePurchases is how many are done before and after a fault.
	somePurchases = 20
	buyers        = 4
)

// buyUntil waits until more purchases are done than before.
func buyUntil(t *testing.T, h *history, more int) {
	t.Helper()
	goal := h.done() + more
	eventually(t, "purchases succeed", func() bool { return h.done() >= goal })
}

// startSale starts a fleet whose buyers are busy, and waits until some purchases
// are done. What it returns ends the sale and judges it.
func startSale(t *testing.T) (f *fleet, h *history, end func()) {
	t.Helper()
	f, h = startFleet(t, 3), newHistory()
	stop := f.load(t, h, buyers, true)
	buyUntil(t, h, somePurchases)
	return f, h, func() {
		t.Helper()
		stop()
		f.judge(t, h)
	}
}

// isReplicaOf waits until a server follows the leader up to its end.
func isReplicaOf(t *testing.T, s, leader *server) {
	t.Helper()
	eventually(t, "the server follows again", func() bool {
		st, ok := s.status(t)
		lead, ok2 := leader.status(t)
		return ok && ok2 && st.Role == target.RoleReplica && st.Term == lead.Term && st.LSN >= lead.LSN
	})
}

// At night the primary's process dies while passes are sold. Nobody is awake.
// The fleet promotes a replica, sales go on, and no paid pass is lost, doubled
// or wrongly called "not run".
func TestPrimaryKilled(t *testing.T) {
	f, h, end := startSale(t)
	old := f.servers[0]
	began := time.Now()
	old.kill(t)
	f.logGap(t, h, began)
	f.waitLeaderOtherThan(t, old)
	buyUntil(t, h, somePurchases)
	end()
}

// probeEvery is the interval of new purchases while a gap is measured.
const probeEvery = 50 * time.Millisecond

// logGap writes down how long after began the first of many new purchases
// succeeded: what was under way when the fault struck does not count. It judges
// nothing.
func (f *fleet) logGap(t *testing.T, h *history, began time.Time) {
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
			t.Logf("gap=%s", at.Sub(began).Round(time.Millisecond))
			return
		case <-time.After(probeEvery):
		}
		require.Less(t, time.Since(began), waitLimit, "no purchase succeeds")
	}
}

// The primary hangs: its kernel still accepts connections and takes bytes, and
// nothing is answered. It must be found, replaced, and when it wakes up its late
// work must not count; it then follows the new primary.
func TestPrimaryFrozenThenThawed(t *testing.T) {
	f, h, end := startSale(t)
	old := f.servers[0]
	began := time.Now()
	old.pause(t)
	f.logGap(t, h, began)
	leader := f.waitLeaderOtherThan(t, old)
	buyUntil(t, h, somePurchases)
	old.resume(t)
	isReplicaOf(t, old, leader)
	buyUntil(t, h, somePurchases)
	end()
}

// The primary is cut off from all callers and proxies, and believes on. Its
// replicas still reach it. The fleet moves on; after the cut heals, requests
// that were on their way reach the old primary late and must not count.
func TestPrimaryCutFromCallers(t *testing.T) {
	f, h, end := startSale(t)
	old := f.servers[0]
	old.fault(t, "kind", "cut", "who", "callers", "direction", "both")
	eventually(t, "another server leads", func() bool {
		for _, s := range f.servers[1:] {
			if st, ok := s.status(t); ok && st.Role == target.RolePrimary {
				return true
			}
		}
		return false
	})
	buyUntil(t, h, somePurchases)
	require.Positive(t, old.struck(t).Requests, "the cut took effect")
	old.fault(t, "kind", "heal")
	isReplicaOf(t, old, f.waitLeaderOtherThan(t, old))
	end()
}

// Only the primary's answers are lost: it executes and nobody hears of it. Each
// purchase that ran is unknown to its caller, who asks again with its key
// elsewhere; it may be charged once.
func TestPrimaryAnswersLost(t *testing.T) {
	f, h, end := startSale(t)
	old := f.servers[0]
	old.fault(t, "kind", "cut", "who", "callers", "direction", "answers")
	buyUntil(t, h, somePurchases)
	require.Positive(t, old.struck(t).Answers, "the cut took effect")
	old.fault(t, "kind", "heal")
	isReplicaOf(t, old, f.waitLeaderOtherThan(t, old))
	end()
}

// The primary's replicas are cut off from it, while callers and proxies reach all
// servers. Nothing that it writes alone may be told "done", since no replica has
// it. When the cut heals, sales go on.
func TestPrimaryCutFromPeers(t *testing.T) {
	f, h, end := startSale(t)
	old := f.servers[0]
	old.fault(t, "kind", "cut", "who", "peers", "direction", "both")
	eventually(t, "the cut takes effect", func() bool {
		struck := old.struck(t)
		return struck.Requests+struck.Answers > 0
	})
	before := h.told(outcome.Unknown)
	eventually(t, "a purchase is not done, or another server leads", func() bool {
		return h.told(outcome.Unknown) > before || f.leader(t) != old
	})
	old.fault(t, "kind", "heal")
	buyUntil(t, h, somePurchases)
	end()
}

// The primary dies, the fleet promotes, then the new primary dies too. A server
// is left that may not promote alone; the first one comes back without its
// storage and follows nobody who leads. Nothing may be told "done" meanwhile.
func TestMajorityLostThenNothingIsDone(t *testing.T) {
	f := startFleet(t, 3)
	h := newHistory()
	stop := f.load(t, h, buyers, true)
	buyUntil(t, h, somePurchases)
	f.servers[0].kill(t)
	second := f.waitLeaderOtherThan(t, f.servers[0])
	buyUntil(t, h, somePurchases)
	second.kill(t)
	before := h.told(outcome.Unknown) + h.told(outcome.NotRun)
	eventually(t, "callers are told that it is not done", func() bool {
		return h.told(outcome.Unknown)+h.told(outcome.NotRun) > before+buyers
	})
	stop()
	last := f.servers[1]
	if last == second {
		last = f.servers[2]
	}
	rows := last.rows(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, wrong := range verdict(h.attempts, rows) {
		t.Errorf("%s: %s; told %v", wrong.key, wrong.what, h.errors[wrong.key])
	}
	require.Empty(t, h.unseen)
}

// A proxy is killed in the middle of a transaction. Nothing of the transaction
// stays, and the next purchase does not wait for it.
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

// A daemon, which may own the group, is paused; meanwhile the primary dies and
// the others promote. The daemon wakes with an old picture: its orders must be
// refused and its callers must still see their purchases.
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
			eventually(t, "a purchase through the daemon that woke", func() bool {
				return b.attempt(f.daemons[i], "after") == outcome.Done
			})
			for _, key := range []string{"before", "during", "after"} {
				f.sees(t, f.daemons[i], "", "balance", key)
			}
			st, ok := leader.status(t)
			require.True(t, ok)
			require.Equal(t, st.Promised, st.Term, "the new primary was not deposed by the one that woke")
			f.judge(t, h)
		})
	}
}

// The platform's store goes down, then the primary dies. The fleet promotes
// with the term that it reserved while the store was well. The store comes back
// and learns of it.
func TestStoreDownAndPrimaryKilled(t *testing.T) {
	f, h, end := startSale(t)
	f.storeFaults(t, `{"faults":{"down":true}}`)
	old := f.servers[0]
	old.kill(t)
	leader := f.waitLeaderOtherThan(t, old)
	buyUntil(t, h, somePurchases)
	f.storeFaults(t, `{"faults":{}}`)
	eventually(t, "every daemon names the new primary", func() bool {
		for _, d := range f.daemons {
			if d.primary(t) != leader.id {
				return false
			}
		}
		return true
	})
	buyUntil(t, h, somePurchases)
	end()
}

// primary is the group's primary in a daemon's view.
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

// Two faults at once: the daemon that sells dies together with the primary.
// Callers go on through the others, with the same keys.
func TestPrimaryAndDaemonKilledTogether(t *testing.T) {
	f, h, end := startSale(t)
	old := f.servers[0]
	f.daemons[0].kill(t)
	old.kill(t)
	f.waitLeaderOtherThan(t, old)
	buyUntil(t, h, somePurchases)
	end()
}

// While nobody can commit, a caller is refused at once with a time to come
// back, or told "unknown"; what was only ever "not run" must not show up later.
func TestNotRunDidNotRun(t *testing.T) {
	f := startFleet(t, 3)
	h := newHistory()
	stop := f.load(t, h, buyers, false)
	buyUntil(t, h, somePurchases)
	old := f.servers[0]
	old.pause(t)
	leader := f.waitLeaderOtherThan(t, old)
	buyUntil(t, h, somePurchases)
	old.resume(t)
	isReplicaOf(t, old, leader)
	stop()
	f.judge(t, h)
}
