package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/target"
)

// stalledRetryAfter is the retry-after of a write that was not sent because the
// primary confirms no writes: about the time in which the primary is replaced.
const stalledRetryAfter = 300 * time.Millisecond

var (
	errStalled  = errors.New("the primary confirms no write")
	errReplaced = errors.New("the primary is being replaced")
)

// awaitWrites waits while the primary confirms no writes, until one of the pending
// writes has ended. If that one was not confirmed either, the waiting write is
// refused: it has not run, and its consumer is not left in doubt.
func (l *Local) awaitWrites(ctx context.Context, g *groups.Group, id target.ID, timeout time.Duration) error {
	end := g.Health.Hold(id, l.Clock.Now())
	if end == nil {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-end.Done:
	case <-timer.C:
		return &lane.UnavailableError{Target: id, Expired: true, Cause: errStalled}
	case <-ctx.Done():
		return &lane.UnavailableError{Target: id, Expired: true, Cause: errStalled}
	}
	switch {
	case end.Answered:
		return nil
	case g.Leadership.Current().Primary != id || g.BeingReplaced(id):
		return &lane.UnavailableError{Target: id, Expired: true, Cause: errReplaced}
	default:
		now := l.Clock.Now()
		g.Breaker.Failed(now, now, groups.Stalled)
		return &lane.UnavailableError{Target: id, RetryAfter: stalledRetryAfter, Cause: errStalled}
	}
}
