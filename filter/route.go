package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/view"
)

// Chooser chooses a server for a request. routing.Router implements it.
type Chooser interface {
	Route(v *view.View, g *view.Group, r routing.Request) routing.Decision
}

// noServerRetryAfter is the minimum retry-after when no server qualifies.
const noServerRetryAfter = 250 * time.Millisecond

// Router chooses the server, and waits for one as long as the deadline permits.
type Router struct {
	Chooser Chooser
	View    *view.Holder
	Changes *ViewChanges
	Zone    string
}

// Sleeper waits for d or until ctx ends.
type Sleeper func(ctx context.Context, d time.Duration) error

// Sleep is the Sleeper that waits in real time.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Handle repeats the choice until a server qualifies. If the next try would come after the
// deadline, the request fails immediately.
func (f Router) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	since := r.Clock.Now()
	for {
		d := f.choose(r, since)
		if d.Server != nil {
			f.setServer(r, d)
			return next(ctx, r)
		}
		if d.Wait <= 0 || d.Wait >= r.Left() {
			return noServer(r, d)
		}
		if f.Changes.Wait(ctx, r.View, d.Wait) != nil {
			return canceled()
		}
		r.Load(f.View)
	}
}

func (f Router) choose(r *Request, since clock.Time) routing.Decision {
	q := routing.Request{Kind: r.Kind, Floor: r.Floor.Position, Zone: f.Zone, Now: r.Clock.Now(), Since: since}
	if r.Explicit {
		q.Kind = nil
	}
	return f.Chooser.Route(r.View, r.Group, q)
}

func (f Router) setServer(r *Request, d routing.Decision) {
	r.Decision = d
	r.Server = d.Server
	r.Term = r.Group.Term
	r.Committed = false
	r.Machine.RecordStep(request.StepRouted)
	r.Record.attempt(r)
}

func noServer(r *Request, d routing.Decision) *Failure {
	return &Failure{
		Cause: request.FailureNoServer,
		Err: outcome.Refuse(outcome.CodeCannotConnectNow, max(d.Wait, noServerRetryAfter),
			"no server of group %q can take the request now: %s", r.Group.Name, d.Reason),
	}
}

func canceled() *Failure {
	return &Failure{
		Cause: request.FailureCanceled,
		Err:   outcome.Refuse(outcome.CodeQueryCanceled, 0, "canceled by the caller before it was sent"),
	}
}
