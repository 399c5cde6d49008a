package promoter

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Failure guarded against: a VM that is cut off has acknowledged commits at the new primary, which only the
// target that an open record names as deposed has received, and that target is left out.
func TestDeposedTargetThatFollowedTheNewPrimaryIsChosen(t *testing.T) {
	at := func(term, n int) timeline.Position {
		return timeline.Position{Term: timeline.Term(term), LSN: timeline.LSN(n)}
	}
	a := attemptOn(nil)
	a.p.cfg.Catalog.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", SyncReplicas: 1}}})
	a.known = &catalog.LeadershipRecord{Service: "s", Attempt: &catalog.Attempt{Holder: "vm2", Deposed: "d"}}
	a.g.Leadership.Listed([]*catalog.Target{{ID: "d", Role: target.RolePrimary}}, nil)
	a.g.Leadership.RecordStatus("d", target.RolePrimary, 1)
	a.g.Acknowledged.Raise(at(1, 90))
	behind := []takeover.Fenced{{ID: "q", Received: at(1, 100)}, {ID: "r", Received: at(1, 100)}}
	chosen, err := a.choose(append(behind, takeover.Fenced{ID: "d", Received: at(2, 130)}), nil)
	require.NoError(t, err)
	require.Equal(t, target.ID("d"), chosen.ID)

	chosen, err = a.choose(append(behind, takeover.Fenced{ID: "d", Received: at(1, 101)}), nil)
	require.NoError(t, err)
	require.Equal(t, target.ID("q"), chosen.ID, "what only it holds was acknowledged by nobody")
}

// steppingClock advances with each reading.
type steppingClock struct{ now clock.Time }

func (c *steppingClock) Now() clock.Time {
	c.now = c.now.Add(leadTimeout / 4)
	return c.now
}

// Failure guarded against: a designated target that is dead or was never reached is taken for the platform's
// present primary, and avoided although it alone holds acknowledged commits.
func TestOnlyATargetThatAnswersIsIneffective(t *testing.T) {
	held := timeline.Position{Term: term - 1, LSN: 100}
	follows := statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term, Received: held}
	for name, c := range map[string]struct {
		chosen server
		want   error
	}{
		"it answers and follows": {server{status: follows}, errNoEffect},
		"it is dead":             {server{dead: true}, errNotLeading},
		"its log is empty":       {server{status: statement.Status{Role: target.RoleReplica}}, errNotLeading},
	} {
		a := attemptOn(map[target.ID]*server{"b": &c.chosen})
		a.p.cfg.Clock = &steppingClock{}
		err := a.awaitLead(context.Background(), takeover.Fenced{ID: "b", Received: held})
		require.True(t, errors.Is(err, c.want), "%s: %v", name, err)
	}
}
