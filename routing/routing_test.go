package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const second = clock.Time(time.Second)

var (
	browse   = &profile.Kind{Name: "browse", Access: profile.Read, MaxAge: 2 * time.Second, Deadline: time.Second}
	balance  = &profile.Kind{Name: "balance", Access: profile.Read, Deadline: time.Second}
	purchase = &profile.Kind{Name: "purchase", Deadline: time.Second}
)

// fixture is one group of three servers in term 2, which began at LSN 100: a is the primary, b and
// c are replicas.
type fixture struct {
	tracker *Tracker
	router  *Router
	view    *view.View
	group   *view.Group
}

func newFixture() *fixture {
	g := &view.Group{
		Name: "g", Term: 2, Primary: "a",
		History: timeline.History{{Term: 1}, {Term: 2, LSN: 100}},
		Servers: []view.Server{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1"}, {ID: "c", Zone: "z2"}},
	}
	t := NewTracker()
	return &fixture{
		tracker: t,
		router:  NewRouter(t, EvidencePolicy{}, 1),
		view:    &view.View{Groups: map[string]*view.Group{"g": g}},
		group:   g,
	}
}

func pos(term timeline.Term, lsn timeline.LSN) timeline.Position {
	return timeline.Position{Term: term, LSN: lsn}
}

// replica records a replica's status that was queried at the time at.
func (f *fixture) replica(id target.ID, p timeline.Position, promised timeline.Term, at clock.Time) {
	f.tracker.Observe(id, target.Status{Server: id, Role: target.RoleReplica, Term: p.Term, Promised: promised, LSN: p.LSN}, at, at)
}

func (f *fixture) primary(p timeline.Position, at clock.Time) {
	f.tracker.ObservePrimary("g", p, at)
}

func (f *fixture) route(k *profile.Kind, floor timeline.Position, now clock.Time) Decision {
	return f.router.Route(f.view, f.group, Request{Kind: k, Floor: floor, Zone: "z1", Now: now})
}

func requireServer(t *testing.T, want target.ID, d Decision) {
	t.Helper()
	require.NotNil(t, d.Server, d.Reason.String())
	require.Equal(t, want, d.Server.ID, d.Reason.String())
}

func TestWritesAndExactReadsGoToThePrimary(t *testing.T) {
	f := newFixture()
	requireServer(t, "a", f.route(purchase, timeline.Position{}, second))
	requireServer(t, "a", f.route(balance, pos(2, 150), second))
	requireServer(t, "a", f.route(nil, pos(1, 120), second))
}

func TestFreshReplicaServesBoundedStalenessRead(t *testing.T) {
	f := newFixture()
	f.primary(pos(2, 150), second)
	f.replica("b", pos(2, 150), 2, second)
	d := f.route(browse, pos(2, 150), second+100)
	requireServer(t, "b", d)
	require.Equal(t, ReasonReplica, d.Reason)
}

// A session writes at 160 and then reads. The replica is at 150 and would return the data from
// before the write: it must not serve this session, while other sessions may still use it.
func TestReplicaBehindTheFloorIsPassedOver(t *testing.T) {
	f := newFixture()
	f.primary(pos(2, 150), second)
	f.replica("b", pos(2, 150), 2, second)
	requireServer(t, "a", f.route(browse, pos(2, 160), second+100))
	requireServer(t, "b", f.route(browse, pos(2, 140), second+100))
}

// A replica makes no progress while the primary advances. The replica's own status report does not
// reveal this; only the primary's samples show that the replica's data is too old.
func TestReplicaOlderThanTheStatedAgeIsPassedOver(t *testing.T) {
	f := newFixture()
	for i := range clock.Time(5) {
		f.primary(pos(2, 150+timeline.LSN(i)), second*(i+1))
		f.replica("b", pos(2, 150), 2, second*(i+1))
	}
	age, ok := f.tracker.Age(f.group, "b", 5*second)
	require.True(t, ok)
	require.Equal(t, 4*time.Second, age)
	requireServer(t, "a", f.route(browse, timeline.Position{}, 5*second))
}

// A proxy is partitioned together with a superseded primary, whose status reports look normal. The
// reachable replica has promised a later term, so nothing proves that the old primary's newer
// samples are the group's.
func TestSamplesOfAnUnwitnessedPrimaryProveNothing(t *testing.T) {
	f := newFixture()
	f.primary(pos(2, 150), second)
	f.replica("b", pos(2, 150), 2, second)
	f.primary(pos(2, 151), 5*second)
	f.replica("b", pos(2, 151), 3, 5*second)
	age, ok := f.tracker.Age(f.group, "b", 5*second)
	require.True(t, ok)
	require.Equal(t, 4*time.Second, age, "data must be current only as of the last witnessed sample")
	require.Nil(t, f.route(browse, timeline.Position{}, 5*second).Server)
}

// In a group of five one witness is not enough: the other three servers may have promised a later
// term, in which one of them was promoted.
func TestLargerGroupNeedsMoreWitnesses(t *testing.T) {
	f := newFixture()
	f.group.Servers = append(f.group.Servers, view.Server{ID: "d"}, view.Server{ID: "e"})
	f.primary(pos(2, 150), second)
	f.replica("b", pos(2, 150), 2, second)
	require.Nil(t, f.route(browse, timeline.Position{}, second).Server)
	f.replica("c", pos(2, 150), 2, second)
	require.NotNil(t, f.route(browse, timeline.Position{}, second).Server)
}

// The old primary returns after a promotion at 100 and still claims to lead, with a log up to 400.
// Its entries beyond 100 were discarded.
func TestSupersededPrimaryAndItsFollowerNeverQualify(t *testing.T) {
	f := newFixture()
	f.primary(pos(2, 100), second)
	f.replica("c", pos(1, 400), 2, second)
	st := target.Status{Server: "b", Role: target.RolePrimary, Term: 1, Promised: 1, LSN: 400}
	f.tracker.Observe("b", st, second, second)
	requireServer(t, "a", f.route(browse, timeline.Position{}, second))
}

// A session was served by a proxy whose view has term 3. This proxy's view has only term 2 and does
// not show which server has the session's write.
func TestFloorOfUnknownTermWaitsForTheView(t *testing.T) {
	f := newFixture()
	f.primary(pos(2, 500), second)
	f.replica("b", pos(2, 500), 2, second)
	for _, k := range []*profile.Kind{browse, balance, purchase} {
		d := f.route(k, pos(3, 120), second)
		require.Nil(t, d.Server)
		require.Positive(t, d.Wait)
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	f := newFixture()
	f.primary(pos(2, 150), second)
	f.replica("b", pos(2, 150), 2, second)
	f.view.Draining = map[target.ID]bool{"a": true, "b": true}
	require.Nil(t, f.route(browse, timeline.Position{}, second).Server)
	require.Nil(t, f.route(purchase, timeline.Position{}, second).Server)
}

// Each guard is disabled once; the server that must not be chosen is then chosen.
func TestEachGuardExcludesTheWrongServer(t *testing.T) {
	superseded := target.Status{Server: "b", Role: target.RolePrimary, Term: 1, Promised: 1, LSN: 400}
	cases := []struct {
		guard guard.Name
		floor timeline.Position
		set   func(f *fixture)
	}{
		{GuardFloor, pos(2, 160), func(f *fixture) {
			f.primary(pos(2, 150), 10*second)
			f.replica("b", pos(2, 150), 2, 10*second)
		}},
		{GuardAge, timeline.Position{}, func(f *fixture) {
			f.primary(pos(2, 150), second)
			f.primary(pos(2, 151), 2*second)
			f.replica("b", pos(2, 150), 2, 10*second)
		}},
		{GuardWitness, timeline.Position{}, func(f *fixture) {
			f.primary(pos(2, 150), 10*second)
			f.replica("b", pos(2, 150), 3, 10*second)
		}},
		{GuardHistory, timeline.Position{}, func(f *fixture) {
			f.primary(pos(2, 100), 10*second)
			f.replica("c", pos(1, 90), 2, 10*second)
			f.tracker.Observe("b", superseded, 10*second, 10*second)
		}},
	}
	for _, c := range cases {
		for _, out := range []bool{false, true} {
			f := newFixture()
			if out {
				f.tracker.Guards = guard.Without(c.guard)
			}
			c.set(f)
			d := f.route(browse, c.floor, 10*second)
			wrong := d.Server != nil && d.Server.ID == "b"
			require.Equal(t, out, wrong, "%s out=%v: %s", c.guard, out, d.Reason)
		}
	}
}

// warm records a steady lag of 200 ms for both replicas up to the time 10 s.
func (f *fixture) warm() clock.Time {
	const step = clock.Time(50 * time.Millisecond)
	now := second
	for ; now < 10*second; now += step {
		at := 1000 + timeline.LSN(now/step)
		f.primary(pos(2, at), now)
		f.replica("b", pos(2, at-4), 2, now)
		f.replica("c", pos(2, at-4), 2, now)
		f.route(browse, timeline.Position{}, now)
	}
	return now - step
}

func TestRecentWriterWaitsBrieflyForAReplica(t *testing.T) {
	f := newFixture()
	now := f.warm()
	longDeadline := *browse
	longDeadline.Deadline = 4 * time.Second
	newest := 1000 + timeline.LSN(now/clock.Time(50*time.Millisecond))
	d := f.route(&longDeadline, pos(2, newest), now)
	require.Equal(t, ReasonAwaitReplica, d.Reason)
	require.InDelta(t, 200, d.Wait.Milliseconds(), 60)

	shortDeadline := *browse
	shortDeadline.Deadline = 400 * time.Millisecond
	requireServer(t, "a", f.route(&shortDeadline, pos(2, newest), now))
}

// Failure guarded against: both replicas fall far behind, every read moves to the primary, and
// writes time out there. Only a few reads may use the primary at the same time.
func TestPrimaryIsProtectedWhenAllReplicasAreBehind(t *testing.T) {
	f := newFixture()
	now := f.warm() + 30*second
	f.primary(pos(2, 5000), now)
	f.replica("b", pos(2, 1100), 2, now)
	requireServer(t, "a", f.route(browse, timeline.Position{}, now))
	for range primaryLimit {
		f.tracker.Begin("a", now)
	}
	d := f.route(browse, timeline.Position{}, now)
	require.Equal(t, ReasonProtectPrimary, d.Reason)
	require.Positive(t, d.Wait)
}

func (f *fixture) fresh(at clock.Time) {
	f.primary(pos(2, 150), at)
	f.replica("b", pos(2, 150), 2, at)
	f.replica("c", pos(2, 150), 2, at)
}

// served sends n reads over time and returns the fraction that b served. answer returns each
// server's latency and whether its request fails.
func (f *fixture) served(n int, from clock.Time, answer func(id target.ID) (time.Duration, bool)) float64 {
	count := 0
	for i := range n {
		now := from + clock.Time(i)*clock.Time(10*time.Millisecond)
		f.fresh(now)
		d := f.route(browse, timeline.Position{}, now)
		if d.Server == nil {
			continue
		}
		f.tracker.Begin(d.Server.ID, now)
		latency, failed := answer(d.Server.ID)
		f.tracker.End(d.Server.ID, now.Add(latency), latency, failed)
		if d.Server.ID == "b" {
			count++
		}
	}
	return float64(count) / float64(n)
}

func quick(target.ID) (time.Duration, bool) { return 2 * time.Millisecond, false }

// A replica's latency rises from 2 ms to 60 ms, while it still answers every status query. Requests
// must move to other servers, and return once the replica has recovered.
func TestSlowReplicaIsDegradedAndRecovers(t *testing.T) {
	f := newFixture()
	f.served(200, second, quick)
	slow := func(id target.ID) (time.Duration, bool) {
		if id == "b" {
			return 60 * time.Millisecond, false
		}
		return quick(id)
	}
	f.served(200, 10*second, slow)
	require.Less(t, f.served(500, 20*second, slow), 0.05)
	f.served(3000, 30*second, quick)
	require.Greater(t, f.served(500, 70*second, quick), 0.3)
}

func TestFastFailingReplicaIsDegradedAndRecovers(t *testing.T) {
	f := newFixture()
	f.served(200, second, quick)
	failing := func(id target.ID) (time.Duration, bool) {
		return time.Millisecond, id == "b"
	}
	f.served(50, 10*second, failing)
	require.Less(t, f.served(500, 20*second, failing), 0.05)
	f.served(3000, 30*second, quick)
	require.Greater(t, f.served(500, 70*second, quick), 0.3)
}

// A replica accepts requests and answers none. No latency is ever measured, so only the age of the
// outstanding requests reveals the failure.
func TestUnresponsiveReplicaIsDegraded(t *testing.T) {
	f := newFixture()
	f.served(200, second, quick)
	now := 10 * second
	f.tracker.Begin("b", now)
	require.Less(t, f.served(200, now+second, quick), 0.1)
}

func TestRouteAllocatesNothing(t *testing.T) {
	f := newFixture()
	f.fresh(second)
	n := testing.AllocsPerRun(1000, func() { f.route(browse, pos(2, 140), second) })
	require.Zero(t, n)
}

func BenchmarkRouteRead(b *testing.B) {
	f := newFixture()
	now := f.warm()
	b.ReportAllocs()
	for b.Loop() {
		f.route(browse, pos(2, 140), now)
	}
}

func BenchmarkRouteWrite(b *testing.B) {
	f := newFixture()
	b.ReportAllocs()
	for b.Loop() {
		f.route(purchase, pos(2, 140), second)
	}
}
