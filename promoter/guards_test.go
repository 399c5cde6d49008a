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

type fixedClock struct{}

func (fixedClock) Now() clock.Time { return 1 }

// server is a target that answers the fleet's commands. While it leads it ignores a command to
// pause, and also one to step down if ignoresStepDown is set. With ignoresPause it never pauses.
type server struct {
	status          statement.Status
	ignoresStepDown bool
	ignoresPause    bool
	dead            bool
	commands        []lane.Command
}

func (s *server) answer(cmd lane.Command, term timeline.Term) {
	s.commands = append(s.commands, cmd)
	switch cmd {
	case lane.PauseCommand(term):
		if s.status.Role == target.RoleReplica && !s.ignoresPause {
			s.status.Paused = term
		}
	case lane.ResumeCommand:
		s.status.Paused = 0
	case lane.StepDownCommand(term):
		if s.status.Term < term && !s.ignoresStepDown {
			s.status.Role = target.RoleReplica
		}
	}
}

// controlClient reaches servers by their names. The rows of a reply contain the name, which the
// decoder maps to the status.
type controlClient struct {
	servers map[target.ID]*server
	term    timeline.Term
}

func (a *controlClient) Control(_ context.Context, id target.ID, cmd lane.Command, _ time.Duration) ([]string, error) {
	if a.servers[id].dead {
		return nil, errors.New("no answer")
	}
	a.servers[id].answer(cmd, a.term)
	return []string{string(id)}, nil
}

func (a *controlClient) Recent(ctx context.Context, id target.ID, _, timeout time.Duration) ([]string, time.Duration, error) {
	rows, err := a.Control(ctx, id, lane.StatusCommand, timeout)
	return rows, 0, err
}

const term = 5

func attemptOn(servers map[target.ID]*server) *attempt {
	a := &controlClient{servers: servers, term: term}
	r := groups.NewRegistry(groups.Config{
		Catalog: catalog.NewHolder(), Control: a, Clock: fixedClock{}, Log: zap.NewNop(),
		Decode: func(row string) (statement.Status, error) { return servers[target.ID(row)].status, nil },
	})
	p := New(Config{Node: "vm1", Clock: fixedClock{}, Log: zap.NewNop(), Catalog: catalog.NewHolder(), Groups: r})
	return &attempt{p: p, g: r.Group("s"), term: term}
}

// recoveringFleet is reached by this VM from the first status query on.
type recoveringFleet struct {
	Fleet
	target *server
}

func (f recoveringFleet) Reaches(clock.Time) bool { return len(f.target.commands) > 0 }

// Failure guarded against: this VM's own link recovers while it queries the targets, and it replaces
// a primary that was silent only to itself.
func TestVMWhosePathRecoversReplacesNoPrimary(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		s := &server{status: statement.Status{Role: target.RoleReplica}}
		a := attemptOn(map[target.ID]*server{"t": s, "old": {dead: true}})
		a.p.cfg.Fleet = recoveringFleet{target: s}
		a.old, a.reason, a.others, a.isolated = "old", takeover.ReasonUnresponsive, []*catalog.Target{{ID: "t"}}, isolated
		_, err := a.queryOthers(context.Background())
		require.ErrorIs(t, err, errWasIsolated)
	}
	s := &server{status: statement.Status{Role: target.RoleReplica}, commands: []lane.Command{lane.StatusCommand}}
	a := attemptOn(map[target.ID]*server{"t": s, "old": {dead: true}})
	a.p.cfg.Fleet = recoveringFleet{target: s}
	a.old, a.reason, a.others, a.isolated = "old", takeover.ReasonUnresponsive, []*catalog.Target{{ID: "t"}}, true
	_, err := a.queryOthers(context.Background())
	require.ErrorIs(t, err, errWasIsolated, "it was isolated when it decided, though no longer when it queried")
}

