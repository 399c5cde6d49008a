package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
)

// stillLeads reports whether a commit that the primary has answered may be acknowledged: a witness
// was queried recently enough, or is queried now, to rule out that a promotion attempt passed its
// fences before the commit.
//
// Failure guarded against: a primary that is being replaced confirms a write. Its replicas are
// paused, so it can confirm nothing unless a new replica joins that the attempt has not paused, or
// its commits wait for no replica. Then a purchase is confirmed that is on none of the logs that
// remain valid. A recent answer of a witness suffices, because an attempt revokes all read
// permissions before it searches for new replicas, and waits until those of VMs that do not answer
// have expired.
func (s *Session) stillLeads(ctx context.Context, g *groups.Group, leader leadership.State) bool {
	if g.BeingReplaced(leader.Primary) {
		s.logUnwitnessed(g, leader, groups.ErrSuperseded)
		return false
	}
	err := g.Prove(ctx, leader, 0, s.engine.cfg.Clock.Now())
	if err != nil {
		s.logUnwitnessed(g, leader, err)
	}
	return err == nil && !g.BeingReplaced(leader.Primary)
}

// provable reports whether a commit that is sent to the primary now can be expected to be acknowledged: a
// witness is at hand, or the primary is proven to lead before the commit is sent.
//
// Failure guarded against: a VM that trusts no replica, as behind a cut, runs each write and leaves it in
// doubt.
//
// The primary is queried meanwhile: a VM that sends it nothing would not detect that it is dead.
func (s *Session) provable(ctx context.Context, g *groups.Group, w *work, leader leadership.State, since clock.Time) bool {
	if g.HasWitness(leader) {
		return true
	}
	go g.Probe(context.WithoutCancel(ctx), leader.Primary, spending.Suspicion, unprovenProbeInterval, unprovenProbeTimeout)
	return s.proven(g, w, s.prove(ctx, g, leader, since))
}

const (
	// unprovenProbeInterval is the interval in which writes that lack a proof share one query of the
	// primary.
	unprovenProbeInterval = 100 * time.Millisecond
	unprovenProbeTimeout  = 250 * time.Millisecond
)

func (s *Session) logUnwitnessed(g *groups.Group, leader leadership.State, err error) {
	s.engine.cfg.Log.Info("commit-unwitnessed", zap.String("service", g.Service),
		zap.String("primary", string(leader.Primary)), zap.Uint64("term", uint64(leader.Term)), zap.Error(err))
}
