package engine

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/leadership"
)

// replacedCheckInterval is how often a read that waits at a primary checks whether that primary still
// leads: less than the shortest latency objective.
const replacedCheckInterval = 100 * time.Millisecond

// whileLeading returns a context for a read at a primary that is canceled once another target leads.
// end must be called when the read has ended.
//
// Failure guarded against: a read waits in the queue of a dead primary until its deadline, although
// another target leads by then. Nothing is lost by leaving the queue, as a read may be sent again.
func (s *Session) whileLeading(ctx context.Context, g *groups.Group, leader leadership.State) (_ context.Context, end func()) {
	if !s.refusesEarly(g) {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var check func()
	check = func() {
		if ctx.Err() != nil {
			return
		}
		if current, known := g.KnownPrimary(); known && current.Primary != leader.Primary {
			cancel()
			return
		}
		time.AfterFunc(replacedCheckInterval, check)
	}
	first := time.AfterFunc(replacedCheckInterval, check)
	return ctx, func() {
		first.Stop()
		cancel()
	}
}
