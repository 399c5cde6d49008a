package filter

import (
	"context"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/view"
)

// Witness proves, for a read that accepts no age, that its primary was not superseded when the read
// arrived.
//
// Failure guarded against: the primary is cut off and superseded, and this proxy has not yet
// received that update. An exact read would return data that other callers have since changed, for
// as long as the network is cut, and no error would show it. The gate is queried while the read
// runs, so the proof adds no latency of its own; the last part of the answer waits for it. The
// proof shows that neither the primary nor a replica had promised a later term after the read
// arrived. Therefore no majority had, and no other server was primary.
type Witness struct{ Gate Gate }

// Handle runs the read and its proof concurrently.
func (w Witness) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	if !w.needed(r) {
		return next(ctx, r)
	}
	bounded, cancel := r.Bounded(ctx)
	defer cancel()
	proof := w.startProof(bounded, r.Group)
	if fail := next(ctx, r); fail != nil {
		return fail
	}
	if err := <-proof; err != nil {
		return &Failure{
			Cause: request.FailureSuperseded,
			Err:   outcome.Lost(floorRetryAfter, "the primary of group %q cannot be shown to lead: %v", r.Group.Name, err),
		}
	}
	return nil
}

// needed reports whether the read requires a proof. It is false if the session's floor was fetched
// for this request, because that query proves the same.
func (Witness) needed(r *Request) bool {
	return r.IsRead() && r.Executes && r.Kind.MaxAge <= 0 && r.OnPrimary() &&
		r.Floor.Source != session.SourcePrimary
}

func (w Witness) startProof(ctx context.Context, g *view.Group) <-chan error {
	proof := make(chan error, 1)
	go func() {
		_, err := w.Gate.Floor(ctx, g)
		proof <- err
	}()
	return proof
}
