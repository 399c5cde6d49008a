package promoter

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// movedClock is moved by the test.
type movedClock struct{ now clock.Time }

func (c *movedClock) Now() clock.Time { return c.now }

// pursuedReplica returns a Promoter whose attempt has replaced "a" by "b" and left the replica "c" in the
// given state, with the store's record.
func pursuedReplica(c *server) (*Promoter, *groups.Group, *records, *movedClock) {
	a := attemptOn(map[target.ID]*server{
		"a": {dead: true}, "c": c,
		"b": {status: statement.Status{Role: target.RolePrimary, Term: term}},
	})
	p, g, clk := a.p, a.g, &movedClock{now: clock.Time(time.Minute)}
	r := &records{now: catalog.LeadershipRecord{Service: "s", Revision: 9, Holder: "vm1", Primary: "b"}}
	p.cfg.Clock, p.cfg.Records, p.cfg.Nonce = clk, r, func() string { return "m" }
	p.cfg.Catalog.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s"}}})
	p.cfg.Catalog.SetTargets(map[target.ID]*catalog.Target{
		"a": {ID: "a", Service: "s"}, "b": {ID: "b", Service: "s", Role: target.RolePrimary}, "c": {ID: "c", Service: "s"},
	}, 3)
	p.startFollowUp("s", "c", term, "a")
	return p, g, r, clk
}

// Failure guarded against: the follow-up of one failover resumes a replica that a later one has paused, at
// any step of that one. The replica confirms commits that the promoted target lacks.
func TestFollowUpLiftsNoFenceOfAnotherAttempt(t *testing.T) {
	for name, s := range map[string]statement.Status{
		"paused for the same term": {Role: target.RoleReplica, Term: term - 1, Paused: term},
		"paused for a later term":  {Role: target.RoleReplica, Term: term, Paused: term + 1},
	} {
		c := &server{status: s}
		p, g, r, clk := pursuedReplica(c)
		p.sendFollowUp(context.Background(), g, "c", term)
		require.NotContains(t, c.commands, lane.ResumeCommand, name)

		w := p.stateOf("s")
		require.NotNil(t, w.pausedFollowUp(), name)
		for step, record := range []catalog.LeadershipRecord{
			{Service: "s", Revision: 10, Holder: "vm2", Primary: "b", Attempt: &catalog.Attempt{Holder: "vm2", Nonce: "n", Deposed: "b"}},
			{Service: "s", Revision: 11, Holder: "vm2", Primary: "c"},
		} {
			r.now = record
			known := r.now
			w.reason = takeover.ReasonNone
			require.True(t, p.otherAttempt(&known, w, clk.now), "%s, step %d: this VM begins none", name, step)
			a := &attempt{p: p, g: g, old: "b", followsUp: "a", others: []*catalog.Target{{ID: "a"}, {ID: "c"}},
				known: &catalog.LeadershipRecord{Service: "s", Revision: 9, Primary: "b"}}
			require.True(t, a.cleanUp(context.Background(), zap.NewNop()))
			require.NotContains(t, c.commands, lane.ResumeCommand, "%s, step %d: nor does one that it decided on before", name, step)
			require.Equal(t, record.Revision, r.now.Revision)
		}
	}
}

// Failure guarded against: a replica that could not be resumed after a failover remains paused.
func TestPausedReplicaIsResumedUnderARecordOfItsOwn(t *testing.T) {
	c := &server{status: statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term}}
	p, g, r, _ := pursuedReplica(c)
	p.sendFollowUp(context.Background(), g, "c", term)
	known := r.now
	a := &attempt{p: p, g: g, old: "b", followsUp: "a", known: &known, others: []*catalog.Target{{ID: "a"}, {ID: "c"}}}
	held := false
	r.began = func() { held = true }
	require.True(t, a.cleanUp(context.Background(), zap.NewNop()))
	require.True(t, held)
	require.Zero(t, c.status.Paused)
	require.Nil(t, r.now.Attempt)
	require.Equal(t, target.ID("b"), r.now.Primary)

	p.sendFollowUp(context.Background(), g, "c", term)
	require.Empty(t, p.stateOf("s").followUps)
}

// Failure guarded against: the holder of an attempt is suspended at any step, another VM begins an attempt,
// and the first one's commands lift its fences when it wakes.
func TestSuspendedHolderResumesNothing(t *testing.T) {
	for _, elapsed := range []time.Duration{0, takeover.PromotionLimit - 1, takeover.PromotionLimit, takeover.ExpireAfter, time.Minute} {
		for _, other := range []bool{false, true} {
			c := &server{status: statement.Status{Role: target.RoleReplica, Term: term - 1, Paused: term}}
			p, g, r, clk := pursuedReplica(c)
			known := r.now
			a := &attempt{p: p, g: g, old: "b", known: &known, paused: []target.ID{"c"}}
			require.NoError(t, a.record(context.Background(), a.known, "b"))
			clk.now = clk.now.Add(elapsed)
			if other {
				r.now.Revision, r.now.Attempt = 30, &catalog.Attempt{Holder: "vm2", Nonce: "n", Deposed: "b"}
			}
			a.giveUp(context.Background())
			if other && elapsed >= takeover.PromotionLimit {
				require.NotContains(t, c.commands, lane.ResumeCommand, elapsed)
				require.Equal(t, "n", r.now.Attempt.Nonce)
				continue
			}
			require.Contains(t, c.commands, lane.ResumeCommand, elapsed)
			require.Equal(t, other, r.now.Attempt != nil)
		}
	}
}

// Failure guarded against: a command to resume that was not answered arrives during this VM's next attempt.
func TestUnansweredResumeDelaysTheNextAttempt(t *testing.T) {
	p, g, r, clk := pursuedReplica(&server{dead: true})
	known := r.now
	a := &attempt{p: p, g: g, old: "b", known: &known, paused: []target.ID{"c"}}
	require.NoError(t, a.record(context.Background(), a.known, "b"))
	a.giveUp(context.Background())
	p.running.Add(1)
	p.done(a)
	require.Equal(t, clk.now.Add(takeover.SettlePeriod), p.stateOf("s").notBefore)
}

// Failure guarded against: a target that did not confirm its pause is paused all the same, and stays so.
func TestTargetOfAnUnansweredPauseIsPursued(t *testing.T) {
	p, g, _, _ := pursuedReplica(&server{dead: true})
	a := &attempt{p: p, g: g, old: "b", term: term + 1, held: &catalog.LeadershipRecord{Service: "s"}, heldAt: p.cfg.Clock.Now()}
	_, err := a.pauseAll(context.Background(), []target.ID{"c"})
	require.Error(t, err)
	delete(p.stateOf("s").followUps, "c")
	require.True(t, a.resume(context.Background(), "", ""))
	require.Contains(t, p.stateOf("s").followUps, target.ID("c"))
}

// Failure guarded against: a command waits for a connection while its VM is suspended, and is sent after
// others consider its sender dead.
func TestCommandsOfAnAttemptExpire(t *testing.T) {
	clk := &movedClock{now: clock.Time(time.Minute)}
	a := attemptOn(nil)
	a.p.cfg.Clock, a.heldAt = clk, clk.now
	require.False(t, a.expired())
	clk.now = clk.now.Add(takeover.PromotionLimit)
	require.True(t, a.expired())
	require.Greater(t, takeover.ExpireAfter, takeover.PromotionLimit, "time for a command to arrive")

}
