package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/session"
)

// floorRetry is the advice when the primary's position cannot be learned.
const floorRetry = 500 * time.Millisecond

// Floorer finds the position that the request must see.
type Floorer struct {
	Gate Gate
	// Guards is set by tests only.
	Guards guard.Set
}

// Handle takes the session's mark. A session without one may have written
// through another proxy, so its first read waits for the primary's position,
// witnessed by a replica; from then on that is its mark.
//
// Failure guarded against: a caller roams without its token to a proxy that
// still believes in a superseded primary. It would read from before its own
// write. The witness shows that no later primary existed when it was asked.
//
// A write needs no floor of its own: the gate proves after it that its primary
// was not superseded.
func (f Floorer) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	r.Floor = session.FloorOf(r.Session.Marks, r.Group)
	if r.Floor.Source == session.SourcePrimary && r.IsRead() && r.Executes && !f.Guards.Out(GuardFloor) {
		if fail := f.ask(ctx, r); fail != nil {
			return fail
		}
	}
	return next(ctx, r)
}

func (f Floorer) ask(ctx context.Context, r *Request) *Failure {
	ctx, cancel := r.Bounded(ctx)
	defer cancel()
	pos, err := f.Gate.Floor(ctx, r.Group)
	if err != nil {
		return &Failure{
			Cause: request.FailureNoServer,
			Err: outcome.Refuse(outcome.CodeCannotConnectNow, floorRetry,
				"the position of group %q cannot be learned now: %v", r.Group.Name, err),
		}
	}
	r.Session.Marks.Raise(r.Group.Name, pos)
	r.Floor.Position = pos
	return nil
}
