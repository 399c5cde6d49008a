package filter

import (
	"context"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/view"
)

// Resolver determines whether a keyed transaction committed when the answer to its COMMIT is lost
// or cannot be acknowledged.
//
// Failure guarded against: a reservation commits and the connection breaks before the answer
// arrives. The caller would receive "unknown" although the target has the result. The key's row is
// part of the transaction, so finding it at the current primary proves the commit, and the gate
// then proves the primary. Not finding it at the same primary proves nothing, because the COMMIT
// may still be in transit, so the proxy repeats the lookup a few times. If the key is missing at
// the primary of a later term, it will not appear any more. In both cases the caller then receives
// "unknown" without further delay.
//
// Requests that consist of one batch need no Resolver: the retrier repeats them under their key.
type Resolver struct {
	View    *view.Holder
	Changes *ViewChanges
	Budgets *Budgets
	Lookup  Handler
}

// maxLookups limits the lookups of a key that is not found. With the waits between them they take
// about half a second.
const maxLookups = 6

// Handle repeats the lookup until the key is found, cannot be found any more, or the deadline is
// reached.
func (f Resolver) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	fail := next(ctx, r)
	if fail == nil || !r.Resolvable || !outcomeOpen(fail.Cause) {
		return fail
	}
	sentTerm := r.Term
	for n := 1; r.Left() > viewPollInterval; n++ {
		r.Load(f.View)
		lookupFailure := f.Lookup(ctx, r)
		if lookupFailure == nil {
			return nil
		}
		if lookupFailure.Missing && (n >= maxLookups || r.Term > sentTerm) {
			break
		}
		if f.Changes.Wait(ctx, r.View, min(f.Budgets.delay(n), r.Left())) != nil {
			break
		}
	}
	return fail
}

// outcomeOpen reports whether a failure leaves the outcome of a sent COMMIT unknown.
func outcomeOpen(f request.Failure) bool {
	switch f {
	case request.FailureLost, request.FailureSuperseded, request.FailureUnacknowledged:
		return true
	}
	return false
}

// Searcher is the last filter of the lookup chain.
type Searcher struct{ Pool Connections }

// Handle looks up the key on a separate connection.
func (f Searcher) Handle(ctx context.Context, r *Request, _ Handler) *Failure {
	lease, err := f.Pool.Acquire(ctx, r.Server, r.View.FleetSize, r.Left())
	if err != nil {
		return connectFailure(r, err)
	}
	defer lease.Release()
	return r.Work.Resolve(r, lease)
}

// Missing returns the failure of a lookup that did not find the key.
func Missing() *Failure {
	return &Failure{
		Cause:   request.FailureLost,
		Err:     outcome.Lost(unknownOutcomeRetryAfter, "the key is not at the primary"),
		Missing: true,
	}
}

var _ Connections = (*pool.Pool)(nil)