// A server that led before the last change, and has not connected to its successor, replies to a
// command to pause without pausing. Accepted as paused, it would follow the primary that is being
// replaced, and confirm commits that the chosen target lacks.
func TestTargetThatStillLeadsIsNotPaused(t *testing.T) {
	old := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 2}}
	reply := attemptOn(map[target.ID]*server{"t": old}).pauseOne(context.Background(), "t")
	require.NoError(t, reply.err)
	require.Equal(t, []lane.Command{lane.PauseCommand(term), lane.StepDownCommand(term), lane.PauseCommand(term)}, old.commands)
	require.Equal(t, timeline.Term(term), reply.status.Paused)

	ignoresStepDown := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 2}, ignoresStepDown: true}
	reply = attemptOn(map[target.ID]*server{"t": ignoresStepDown}).pauseOne(context.Background(), "t")
	require.ErrorIs(t, reply.err, errUnpaused)

	leadsPaused := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 2, Paused: term}, ignoresStepDown: true}
	reply = attemptOn(map[target.ID]*server{"t": leadsPaused}).pauseOne(context.Background(), "t")
	require.ErrorIs(t, reply.err, errUnpaused, "a target that leads is no fence, whatever pause it reports")

	for _, before := range []timeline.Term{0, term - 1} {
		replica := &server{status: statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: before}, ignoresPause: true}
		reply = attemptOn(map[target.ID]*server{"t": replica}).pauseOne(context.Background(), "t")
		require.ErrorIs(t, reply.err, errUnpaused, "it reports the pause for term %d", before)
	}

	later := &server{status: statement.Status{Role: target.RolePrimary, Term: term - 1}}
	reply = attemptOn(map[target.ID]*server{"t": later}).pauseOne(context.Background(), "t")
	require.ErrorIs(t, reply.err, errSuperseded, "another target leads by now")
}

// Each half of a fleet reaches a different target. The first half promotes one. If the second half
// acted at once, it would replace that target again, and the platform would receive calls of two
// holders of the duty within a short time.
func TestSettlePeriodAfterAnotherVMsAttempt(t *testing.T) {
	p := New(Config{Node: "vm1", Clock: fixedClock{}, Log: zap.NewNop()})
	w := &serviceState{}
	ended := &catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm2"}
	start := clock.Time(time.Second)
	require.True(t, p.otherAttempt(ended, w, start))
	require.True(t, p.otherAttempt(ended, w, start.Add(takeover.SettlePeriod-1)))
	require.False(t, p.otherAttempt(ended, w, start.Add(takeover.SettlePeriod)))
	require.False(t, p.otherAttempt(&catalog.LeadershipRecord{Service: "s", Revision: 10, Holder: "vm1"}, w, start.Add(takeover.SettlePeriod)), "its own attempts need no settle period")
}

// The holder of an attempt dies. Others must not act while it may still order a promotion, and must
// not wait without end.
func TestAttemptOfDeadHolderExpires(t *testing.T) {
	p := New(Config{Node: "vm1", Clock: fixedClock{}, Log: zap.NewNop()})
	w := &serviceState{}
	open := &catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm2", Attempt: &catalog.Attempt{Holder: "vm2", Nonce: "n"}}
	start := clock.Time(time.Second)
	require.True(t, p.otherAttempt(open, w, start))
	require.True(t, p.otherAttempt(open, w, start.Add(takeover.PromotionLimit)))
	require.True(t, p.otherAttempt(open, w, start.Add(takeover.ExpireAfter-1)))
	require.False(t, p.otherAttempt(open, w, start.Add(takeover.ExpireAfter)))
	renewed := &catalog.LeadershipRecord{Service: "s", Revision: 10, Holder: "vm3", Attempt: &catalog.Attempt{Holder: "vm3", Nonce: "m"}}
	require.True(t, p.otherAttempt(renewed, w, start.Add(takeover.ExpireAfter)), "the expiry of another attempt counts from its own record")
}

// records is the store's leadership record of one service.
type records struct {
	now catalog.LeadershipRecord
	// began, if set, is called once an attempt is recorded.
	began func()
}

