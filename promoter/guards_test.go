package promoter

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

type still struct{}

func (still) Now() clock.Time { return 1 }

// server is a target that answers the fleet's orders. One that is stubborn takes
// a pause for no concern of its own while it leads.
type server struct {
	status   statement.Status
	stubborn bool
	dead     bool
	orders   []lane.Command
}

func (s *server) answer(ask lane.Command, term timeline.Term) {
	s.orders = append(s.orders, ask)
	switch ask {
	case lane.PauseCommand(term):
		if s.status.Role == target.RoleReplica {
			s.status.Paused = term
		}
	case lane.ResumeCommand:
		s.status.Paused = 0
	case lane.StepDownCommand(term):
		if s.status.Term < term && !s.stubborn {
			s.status.Role = target.RoleReplica
		}
	}
}

// asker reaches servers by their names. Rows are the names again, which the
// decoder turns into the status.
type asker struct {
	servers map[target.ID]*server
	term    timeline.Term
}

func (a *asker) Control(_ context.Context, id target.ID, ask lane.Command, _ time.Duration) ([]string, error) {
	if a.servers[id].dead {
		return nil, errors.New("no answer")
	}
	a.servers[id].answer(ask, a.term)
	return []string{string(id)}, nil
}

func (a *asker) Recent(ctx context.Context, id target.ID, _, timeout time.Duration) ([]string, time.Duration, error) {
	rows, err := a.Control(ctx, id, lane.StatusCommand, timeout)
	return rows, 0, err
}

const term = 5

func attemptOn(servers map[target.ID]*server) *attempt {
	a := &asker{servers: servers, term: term}
	r := groups.NewRegistry(groups.Config{
		Catalog: catalog.NewHolder(), Asker: a, Clock: still{}, Log: zap.NewNop(),
		Decode: func(row string) (statement.Status, error) { return servers[target.ID(row)].status, nil },
	})
	p := New(Config{Node: "vm1", Clock: still{}, Log: zap.NewNop(), Catalog: catalog.NewHolder(), Groups: r})
	return &attempt{p: p, g: r.Group("s"), term: term}
}

// A server that led before the last change, and has not met its successor,
// answers an order to pause and goes on as it was. Taken for paused, it would
// follow the primary that is being replaced, and confirm what the chosen one
// lacks.
func TestTargetThatStillLeadsIsNotTakenForPaused(t *testing.T) {
	old := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 2}}
	told := attemptOn(map[target.ID]*server{"t": old}).pauseOne(context.Background(), "t")
	require.NoError(t, told.err)
	require.Equal(t, []lane.Command{lane.PauseCommand(term), lane.StepDownCommand(term), lane.PauseCommand(term)}, old.orders)
	require.Equal(t, timeline.Term(term), told.status.Paused)

	stubborn := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 2}, stubborn: true}
	told = attemptOn(map[target.ID]*server{"t": stubborn}).pauseOne(context.Background(), "t")
	require.ErrorIs(t, told.err, errUnpaused)

	later := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 1}}
	told = attemptOn(map[target.ID]*server{"t": later}).pauseOne(context.Background(), "t")
	require.ErrorIs(t, told.err, errSuperseded, "another one leads by now")
}

// Two halves of a fleet each reach another target. The first promotes one; were
// the second to act at once, it would replace that one again, and the platform
// sees two holders of the duty in turn within moments.
func TestNobodyActsRightAfterAnother(t *testing.T) {
	p := New(Config{Node: "vm1", Clock: still{}, Log: zap.NewNop()})
	w := &watched{}
	ended := &catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm2"}
	start := clock.Time(time.Second)
	require.True(t, p.othersAct(ended, w, start))
	require.True(t, p.othersAct(ended, w, start.Add(takeover.Settle-1)))
	require.False(t, p.othersAct(ended, w, start.Add(takeover.Settle)))
	require.False(t, p.othersAct(&catalog.LeadershipRecord{Service: "s", Revision: 10, Holder: "vm1"}, w, start.Add(takeover.Settle)), "its own attempts follow each other")
}

// The holder of an attempt dies. Others must not act while it may still send
// orders, and must not wait for ever.
func TestAttemptOfADeadHolderLapses(t *testing.T) {
	p := New(Config{Node: "vm1", Clock: still{}, Log: zap.NewNop()})
	w := &watched{}
	open := &catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm2", Attempt: &catalog.Attempt{Holder: "vm2", Nonce: "n"}}
	start := clock.Time(time.Second)
	require.True(t, p.othersAct(open, w, start))
	require.True(t, p.othersAct(open, w, start.Add(takeover.Limit)))
	require.True(t, p.othersAct(open, w, start.Add(takeover.Lapse-1)))
	require.False(t, p.othersAct(open, w, start.Add(takeover.Lapse)))
	renewed := &catalog.LeadershipRecord{Service: "s", Revision: 10, Holder: "vm3", Attempt: &catalog.Attempt{Holder: "vm3", Nonce: "m"}}
	require.True(t, p.othersAct(renewed, w, start.Add(takeover.Lapse)), "a further attempt is watched anew")
}

// records is the store's record of one service.
type records struct{ now catalog.LeadershipRecord }

func (r *records) Begin(_ context.Context, known *catalog.LeadershipRecord, a catalog.Attempt) (*catalog.LeadershipRecord, error) {
	if known.Revision != r.now.Revision {
		return nil, errors.New("changed")
	}
	r.now.Revision++
	r.now.Holder, r.now.Attempt = a.Holder, &a
	held := r.now
	return &held, nil
}

