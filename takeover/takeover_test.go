package takeover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
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

func TestDiagnose(t *testing.T) {
	cases := []struct {
		name     string
		symptoms Symptoms
		want     Reason
	}{
		{"healthy", Symptoms{Known: true}, ReasonNone},
		{"briefly slow", Symptoms{Known: true, Unresponsive: 200 * time.Millisecond}, ReasonNone},
		{"unresponsive", Symptoms{Known: true, Unresponsive: UnresponsiveAfter}, ReasonUnresponsive},
		{"one refused connection may be a restart", Symptoms{Known: true, Unresponsive: 200 * time.Millisecond, Refusals: 1}, ReasonNone},
		{"nothing listens", Symptoms{Known: true, Unresponsive: RefusedAfter, Refusals: RefusedTimes}, ReasonRefusing},
		{"draining", Symptoms{Known: true, Draining: true}, ReasonLeaving},
		{"unresponsive while draining", Symptoms{Known: true, Draining: true, Unresponsive: UnresponsiveAfter}, ReasonUnresponsive},
		{"acknowledges nothing", Symptoms{Known: true, Stalled: StalledAfter}, ReasonStalled},
		{"a claim may still arrive", Symptoms{Absent: time.Second}, ReasonNone},
		{"no target claims to lead", Symptoms{Absent: AbsentAfter}, ReasonAbsent},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Diagnose(c.symptoms), c.name)
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

// A target joins a service whose newest term has no commit yet. Its log is empty, and it reports
// that term and the number 0, which compares beyond every position of the term before. If it were
// promoted, the service would lose all its data.
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

// The old primary has reported where its log ends. A target that has not received all of it must
// not lead, and a draining one leads only if no other target can.
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

// Whichever two of three logs are fenced, the chosen one holds every commit that two of the three
// held.
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

// Every VM detects the primary's death at the same time. They must not all act at once, and no VM
// of a large fleet may have to wait long.
func TestStaggerDelaysAreSpread(t *testing.T) {
	var vms []string
	for i := range 9 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	seen := make(map[time.Duration]int)
	for _, vm := range vms {
		seen[StaggerDelay("ledger", vm, vms)]++
	}
	require.Len(t, seen, 9)
	require.Equal(t, 1, seen[0])
	require.LessOrEqual(t, StaggerDelay("ledger", "other", append(vms, make([]string, 1000)...)), maxStaggerSteps*StaggerInterval)
}

// Guards against: a slow VM that is the first to watch a list or to replace a primary.
func TestSlowVMsActLast(t *testing.T) {
	vms := []string{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5"}
	order := func(last ...string) []string {
		last = slices.Sorted(slices.Values(last))
		return slices.SortedFunc(slices.Values(vms), func(a, b string) int {
			return cmp.Compare(StaggerDelay("ledger", a, vms, last...), StaggerDelay("ledger", b, vms, last...))
		})
	}
	calm := order()
	require.Equal(t, append(slices.Clone(calm[2:]), calm[:2]...), order(calm[:2]...))
	require.Equal(t, calm, order(vms...), "all are slow")
}

// Guards against: a change that most VMs of a large fleet try to make at once, and against VMs that
// wait long for others that cannot make it. The last VM's delay grows with the logarithm of the fleet.
func TestListedReasonsAreActedOnByFewVMsAtATime(t *testing.T) {
	for _, fleet := range []int{3, 30, 300, 1000, 3000} {
		vms := make([]string, fleet)
		for i := range vms {
			vms[i] = fmt.Sprint("vm", i)
		}
		atOnce, last := 0, time.Duration(0)
		for _, vm := range vms {
			delay := ListedStaggerDelay("ledger", vm, vms)
			last = max(last, delay)
			if delay < recordSpreadTime {
				atOnce++
			}
		}
		require.LessOrEqual(t, atOnce, maxStaggerSteps)
		doublings := time.Duration(math.Ceil(math.Log2(float64(fleet)/maxStaggerSteps + 1)))
		require.LessOrEqual(t, last, maxStaggerSteps*StaggerInterval+doublings*recordSpreadTime)
	}
}

// Safety depends on these relations: a call to promote a target must have arrived before other VMs
// may act, and a permission must have expired within an attempt's time.
func TestTimeLimitsAreConsistent(t *testing.T) {
	require.Greater(t, ExpireAfter, PromotionLimit+2*time.Second)
	require.Less(t, Permission, PromotionLimit/2)
}
