package filter

import (
	"context"
	"errors"
	"time"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/request"
)

// connectRetryAfter is the minimum retry-after when no connection is available.
const connectRetryAfter = 250 * time.Millisecond

// Executor holds a connection for the duration of the transaction. It is the last filter of the
// chain.
type Executor struct {
	Pool    Connections
	Running *Running
}

// Handle runs the request's protocol work and releases the connection. The pool reuses it only if
// it is proven clean.
func (e Executor) Handle(ctx context.Context, r *Request, _ Handler) *Failure {
	lease, fail := e.connect(ctx, r)
	if fail != nil {
		return fail
	}
	r.Machine.RecordStep(request.StepConnected)
	defer lease.Release()
	defer e.Running.Enter(r, lease)()
	return r.Work.Run(ctx, r, lease)
}

func (e Executor) connect(ctx context.Context, r *Request) (*pool.Lease, *Failure) {
	lease, err := e.Pool.Acquire(ctx, r.Server, r.View.FleetSize, r.Left())
	switch {
	case err == nil:
		return lease, nil
	case ctx.Err() != nil:
		return nil, canceled()
	}
	return nil, connectFailure(r, err)
}

func connectFailure(r *Request, err error) *Failure {
	f := &Failure{Cause: request.FailureConnect, Wait: connectRetryAfter}
	var unavailable *pool.UnavailableError
	switch {
	case errors.As(err, &unavailable):
		f.Wait = max(unavailable.RetryAfter, time.Millisecond)
	case errors.Is(err, context.DeadlineExceeded):
		f.Cause = request.FailureDeadline
	}
	f.Err = outcome.Refuse(outcome.CodeTooManyConnections, max(f.Wait, connectRetryAfter),
		"no connection to a server of group %q: %v", r.Group.Name, err)
	return f
}
