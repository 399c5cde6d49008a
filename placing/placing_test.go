package placing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

func at(ms int) clock.Time { return clock.Time(time.Duration(ms+1) * time.Millisecond) }

func pick(b *Board, now clock.Time, candidates ...Candidate) target.ID {
	i, _ := b.Choose(now, candidates)
	if i < 0 {
		return ""
	}
	return candidates[i].ID
}

func TestReadsStayNearAndOffThePrimary(t *testing.T) {
	b := NewBoard()
	near, far := Candidate{ID: "near", Near: true}, Candidate{ID: "far"}
	primary := Candidate{ID: "primary", Near: true, Primary: true}
	require.Equal(t, target.ID("near"), pick(b, at(0), far, primary, near))
	near.Waiting = 1
	require.Equal(t, target.ID("far"), pick(b, at(0), far, primary, near), "a queue costs more than the way")
	far.Waiting, near.Waiting = 3, 3
	require.Equal(t, target.ID("near"), pick(b, at(0), far, primary, near), "writes need the primary")
	far.Waiting, near.Waiting = 6, 6
	require.Equal(t, target.ID("primary"), pick(b, at(0), far, primary, near), "an idle primary helps when replicas are full")
	require.Empty(t, pick(b, at(0)))
}

// One server turns slow. Nobody tells; its answers show it, and reads go
// elsewhere. It is tried again after some seconds.
func TestSlowTargetIsLeftAloneAndTriedAgain(t *testing.T) {
	b := NewBoard()
	slow, far := Candidate{ID: "slow", Near: true}, Candidate{ID: "far"}
	for i := range 20 {
		b.Served("slow", at(i*10), 100*time.Millisecond)
	}
	require.Equal(t, target.ID("far"), pick(b, at(200), slow, far))
	require.Equal(t, target.ID("slow"), pick(b, at(20_000), slow, far))
}

func TestFailedOrLaggingTargetIsALastResort(t *testing.T) {
	b := NewBoard()
	x, y := Candidate{ID: "x", Near: true}, Candidate{ID: "y", Waiting: 5}
	b.Failed("x", at(0))
	require.Equal(t, target.ID("y"), pick(b, at(10), x, y))
	require.Equal(t, target.ID("x"), pick(b, at(10), x), "better than nobody")
	require.Equal(t, target.ID("x"), pick(b, at(1000), x, y))
	b.Lagged("x", at(1000))
	require.Equal(t, target.ID("y"), pick(b, at(1010), x, y))
	b.Served("x", at(2000), time.Millisecond)
	require.Equal(t, target.ID("x"), pick(b, at(2001), x, y))
}

// Under overload answers take longer. A patience that stayed as it was would
// give up on all of them and send each again, which doubles the load.
func TestPatienceGrowsWithTheLatency(t *testing.T) {
	b := NewBoard()
	require.Equal(t, minPatience, b.Patience("x", at(0)))
	for i := range 60 {
		b.Served("x", at(i), 60*time.Millisecond)
	}
	require.Greater(t, b.Patience("x", at(60)), 400*time.Millisecond)
	for i := range 60 {
		b.Served("x", at(100+i), time.Second)
	}
	require.Equal(t, maxPatience, b.Patience("x", at(160)))
}

func TestForgottenTargetsLeaveNothing(t *testing.T) {
	b := NewBoard()
	b.Failed("x", at(0))
	b.Keep(func(target.ID) (int64, bool) { return 0, false })
	require.Empty(t, b.records)
}

// A target fails, and starts again under its id. What its process before was slow
// or failing at is no reason to pass over the new one.
func TestTargetThatStartedAgainIsJudgedAnew(t *testing.T) {
	b := NewBoard()
	known := func(incarnation int64) func(target.ID) (int64, bool) {
		return func(target.ID) (int64, bool) { return incarnation, true }
	}
	b.Served("x", at(0), 20*time.Millisecond)
	b.Keep(known(7))
	b.Failed("x", at(1))
	b.Keep(known(7))
	require.NotZero(t, b.records["x"].failed)
	b.Keep(known(8))
	require.Empty(t, b.records)
}

// Both replicas of a service are seconds behind, and the primary has a queue. A
// read that left the queue after its patience to ask them once more would lose
// its place each time and be served by nobody.
func TestPrimaryIsTheOnlyChoiceWhileReplicasLag(t *testing.T) {
	b := NewBoard()
	all := []Candidate{{ID: "p", Primary: true, Waiting: 30}, {ID: "r1"}, {ID: "r2"}}
	_, alone := b.Choose(1, all)
	require.False(t, alone)
	b.Lagged("r1", 1)
	b.Lagged("r2", 1)
	i, alone := b.Choose(2, all)
	require.Equal(t, "p", string(all[i].ID))
	require.True(t, alone)
	b.Failed("p", 2)
	_, alone = b.Choose(3, all)
	require.False(t, alone, "a primary that does not answer is not waited for")
}

// A replica that stays behind is asked less and less often, and as usual again
// once it has served.
func TestReplicaThatStaysBehindIsAskedSeldom(t *testing.T) {
	b := NewBoard()
	asked, now := 0, clock.Time(1)
	all := []Candidate{{ID: "p", Primary: true}, {ID: "r"}}
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		if i, _ := b.Choose(now, all); all[i].ID == "r" {
			asked++
			b.Lagged("r", now)
		}
	}
	require.LessOrEqual(t, asked, 9, "in 5 s")
	require.GreaterOrEqual(t, asked, 6)
	now = now.Add(maxLagPause)
	b.Served("r", now, usualLatency)
	b.Lagged("r", now)
	i, _ := b.Choose(now.Add(lagPause+1), all)
	require.Equal(t, "r", string(all[i].ID))
}
