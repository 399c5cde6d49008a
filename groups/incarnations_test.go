package groups

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// listing is a catalog of one service with a primary "p" and a replica "r" of the given
// incarnation.
func listing(h *catalog.Holder, incarnation, revision int64) *catalog.Catalog {
	h.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s"}}})
	h.SetTargets(map[target.ID]*catalog.Target{
		"p": {ID: "p", Service: "s", Role: target.RolePrimary, Incarnation: 1},
		"r": {ID: "r", Service: "s", Role: target.RoleReplica, Incarnation: incarnation},
	}, revision)
	return h.Load()
}

// An attempt has paused a replica, which restarts and follows the old primary as before. A VM that
// has not received the attempt's record must not accept the replica as a witness for the primary
// before it has every record up to the entry of the new incarnation, nor while one of them is open
// or names another primary.
func TestRestartedReplicaIsWitnessOnlyOnceRecordsAreKnown(t *testing.T) {
	h := catalog.NewHolder()
	r := NewRegistry(Config{Catalog: h, Clock: &manual{now: 1}, Log: zap.NewNop()})
	r.Update(listing(h, 7, 10))
	g := r.Group("s")
	require.True(t, g.CanWitness("r"), "only one incarnation of it is known")

	r.Update(listing(h, 8, 20))
	require.False(t, g.CanWitness("r"))
	require.True(t, g.CanWitness("p"))
	h.SetFleet(nil, nil, 19)
	require.False(t, g.CanWitness("r"), "the known records are older than its entry")
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 15, Attempt: &catalog.Attempt{Deposed: "p"}}}, 21)
	require.False(t, g.CanWitness("r"), "it may have been paused for the open attempt")
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 22, Primary: "q"}}, 22)
	require.False(t, g.CanWitness("r"), "another target leads")
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 23, Primary: "p"}}, 23)
	require.True(t, g.CanWitness("r"))
}

// An attempt has paused all targets, and another one joins and follows the old primary. A VM that has
// not received the attempt's record must not accept it as a witness before it has every record up to
// the entry of that target. Evidence that no record was written since shows that as well.
func TestReplicaThatJoinsIsWitnessOnlyOnceRecordsAreKnown(t *testing.T) {
	h := catalog.NewHolder()
	complete := catalog.Revision(0)
	r := NewRegistry(Config{Catalog: h, Clock: &manual{now: 1}, Log: zap.NewNop(), RecordsRevision: func() catalog.Revision { return complete }})
	r.Update(listing(h, 7, 10))
	g := r.Group("s")
	h.SetFleet(nil, nil, 12)
	joined := maps.Clone(h.Load().Targets)
	joined["j"] = &catalog.Target{ID: "j", Service: "s", Role: target.RoleReplica, Incarnation: 9}
	h.SetTargets(joined, 20)
	r.Update(h.Load())
	require.True(t, g.CanWitness("r"), "it was listed before")
	require.False(t, g.CanWitness("j"))
	complete = 19
	require.False(t, g.CanWitness("j"), "a record may be missing")
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 13, Attempt: &catalog.Attempt{Deposed: "p"}}}, 13)
	complete = 20
	require.False(t, g.CanWitness("j"), "the open attempt may not have paused it")
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 14, Primary: "p"}}, 14)
	require.True(t, g.CanWitness("j"))
}

// A primary restarts with an empty log under its id, and its entry changes only in its incarnation.
// The status that it reported as the primary before must not count any more.
func TestRestartedPrimaryHasNoTerm(t *testing.T) {
	h := catalog.NewHolder()
	r := NewRegistry(Config{Catalog: h, Clock: &manual{now: 1}, Log: zap.NewNop()})
	r.Update(listing(h, 7, 10))
	g := r.Group("s")
	g.Leadership.RecordStatus("p", target.RolePrimary, 4)
	require.EqualValues(t, 4, g.Leadership.Current().Term)
	h.SetTargets(map[target.ID]*catalog.Target{"p": {ID: "p", Service: "s", Role: target.RolePrimary, Incarnation: 2}}, 11)
	r.Update(h.Load())
	require.Zero(t, g.Leadership.Current().Term)
	require.EqualValues(t, 4, g.Leadership.Highest(), "terms only grow")
}

// An entry of another writer names a service that is not published. No VM looks for its primary.
func TestUnpublishedServiceHasNoGroup(t *testing.T) {
	h := catalog.NewHolder()
	r := NewRegistry(Config{Catalog: h, Clock: &manual{now: 1}, Log: zap.NewNop()})
	listing(h, 7, 10)
	h.SetTargets(map[target.ID]*catalog.Target{"x": {ID: "x", Service: "nobody"}}, 11)
	r.Update(h.Load())
	require.Empty(t, r.All())
}

