package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/session"
)

// floorRetryAfter is the retry-after when the primary's position cannot be determined.
const floorRetryAfter = 500 * time.Millisecond

// Floorer finds the position that the request must see.
type Floorer struct {
	Gate Gate
	// Guards is set only by tests.
	Guards guard.Set
}

// Handle uses the session's watermark as the floor. A session without one may have written through
// another proxy, so its first read waits for the primary's position, witnessed by a replica. That
// position then becomes the session's watermark.
//
// Failure guarded against: a caller reconnects without its token to a proxy that still considers a
// superseded server the primary, and reads a state older than its own write. The witness proves
// that no later primary existed when it was queried.
//
// A write needs no floor: after the write, the gate proves that the primary was not superseded.
func (f Floorer) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	r.Floor = session.FloorOf(r.Session.Watermarks, r.Group)
	if r.Floor.Source == session.SourcePrimary && r.IsRead() && r.Executes && !f.Guards.Disabled(GuardFloor) {
		if fail := f.fetchFloor(ctx, r); fail != nil {
			return fail
		}
	}
	return next(ctx, r)
}

func (f Floorer) fetchFloor(ctx context.Context, r *Request) *Failure {
	ctx, cancel := r.Bounded(ctx)
	defer cancel()
	pos, err := f.Gate.Floor(ctx, r.Group)
	if err != nil {
		return &Failure{
			Cause: request.FailureNoServer,
			Err: outcome.Refuse(outcome.CodeCannotConnectNow, floorRetryAfter,
				"the position of group %q cannot be learned now: %v", r.Group.Name, err),
		}
	}
	r.Session.Watermarks.Raise(r.Group.Name, pos)
	r.Floor.Position = pos
	return nil
}
