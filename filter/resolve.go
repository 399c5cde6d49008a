package filter

import (
	"context"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/view"
)

// Resolver learns whether a keyed transaction committed when the answer to its
// COMMIT is lost or cannot be acknowledged.
//
// Failure guarded against: a reservation is committed and the connection breaks
// before the answer. The caller would hear "unknown" although the target knows.
// The key's row is part of the transaction, so finding it at the current
// primary proves the commit, and the gate then proves the primary. Not finding
// it proves nothing: the COMMIT may still be on its way. Then the outcome stays
// unknown.
//
// Requests that are one batch need no Resolver: the retrier repeats them under
// their key.
type Resolver struct {
	View    *view.Holder
	Changes *Changes
	Budgets *Budgets
	Lookup  Handler
}

// Handle asks for the key until it is found or time runs out.
func (f Resolver) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	fail := next(ctx, r)
	if fail == nil || !r.Resolvable || !open(fail.Cause) {
		return fail
	}
	for n := 1; r.Left() > viewPoll; n++ {
		r.Load(f.View)
		if f.Lookup(ctx, r) == nil {
			return nil
		}
		if f.Changes.Wait(ctx, r.View, min(f.Budgets.delay(n), r.Left())) != nil {
			break
		}
	}
	return fail
}

// open reports whether a failure leaves the outcome of a sent COMMIT open.
func open(f request.Failure) bool {
	switch f {
	case request.FailureLost, request.FailureSuperseded, request.FailureUnacknowledged:
		return true
	}
	return false
}

// Searcher is the last filter of a lookup.
type Searcher struct{ Pool Connections }

// Handle looks for the key on a connection of its own.
func (f Searcher) Handle(ctx context.Context, r *Request, _ Handler) *Failure {
	lease, err := f.Pool.Acquire(ctx, r.Server, r.View.FleetSize, r.Left())
	if err != nil {
		return connectFailure(r, err)
	}
	defer lease.Release()
	return r.Work.Resolve(r, lease)
}

// Missing says that a lookup did not find the key.
func Missing() *Failure {
	return &Failure{
		Cause: request.FailureLost,
		Err:   outcome.Lost(askAgainAfter, "the key is not at the primary"),
	}
}

var _ Connections = (*pool.Pool)(nil)
