package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/request"
)

// DefaultDeadline applies to kinds that declare no deadline.
const DefaultDeadline = 5 * time.Second

// Timer sets the deadline and starts the request's state machine.
type Timer struct{}

// Handle measures the deadline from the time at which the whole request was read.
func (Timer) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	r.Extend(r.Start)
	r.Machine = request.New(request.Terms{
		Idempotent: r.Kind.Idempotent || r.IsRead(),
		Keyed:      r.Keyed() && !r.Explicit,
		Deadline:   r.Deadline,
	})
	return next(ctx, r)
}