func (r *records) Begin(_ context.Context, known *catalog.LeadershipRecord, a catalog.Attempt) (*catalog.LeadershipRecord, error) {
	if known.Revision != r.now.Revision {
		return nil, errors.New("changed")
	}
	r.now.Revision++
	r.now.Holder, r.now.Attempt = a.Holder, &a
	held := r.now
	if r.began != nil {
		r.began()
	}
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

// A VM has replaced "a", which is dead, by "b", and died before it resumed "c". No write at "b" can
// be confirmed until another VM resumes "c", which it must not do while "c" might lead or was
// promoted instead.
func TestPausesOfDeadHolderAreResumed(t *testing.T) {
	abandonedWith := func(c *server) (*attempt, *records) {
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
	a, r := abandonedWith(paused)
	require.True(t, a.cleanUp(context.Background(), zap.NewNop()))
	require.Zero(t, paused.status.Paused)
	require.Nil(t, r.now.Attempt)
	require.Equal(t, target.ID("b"), r.now.Primary)

	for name, c := range map[string]*server{
		"it does not answer": {dead: true},
		"it leads":           {status: statement.Status{Role: target.RolePrimary, Term: term}},
		"it was promoted":    {status: statement.Status{Role: target.RoleReplica, Term: term + 1}},
	} {
		a, r := abandonedWith(c)
		require.False(t, a.cleanUp(context.Background(), zap.NewNop()), name)
		require.Equal(t, "n", r.now.Attempt.Nonce, "the record is unchanged: %s", name)
	}

	chosen := &server{status: statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term}}
	a, r = abandonedWith(chosen)
	r.began = func() { chosen.status.Role = target.RolePrimary }
	require.True(t, a.cleanUp(context.Background(), zap.NewNop()))
	require.NotNil(t, r.now.Attempt, "it began to lead before the record was written: the record expires again")
	require.NotContains(t, chosen.commands, lane.ResumeCommand)

	a, r = abandonedWith(&server{status: paused.status})
	r.now.Revision++
	require.True(t, a.cleanUp(context.Background(), zap.NewNop()))
	require.Equal(t, "n", r.now.Attempt.Nonce, "another VM was first")
}

// The VM that has ordered a promotion is killed and restarts. Its call may still be on its way:
// while the old primary leads the VM must not resume the replicas, and once the new one leads there
// is nothing to wait for.
func TestRestartedHolderWaitsForItsCallToArrive(t *testing.T) {
	p := New(Config{Node: "vm1", Clock: fixedClock{}, Log: zap.NewNop()})
	w := &serviceState{}
	own := &catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm1", Attempt: &catalog.Attempt{Holder: "vm1", Nonce: "before", Deposed: "a"}}
	start := clock.Time(time.Second)
	require.True(t, p.otherAttempt(own, w, start))
	require.False(t, p.otherAttempt(own, w, start.Add(takeover.OwnExpireAfter)), "it may begin a new attempt")
	require.False(t, p.abandoned(own, w, "a", start.Add(takeover.OwnExpireAfter)))
	require.False(t, p.abandoned(own, w, "b", start.Add(takeover.OwnExpireAfter-1)))
	require.True(t, p.abandoned(own, w, "b", start.Add(takeover.OwnExpireAfter)))
	require.True(t, p.abandoned(own, w, "a", start.Add(takeover.ExpireAfter)))
	w.nonce = "before"
	require.False(t, p.abandoned(own, w, "b", start.Add(takeover.OwnExpireAfter)), "an attempt of this process expires like any other")
}

// A replica was paused and restarts before any target is promoted. It has lost the pause and
// follows the old primary, which confirms commits with its help that the other replica lacks. If
// that one were promoted, those commits would be lost. The same applies to a replica that is paused
// again by another VM's command but has lost its log.
func TestPauseBeforeRestartIsNoFence(t *testing.T) {
	at := func(n int) timeline.Position { return timeline.Position{Term: term - 1, LSN: timeline.LSN(n)} }
	paused := statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term, Received: at(100)}
	for name, c := range map[string]struct {
		now  statement.Status
		dead bool
		want error
	}{
		"it is unchanged":       {now: paused},
		"it has lost the pause": {now: statement.Status{Role: target.RoleReplica, Term: term - 1, Received: at(101)}, want: errRestarted},
		"its log is empty":      {now: statement.Status{Role: target.RoleReplica, Paused: term}, want: errRestarted},
	} {
		servers := map[target.ID]*server{"b": {status: paused}, "c": {status: c.now}}
		fenced := []takeover.Fenced{{ID: "b", Received: at(100)}, {ID: "c", Received: at(100)}}
		require.ErrorIs(t, attemptOn(servers).stillPaused(context.Background(), fenced), c.want, name)
	}
	servers := map[target.ID]*server{"b": {status: paused}, "c": {dead: true}}
	require.Error(t, attemptOn(servers).stillPaused(context.Background(), []takeover.Fenced{{ID: "c"}}))
}

// The chosen target restarts during its promotion, and leads with an empty log. Its peers must not
// be resumed to follow it, since they hold what was confirmed.
func TestChosenTargetMustRetainItsLog(t *testing.T) {
	held := timeline.Position{Term: term - 1, LSN: 100}
	lead := &server{status: statement.Status{Role: target.RolePrimary, Term: term, Received: held}}
	a := attemptOn(map[target.ID]*server{"b": lead})
	require.NoError(t, a.awaitLead(context.Background(), takeover.Fenced{ID: "b", Received: held}))
	lead.status.Received = timeline.Position{Term: term}
	require.ErrorIs(t, a.awaitLead(context.Background(), takeover.Fenced{ID: "b", Received: held}), errRestarted)
}

// Failure guarded against: a VM that reaches others again keeps what it counted against targets
// while its own path was cut.
func TestOthersResetWithThePromoter(t *testing.T) {
	n := 0
	p := attemptOn(nil).p
	p.cfg.Reset = func() { n++ }
	p.resetFailures(1)
	require.Equal(t, 1, n)
}
