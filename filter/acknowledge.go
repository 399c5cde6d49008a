package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
)

// askAgainAfter is the advice after an unknown outcome.
const askAgainAfter = time.Second

// Acknowledger holds a commit back until the gate allows its report.
type Acknowledger struct {
	Gate Gate
	// Guards is set by tests only.
	Guards guard.Set
}

// Handle asks the gate after the commit and before the answer.
//
// Failure guarded against: a primary that was cut off and superseded commits a
// write which the promotion discards. It shows as a purchase that was
// confirmed and is gone. The gate looks for proof from another server, asked
// after the commit; without it the outcome is unknown and said to be so.
func (a Acknowledger) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	if fail := next(ctx, r); fail != nil {
		return fail
	}
	if r.Committed && !a.Guards.Out(GuardGate) {
		r.Machine.Pass(request.StepCommitted)
		if fail := a.await(ctx, r); fail != nil {
			return fail
		}
	}
	r.Machine.Pass(request.StepAcknowledged)
	return nil
}

func (a Acknowledger) await(ctx context.Context, r *Request) *Failure {
	ctx, cancel := r.Bounded(ctx)
	defer cancel()
	err := a.Gate.Acknowledge(ctx, r.Group, r.Position, r.Kind.Durability)
	if err == nil {
		return nil
	}
	return &Failure{
		Cause: request.FailureUnacknowledged,
		Err:   outcome.Lost(askAgainAfter, "the commit cannot be confirmed now: %v", err),
	}
}
