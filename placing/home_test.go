package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

const homeNow = clock.Time(time.Second)

// chosen returns the choice of a VM in the zone of the near targets.
func chosen(t *Tracker, workspace string, near target.ID, ids ...target.ID) target.ID {
	candidates := []Candidate{{ID: "primary", Primary: true}}
	for _, id := range ids {
		candidates = append(candidates, Candidate{ID: id, SameZone: id == near})
	}
	PreferHome(workspace, candidates)
	return candidates[t.Choose(homeNow, candidates, time.Second, 0).Index].ID
}

// Failure guarded against: a workspace's reads go to either replica by chance, and need a connection
// at each.
func TestWorkspaceHasOneHomeAtAllVMs(t *testing.T) {
	homes := map[target.ID]int{}
	for i := range 200 {
		name := fmt.Sprint("w", i)
		home := chosen(NewTracker(), name, "", "a", "b")
		homes[home]++
		require.Equal(t, home, chosen(NewTracker(), name, "", "b", "a"), "another VM's list has another order")
		if third := chosen(NewTracker(), name, "", "a", "b", "c"); third != "c" {
			require.Equal(t, home, third, "a VM whose list has one more target moves only that target's part")
		}
		require.Equal(t, target.ID("b"), chosen(NewTracker(), name, "b", "a", "b"), "no read crosses zones to reach its home")
	}
	require.InDelta(t, 100, homes["a"], 25)
}

// Failure guarded against: reads wait for their home although another replica would serve them
// sooner.
func TestHomeIsPassedOver(t *testing.T) {
	home := chosen(NewTracker(), "north", "", "a", "b")
	for name, strike := range map[string]func(t *Tracker, c *Candidate){
		"down":   func(_ *Tracker, c *Candidate) { c.Down = true },
		"failed": func(t *Tracker, c *Candidate) { t.Failed(c.ID, homeNow) },
		"behind": func(t *Tracker, c *Candidate) { t.Lagged(c.ID, homeNow) },
		"full":   func(_ *Tracker, c *Candidate) { c.Pending = 2 },
		"slow": func(t *Tracker, c *Candidate) {
			for range 4 {
				t.Served(c.ID, 0, homeNow, 100*time.Millisecond)
			}
		},
	} {
		tracker, candidates := NewTracker(), []Candidate{{ID: "a"}, {ID: "b"}}
		strike(tracker, &candidates[slices.IndexFunc(candidates, func(c Candidate) bool { return c.ID == home })])
		PreferHome("north", candidates)
		choice := tracker.Choose(homeNow, candidates, time.Second, 0)
		require.NotEqual(t, home, candidates[choice.Index].ID, name)
	}
}

func TestReadsWithoutWorkspaceHaveNoHome(t *testing.T) {
	candidates := []Candidate{{ID: "a"}, {ID: "b"}}
	PreferHome("", candidates)
	require.Equal(t, []Candidate{{ID: "a"}, {ID: "b"}}, candidates)
}
