package filter

import (
	"context"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/view"
)

// Witness proves, for a read that accepts no age, that its primary was not
// superseded when the read came.
//
// Failure guarded against: the primary is cut off and superseded, and this
// proxy has not heard of it. An exact read would answer with data that other
// callers have since changed, for as long as the cut lasts, and nobody would
// see an error. The gate is asked while the read runs, so the proof costs no
// time of its own; the last part of the answer waits for it. Neither primary
// nor replica had promised a later term after the read came, so no majority
// had, and nobody else was primary.
type Witness struct{ Gate Gate }

// Handle runs the read and its proof side by side.
func (w Witness) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	if !w.needed(r) {
		return next(ctx, r)
	}
	bounded, cancel := r.Bounded(ctx)
	defer cancel()
	proof := w.ask(bounded, r.Group)
	if fail := next(ctx, r); fail != nil {
		return fail
	}
	if err := <-proof; err != nil {
		return &Failure{
			Cause: request.FailureSuperseded,
			Err:   outcome.Lost(floorRetry, "the primary of group %q cannot be shown to lead: %v", r.Group.Name, err),
		}
	}
	return nil
}

// needed is false if the session's floor was asked for this very request: that
// ask proves the same.
func (Witness) needed(r *Request) bool {
	return r.IsRead() && r.Executes && r.Kind.MaxAge <= 0 && r.OnPrimary() &&
		r.Floor.Source != session.SourcePrimary
}

func (w Witness) ask(ctx context.Context, g *view.Group) <-chan error {
	proof := make(chan error, 1)
	go func() {
		_, err := w.Gate.Floor(ctx, g)
		proof <- err
	}()
	return proof
}