func (r *records) End(_ context.Context, held *catalog.LeadershipRecord, primary target.ID) error {
	if held.Revision != r.now.Revision {
		return errors.New("changed")
	}
	r.now.Revision++
	r.now.Primary, r.now.Attempt = primary, nil
	return nil
}

// A VM has replaced "a", which is dead, by "b", and died before it let "c"
// receive again. Nothing that is bought at "b" can be confirmed, until another VM
// lets "c" go in its place; but not while "c" might lead, or was promoted instead.
func TestWhatADeadHolderHasPausedIsLetGo(t *testing.T) {
	leftBy := func(c *server) (*attempt, *records) {
		a := attemptOn(map[target.ID]*server{
			"a": {dead: true}, "c": c,
			"b": {status: statement.Status{Role: target.RolePrimary, Term: term}},
		})
		r := &records{now: catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm2", Attempt: &catalog.Attempt{Holder: "vm2", Nonce: "n", Deposed: "a"}}}
		a.p.cfg.Records, a.p.cfg.Nonce = r, func() string { return "m" }
		known := r.now
		a.old, a.known = "b", &known
		a.others = []*catalog.Target{{ID: "a"}, {ID: "c"}}
		return a, r
	}
	paused := &server{status: statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term}}
	a, r := leftBy(paused)
	require.True(t, a.tidy(context.Background(), zap.NewNop()))
	require.Zero(t, paused.status.Paused)
	require.Nil(t, r.now.Attempt)
	require.Equal(t, target.ID("b"), r.now.Primary)

	for name, c := range map[string]*server{
		"it does not answer": {dead: true},
		"it leads":           {status: statement.Status{Role: target.RolePrimary, Term: term}},
		"it was promoted":    {status: statement.Status{Role: target.RoleReplica, Term: term + 1}},
	} {
		a, r := leftBy(c)
		require.False(t, a.tidy(context.Background(), zap.NewNop()), name)
		require.Equal(t, "n", r.now.Attempt.Nonce, "the record stays: %s", name)
	}

	a, r = leftBy(&server{status: paused.status})
	r.now.Revision++
	require.True(t, a.tidy(context.Background(), zap.NewNop()))
	require.Equal(t, "n", r.now.Attempt.Nonce, "another VM was first")
}

// The VM that has ordered a promotion is killed and starts anew. Its order may
// still be on its way: while the old primary leads it must not let the replicas go,
// and once the new one does there is nothing to wait for.
func TestRestartedHolderWaitsForItsOrderToArrive(t *testing.T) {
	p := New(Config{Node: "vm1", Clock: still{}, Log: zap.NewNop()})
	w := &watched{}
	own := &catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm1", Attempt: &catalog.Attempt{Holder: "vm1", Nonce: "before", Deposed: "a"}}
	start := clock.Time(time.Second)
	require.True(t, p.othersAct(own, w, start))
	require.False(t, p.othersAct(own, w, start.Add(takeover.OwnLapse)), "it may begin a new attempt")
	require.False(t, p.abandoned(own, w, "a", start.Add(takeover.OwnLapse)))
	require.False(t, p.abandoned(own, w, "b", start.Add(takeover.OwnLapse-1)))
	require.True(t, p.abandoned(own, w, "b", start.Add(takeover.OwnLapse)))
	require.True(t, p.abandoned(own, w, "a", start.Add(takeover.Lapse)))
	w.nonce = "before"
	require.False(t, p.abandoned(own, w, "b", start.Add(takeover.OwnLapse)), "an attempt of this process lapses like any other")
}

// A replica was paused and starts again before anybody is promoted. It has forgotten
// the pause and follows the old primary, which confirms sales with its help that the
// other replica lacks. Promoted, that one would have lost them. The same holds for
// one that is paused again by another VM's order but holds nothing any more.
func TestPauseBeforeARebirthIsNoFence(t *testing.T) {
	at := func(n int) timeline.Position { return timeline.Position{Term: term - 1, LSN: timeline.LSN(n)} }
	paused := statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term, Received: at(100)}
	for name, c := range map[string]struct {
		now  statement.Status
		dead bool
		want error
	}{
		"it is as it was":            {now: paused},
		"it has forgotten the pause": {now: statement.Status{Role: target.RoleReplica, Term: term - 1, Received: at(101)}, want: errReborn},
		"it holds nothing":           {now: statement.Status{Role: target.RoleReplica, Paused: term}, want: errReborn},
	} {
		servers := map[target.ID]*server{"b": {status: paused}, "c": {status: c.now}}
		fenced := []takeover.Fenced{{ID: "b", Received: at(100)}, {ID: "c", Received: at(100)}}
		require.ErrorIs(t, attemptOn(servers).stillPaused(context.Background(), fenced), c.want, name)
	}
	servers := map[target.ID]*server{"b": {status: paused}, "c": {dead: true}}
	require.Error(t, attemptOn(servers).stillPaused(context.Background(), []takeover.Fenced{{ID: "c"}}))
}

// The chosen target starts again on the way to its promotion, and leads with nothing.
// Its peers must not be let go to follow it: they hold what was confirmed.
func TestChosenTargetMustLeadWithWhatItHeld(t *testing.T) {
	held := timeline.Position{Term: term - 1, LSN: 100}
	lead := &server{status: statement.Status{Role: target.RolePrimary, Term: term, Received: held}}
	a := attemptOn(map[target.ID]*server{"b": lead})
	require.NoError(t, a.awaitLead(context.Background(), takeover.Fenced{ID: "b", Received: held}))
	lead.status.Received = timeline.Position{Term: term}
	require.ErrorIs(t, a.awaitLead(context.Background(), takeover.Fenced{ID: "b", Received: held}), errReborn)
}
