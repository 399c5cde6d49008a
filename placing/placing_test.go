package placing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

func at(ms int) clock.Time { return clock.Time(time.Duration(ms+1) * time.Millisecond) }

func choose(b *Tracker, now clock.Time, candidates []Candidate) Choice {
	return b.Choose(now, candidates, 500*time.Millisecond, .5)
}

func pick(b *Tracker, now clock.Time, candidates ...Candidate) target.ID {
	i := choose(b, now, candidates).Index
	if i < 0 {
		return ""
	}
	return candidates[i].ID
}

func TestReadsStayInTheZoneAndOffThePrimary(t *testing.T) {
	b := NewTracker()
	same, cross := Candidate{ID: "same-zone", SameZone: true}, Candidate{ID: "cross-zone"}
	primary := Candidate{ID: "primary", SameZone: true, Primary: true}
	require.Equal(t, target.ID("same-zone"), pick(b, at(0), cross, primary, same))
	same.Pending = 1
	require.Equal(t, target.ID("cross-zone"), pick(b, at(0), cross, primary, same), "a queue costs more than crossing zones")
	cross.Pending, same.Pending = 3, 3
	require.Equal(t, target.ID("same-zone"), pick(b, at(0), cross, primary, same), "writes need the primary")
	cross.Pending, same.Pending = 6, 6
	require.Equal(t, target.ID("primary"), pick(b, at(0), cross, primary, same), "an idle primary serves reads when replicas are saturated")
	require.Empty(t, pick(b, at(0)))
}

// A target becomes slow. Only the latency of its answers shows it; reads must go elsewhere, and the
// target must be tried again after some seconds.
func TestSlowTargetIsAvoidedAndTriedAgain(t *testing.T) {
	b := NewTracker()
	slow, cross := Candidate{ID: "slow", SameZone: true}, Candidate{ID: "cross-zone"}
	for i := range 20 {
		b.Served("slow", 1, at(i*10), 100*time.Millisecond)
	}
	require.Equal(t, target.ID("cross-zone"), pick(b, at(200), slow, cross))
	require.Equal(t, target.ID("slow"), pick(b, at(20_000), slow, cross))
}

func TestFailedOrLaggingTargetIsALastResort(t *testing.T) {
	b := NewTracker()
	x, y := Candidate{ID: "x", SameZone: true}, Candidate{ID: "y", Pending: 5}
	b.Failed("x", at(0))
	require.Equal(t, target.ID("y"), pick(b, at(10), x, y))
	require.Equal(t, target.ID("x"), pick(b, at(10), x), "the only candidate is chosen even if it failed")
	require.Equal(t, target.ID("x"), pick(b, at(1000), x, y))
	b.Lagged("x", at(1000))
	require.Equal(t, target.ID("y"), pick(b, at(1010), x, y))
	b.Served("x", 1, at(2000), time.Millisecond)
	require.Equal(t, target.ID("x"), pick(b, at(2001), x, y))
}

func TestRemovedTargetsAreDropped(t *testing.T) {
	b := NewTracker()
	b.Failed("x", at(0))
	b.Retain(func(target.ID) (int64, bool) { return 0, false })
	require.Empty(t, b.records)
}

// A target fails and restarts under its id. Failures and latency of the previous incarnation must
// not affect the new one.
func TestRecordOfARestartedTargetIsDropped(t *testing.T) {
	b := NewTracker()
	known := func(incarnation int64) func(target.ID) (int64, bool) {
		return func(target.ID) (int64, bool) { return incarnation, true }
	}
	b.Served("x", 1, at(0), 20*time.Millisecond)
	b.Retain(known(7))
	b.Failed("x", at(1))
	b.Retain(known(7))
	require.NotZero(t, b.records["x"].failedUntil)
	b.Retain(known(8))
	require.Empty(t, b.records)
}

// Failure guarded against: both replicas of a service are seconds behind, the primary has a queue,
// and a read that leaves the queue after the try timeout to try the replicas again loses its place
// each time and is never served.
func TestPrimaryIsTheOnlyChoiceWhileReplicasLag(t *testing.T) {
	b := NewTracker()
	all := []Candidate{{ID: "p", Primary: true, Pending: 30}, {ID: "r1"}, {ID: "r2"}}
	require.False(t, choose(b, 1, all).Only)
	b.Lagged("r1", 1)
	b.Lagged("r2", 1)
	c := choose(b, 2, all)
	require.Equal(t, "p", string(all[c.Index].ID))
	require.True(t, c.Only)
	b.Failed("p", 2)
	require.False(t, choose(b, 3, all).Only, "reads must not wait for an unresponsive primary")
}

// A replica that stays behind must be tried less and less often, and after the usual pause again
// once it has served.
func TestReplicaThatStaysBehindIsTriedLessOften(t *testing.T) {
	b := NewTracker()
	tries, now := 0, clock.Time(1)
	all := []Candidate{{ID: "p", Primary: true}, {ID: "r"}}
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		if i := choose(b, now, all).Index; all[i].ID == "r" {
			tries++
			b.Lagged("r", now)
		}
	}
	require.LessOrEqual(t, tries, 9, "in 5 s")
	require.GreaterOrEqual(t, tries, 6)
	now = now.Add(maxLagPause)
	b.Served("r", 1, now, defaultLatency)
	b.Lagged("r", now)
	require.Equal(t, target.ID("r"), pick(b, now.Add(lagPause+1), all...))
}
