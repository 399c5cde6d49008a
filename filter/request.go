package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// Work is the protocol-specific part of a request.
type Work interface {
	// Run executes the request on a leased connection and withholds the last answer until the chain
	// has returned. It sets r.Committed and r.Position.
	Run(ctx context.Context, r *Request, l *pool.Lease) *Failure
	// Resolve looks up the key of a transaction whose COMMIT has no answer. If the key is found, it
	// returns nil and sets r.Committed and r.Position.
	Resolve(r *Request, l *pool.Lease) *Failure
}

// Session is the state shared by the requests of one caller's connection. It belongs to the
// goroutine that serves the connection.
type Session struct {
	// ID identifies the connection in records.
	ID uint64
	// User is the authenticated user.
	User string
	// Group is the name of the database group.
	Group string
	// Profile is the newest published version of the profile named at connect. If the profile is
	// retired, its last version stays in use until the session ends.
	Profile *profile.Profile
	// Watermarks are the session's watermarks.
	Watermarks session.Watermarks
	// Dirty is set if a write raised the watermarks after the last token was sent.
	Dirty bool
}

// Request is one transaction that passes through the chain. It belongs to the session's goroutine.
type Request struct {
	// ID is unique within this proxy.
	ID      uint64
	Session *Session
	Work    Work
	Clock   clock.Clock

	// Tags are the tags of the request's statements, as sent.
	Tags []Tag
	// Explicit is set if the request opens an explicit transaction.
	Explicit bool
	// Executes is false for a batch that only prepares or describes.
	Executes bool

	// View is the snapshot that this attempt uses.
	View  *view.View
	Group *view.Group
	// Tag is the merge of Tags.
	Tag      Tag
	Kind     *profile.Kind
	Start    clock.Time
	Deadline clock.Time
	Floor    session.Floor
	Decision routing.Decision
	// Server and Term are the destination of this attempt and the term under which it is sent.
	Server *view.Server
	Term   timeline.Term

	Machine *request.Machine
	// Committed is set if the attempt committed at a primary.
	Committed bool
	// Resolvable is set once the COMMIT of a keyed transaction was sent.
	Resolvable bool
	// Position is the primary's position after the commit.
	Position timeline.Position
	Record   Record
}

// OnPrimary reports whether the attempt runs at the view's primary.
func (r *Request) OnPrimary() bool { return r.Server != nil && r.Server.ID == r.Group.Primary }

// IsRead reports whether a replica may serve the request.
func (r *Request) IsRead() bool { return r.Kind.Access == profile.Read && !r.Explicit }

// Keyed reports whether the request carries a key that applies to it.
func (r *Request) Keyed() bool { return r.Tag.Key != "" && r.Executes }

// Left returns the time left until the deadline.
func (r *Request) Left() time.Duration { return max(0, r.Deadline.Sub(r.Clock.Now())) }

// Extend sets the deadline to the kind's limit after from, the time at which the input was read.
// Each batch of an explicit transaction has its own deadline.
func (r *Request) Extend(from clock.Time) {
	d := r.Kind.Deadline
	if d <= 0 {
		d = DefaultDeadline
	}
	r.Deadline = from.Add(d)
}

// Bounded returns ctx limited to the request's deadline.
func (r *Request) Bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.Left())
}

// Load takes a new snapshot of the view. If the view no longer has the group or the profile, the
// request keeps its present one.
func (r *Request) Load(h *view.Holder) {
	r.View = h.Load()
	if g := r.View.Groups[r.Session.Group]; g != nil {
		r.Group = g
	}
	if p := r.View.Profiles.Profile(r.Session.Profile.Name); p != nil {
		r.Session.Profile = p
	}
}

// Failure is the reason why an attempt ended without an answer.
type Failure struct {
	// Cause determines whether another attempt is made.
	Cause request.Failure
	// Err is the error sent to the caller. The retrier aligns its outcome with the machine's.
	Err *outcome.Error
	// Wait is the delay before another attempt, if one is made.
	Wait time.Duration
	// Fatal closes the caller's connection because its transaction is lost.
	Fatal bool
	// Missing is set if a lookup reached the primary and did not find the key.
	Missing bool
	// CallerDisconnected is set if no answer can be sent because the caller has disconnected.
	CallerDisconnected bool
}

// Error returns the message for the caller.
func (f *Failure) Error() string { return f.Err.Error() }

// Refusal returns a final failure with the outcome "not run".
func Refusal(err *outcome.Error) *Failure {
	return &Failure{Cause: request.FailureShed, Err: err}
}

// Handler runs a request through the rest of the chain.
type Handler func(ctx context.Context, r *Request) *Failure

// Filter performs one step for a request and passes it to the next handler.
type Filter interface {
	Handle(ctx context.Context, r *Request, next Handler) *Failure
}

// Chain composes filters, the first one outermost.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(ctx context.Context, r *Request) *Failure { return f.Handle(ctx, r, next) }
	}
	return h
}

// Admission limits the statements that run at each server.
type Admission interface {
	Acquire(ctx context.Context, server target.ID, k *profile.Kind, deadline clock.Time) (func(), *outcome.Error)
}

// Connections leases connections to servers.
type Connections interface {
	Acquire(ctx context.Context, srv *view.Server, fleet int, wait time.Duration) (*pool.Lease, error)
}

// Gate proves that a commit or a position belongs to the group's history.
type Gate interface {
	// Acknowledge returns nil once the commit at pos may be reported.
	Acknowledge(ctx context.Context, g *view.Group, pos timeline.Position, d profile.Durability) error
	// Floor returns the primary's position, confirmed by a witness that is queried after the call.
	Floor(ctx context.Context, g *view.Group) (timeline.Position, error)
}
