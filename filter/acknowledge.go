package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
)

// unknownOutcomeRetryAfter is the retry-after sent with an unknown outcome.
const unknownOutcomeRetryAfter = time.Second

// Acknowledger delays the report of a commit until the gate permits it.
type Acknowledger struct {
	Gate Gate
	// Guards is set only by tests.
	Guards guard.Set
}

// Handle consults the gate after the commit and before the answer is sent.
//
// Failure guarded against: a primary that is cut off and superseded commits a write, and the
// promotion discards it. The caller sees a confirmed purchase that no longer exists. The gate
// requires proof from another server, obtained by a query that is sent after the commit. Without
// that proof the outcome is unknown, and the answer states so.
func (a Acknowledger) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	if fail := next(ctx, r); fail != nil {
		return fail
	}
	if r.Committed && !a.Guards.Disabled(GuardGate) {
		r.Machine.RecordStep(request.StepCommitted)
		if fail := a.awaitGate(ctx, r); fail != nil {
			return fail
		}
	}
	r.Machine.RecordStep(request.StepAcknowledged)
	return nil
}

func (a Acknowledger) awaitGate(ctx context.Context, r *Request) *Failure {
	ctx, cancel := r.Bounded(ctx)
	defer cancel()
	err := a.Gate.Acknowledge(ctx, r.Group, r.Position, r.Kind.Durability)
	if err == nil {
		return nil
	}
	return &Failure{
		Cause: request.FailureUnacknowledged,
		Err:   outcome.Lost(unknownOutcomeRetryAfter, "the commit cannot be confirmed now: %v", err),
	}
}
