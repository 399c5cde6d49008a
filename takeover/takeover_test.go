package takeover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

func at(term, n int) timeline.Position {
	return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
}

func TestJudge(t *testing.T) {
	cases := []struct {
		name  string
		signs Signs
		want  Reason
	}{
		{"well", Signs{Known: true}, ReasonNone},
		{"slow for a moment", Signs{Known: true, Silent: 200 * time.Millisecond}, ReasonNone},
		{"silent", Signs{Known: true, Silent: SilentAfter}, ReasonSilent},
		{"one refused connection may be a restart", Signs{Known: true, Silent: 200 * time.Millisecond, Refusals: 1}, ReasonNone},
		{"nothing listens", Signs{Known: true, Silent: RefusedAfter, Refusals: RefusedTimes}, ReasonRefusing},
		{"leaving", Signs{Known: true, Draining: true}, ReasonLeaving},
		{"died while leaving", Signs{Known: true, Draining: true, Silent: SilentAfter}, ReasonSilent},
		{"acknowledges nothing", Signs{Known: true, Stalled: StalledAfter}, ReasonStalled},
		{"a claim is on its way", Signs{Absent: time.Second}, ReasonNone},
		{"nobody leads", Signs{Absent: AbsentAfter}, ReasonAbsent},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Judge(c.signs), c.name)
	}
}

func TestChosenTargetHoldsTheMost(t *testing.T) {
	f, err := Choose([]Fenced{{ID: "a", Received: at(1, 50)}, {ID: "b", Received: at(1, 60)}}, nil)
	require.NoError(t, err)
	require.Equal(t, target.ID("b"), f.ID)
	f, err = Choose([]Fenced{{ID: "a", Received: at(2, 5)}, {ID: "b", Received: at(1, 60)}}, nil)
	require.NoError(t, err)
	require.Equal(t, target.ID("a"), f.ID, "a later term beats a longer log")
}

// A target joins a service whose newest term has no commit yet. Its log is empty,
// and it tells that term and the number 0, which is beyond all that was bought in
// the term before. Promoted, it would lead a service that has forgotten everything.
func TestEmptyLogIsNeverChosen(t *testing.T) {
	f, err := Choose([]Fenced{{ID: "a", Received: at(1, 60)}, {ID: "new", Received: at(2, 0)}, {ID: "z", Received: at(1, 59)}}, nil)
	require.NoError(t, err)
	require.Equal(t, target.ID("a"), f.ID)
	end := at(1, 60)
	f, err = Choose([]Fenced{{ID: "new", Received: at(2, 0)}, {ID: "z", Received: at(1, 60)}}, &end)
	require.NoError(t, err)
	require.Equal(t, target.ID("z"), f.ID)
	require.False(t, Holds(at(2, 0), at(1, 60)))
	require.False(t, Holds(at(2, 30), at(1, 60)))
	require.True(t, Holds(at(2, 61), at(1, 60)))
	require.True(t, Holds(at(1, 60), at(1, 60)))
}

// The old primary said where its log ends. A target that has not received all
// of it must not lead, and one that leaves leads only if nobody else can.
func TestPlannedChangeNeedsTheWholeLog(t *testing.T) {
	end := at(1, 60)
	_, err := Choose([]Fenced{{ID: "a", Received: at(1, 59)}}, &end)
	require.ErrorIs(t, err, ErrNoCandidate)
	f, err := Choose([]Fenced{{ID: "a", Received: at(1, 60), Leaving: true}, {ID: "b", Received: at(1, 60)}}, &end)
	require.NoError(t, err)
	require.Equal(t, target.ID("b"), f.ID)
	_, err = Choose(nil, nil)
	require.ErrorIs(t, err, ErrNoCandidate)
}

// Whatever two of three logs are fenced, the one chosen holds every commit that
// two of the three held.
func TestNoAcknowledgedCommitIsOutvoted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		primary := rapid.IntRange(1, 100).Draw(t, "primary")
		a := rapid.IntRange(0, primary).Draw(t, "a")
		b := rapid.IntRange(0, primary).Draw(t, "b")
		acknowledged := max(a, b)
		f, err := Choose([]Fenced{{ID: "a", Received: at(1, a)}, {ID: "b", Received: at(1, b)}}, nil)
		require.NoError(t, err)
		require.GreaterOrEqual(t, int(f.Received.LSN), acknowledged)
	})
}

// Every VM sees the primary die at the same moment. They must not all act at
// once, and no VM may have to wait long in a large fleet.
func TestTurnsAreSpread(t *testing.T) {
	var vms []string
	for i := range 9 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	seen := make(map[time.Duration]int)
	for _, vm := range vms {
		seen[Turn("ledger", vm, vms)]++
	}
	require.Len(t, seen, 9)
	require.Equal(t, 1, seen[0])
	require.LessOrEqual(t, Turn("ledger", "other", append(vms, make([]string, 1000)...)), maxTurns*TurnEvery)
}

// The times that safety rests on: an order must have arrived before others may
// act, and a permission must have lapsed within an attempt's time.
func TestTimesFitTogether(t *testing.T) {
	require.Greater(t, Lapse, Limit+2*time.Second)
	require.Less(t, Permission, Limit/2)
}
