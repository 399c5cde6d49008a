package filter

import (
	"context"

	"endivemoor.example/endivemoor/request"
)

// Admitter waits for one of the server's statement slots.
type Admitter struct{ Limiter Admission }

// Handle holds the slot for the whole transaction. If each statement acquired a slot separately, a
// transaction that holds locks could wait for a slot held by transactions that wait for its locks.
func (a Admitter) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	release, err := a.Limiter.Acquire(ctx, r.Server.ID, r.Kind, r.Deadline)
	if err != nil {
		if ctx.Err() != nil {
			return canceled()
		}
		return Refusal(err)
	}
	defer release()
	r.Machine.RecordStep(request.StepAdmitted)
	return next(ctx, r)
}
