package engine

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/internal/wait"
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
	return wait.CancelWhen(ctx, replacedCheckInterval, func() bool {
		current, known := g.KnownPrimary()
		return known && current.Primary != leader.Primary
	})
}