// replicaThatRestarted breaks the connection on which it is queried, and answers on another one.
type replicaThatRestarted struct {
	unresponsiveTargets
	broken func()
}

func (t replicaThatRestarted) Recent(context.Context, target.ID, time.Duration, time.Duration) ([]string, time.Duration, error) {
	t.broken()
	return []string{"status"}, 0, nil
}

// A VM that is cut off from the store sees the restart of a replica only as it queries it.
func TestReplicaThatBreaksItsConnectionIsNoWitness(t *testing.T) {
	clk := newAtomicClock()
	var brokenAt, confirmedAt clock.Time
	h := catalog.NewHolder()
	r := NewRegistry(Config{
		Catalog: h, Clock: clk, Log: zap.NewNop(),
		Control: replicaThatRestarted{broken: func() { brokenAt = max(brokenAt, clk.Now()) }},
		Decode: func(string) (statement.Status, error) {
			return statement.Status{Role: target.RoleReplica, Term: 1}, nil
		},
		RecordsConfirmedAt: func() clock.Time { return confirmedAt },
		BrokenAt:           func(target.ID) clock.Time { return brokenAt },
	})
	r.Update(listing(h, 7, 10))
	g, b := r.Group("s"), leadership.State{Primary: "p", Term: 1}
	require.ErrorIs(t, g.witnessByReplica(context.Background(), b, "r", clk.Now()), ErrNoWitness)
	confirmedAt = clk.Now()
	require.NoError(t, g.witnessByReplica(context.Background(), b, "r", clk.Now()), "no attempt before the break is unknown")

	clk.pass(takeover.Permission)
	require.NoError(t, g.witnessByReplica(context.Background(), b, "r", clk.Now()), "an unknown attempt is not past its fences")
	clk.pass(1)
	require.ErrorIs(t, g.witnessByReplica(context.Background(), b, "r", clk.Now()), ErrNoWitness)
	confirmedAt = clk.Now()
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 12, Attempt: &catalog.Attempt{Deposed: "p"}}}, 12)
	require.False(t, g.CanWitness("r"), "an open attempt may have paused it before the break")
}

// Failure guarded against: a process starts during an attempt whose record it receives, and takes a replica
// that has restarted and lost its pause for a witness of the primary that is being replaced.
func TestProcessThatStartsTrustsReplicasOnceRecordsAreKnown(t *testing.T) {
	clk := newAtomicClock()
	var confirmedAt clock.Time
	h := catalog.NewHolder()
	r := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Eligible: func() bool { return false },
		RecordsConfirmedAt: func() clock.Time { return confirmedAt }})
	r.Update(listing(h, 7, 10))
	g, b := r.Group("s"), leadership.State{Primary: "p", Term: 1}
	require.False(t, g.HasWitness(b))
	clk.pass(time.Second)
	confirmedAt = clk.Now()
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 12, Attempt: &catalog.Attempt{Deposed: "p"}}}, 12)
	require.False(t, g.HasWitness(b), "it may have been paused before this process started")
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 13, Primary: "p"}}, 13)
	require.True(t, g.HasWitness(b))
	h.SetFleet(nil, map[string]*catalog.LeadershipRecord{"s": {Service: "s", Revision: 14, Attempt: &catalog.Attempt{Deposed: "p"}}}, 14)
	require.True(t, g.HasWitness(b), "an attempt recorded since pauses this incarnation")
}

// Failure guarded against: a VM without the store's list reads the record for a proof, and trusts no replica
// for good.
func TestRecordReadForAProofConfirmsReplicas(t *testing.T) {
	clk := newAtomicClock()
	h := catalog.NewHolder()
	stored := &record{leadership: catalog.LeadershipRecord{Service: "s", Revision: 9, Primary: "p"}}
	r := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Control: unresponsiveTargets{}, Records: stored,
		Eligible: func() bool { return false }, RecordsConfirmedAt: func() clock.Time { return 0 }})
	r.Update(listing(h, 7, 10))
	g, b := r.Group("s"), leadership.State{Primary: "p", Term: 1}
	require.False(t, g.HasWitness(b))
	require.NoError(t, g.Prove(context.Background(), b, 0, clk.Now()))
	require.True(t, g.HasWitness(b))
}

// Failure guarded against: a process ends with a panic when a replica of a new catalog is looked up before
// its group has taken the catalog.
func TestTargetThatItsGroupDoesNotKnowYetIsNoWitness(t *testing.T) {
	clk, h := newAtomicClock(), catalog.NewHolder()
	r := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), RecordsConfirmedAt: clk.Now})
	listing(h, 7, 10)
	g := r.Group("s")
	g.TrustReplicas()
	require.False(t, g.CanWitness("r"))
	r.Update(h.Load())
	require.True(t, g.CanWitness("r"))
}
