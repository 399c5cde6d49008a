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

// Work is the protocol side of a request.
type Work interface {
	// Run executes the request on a leased connection and keeps the last answer
	// back until the chain has returned. It sets r.Committed and r.Position.
	Run(ctx context.Context, r *Request, l *pool.Lease) *Failure
	// Resolve looks for the key of a transaction whose COMMIT has no answer. It
	// returns nil, with r.Committed and r.Position set, if it is found.
	Resolve(r *Request, l *pool.Lease) *Failure
}

// Session is what requests of one caller's connection share. It belongs to the
// goroutine that serves the connection.
type Session struct {
	// ID names the connection in records.
	ID uint64
	// User is the authenticated user.
	User string
	// Group is the name of the database group.
	Group string
	// Profile is the newest published form of the profile that was named at
	// connect; a retired one stays in use until the session ends.
	Profile *profile.Profile
	// Marks is the session's watermark.
	Marks session.Marks
	// Dirty says that Marks grew by a write since the last token was sent.
	Dirty bool
}

// Request is one transaction on its way through the chain. It belongs to the
// session's goroutine.
type Request struct {
	// ID is unique within this proxy.
	ID      uint64
	Session *Session
	Work    Work
	Clock   clock.Clock

	// Tags are those of the request's statements, as sent.
	Tags []Tag
	// Explicit is set if the request opens an explicit transaction.
	Explicit bool
	// Executes is false for a batch that only prepares or describes.
	Executes bool

	// View is the picture of this attempt.
	View  *view.View
	Group *view.Group
	// Tag is what Tags amount to.
	Tag      Tag
	Kind     *profile.Kind
	Start    clock.Time
	Deadline clock.Time
	Floor    session.Floor
	Decision routing.Decision
	// Server and Term are where and under which term this attempt is sent.
	Server *view.Server
	Term   timeline.Term

	Machine *request.Machine
	// Committed is set if the attempt committed at a primary.
	Committed bool
	// Resolvable is set once a COMMIT of a keyed transaction was sent.
	Resolvable bool
	// Position is the primary's position after the commit.
	Position timeline.Position
	Record   Record
}

// OnPrimary reports whether the attempt runs at the view's primary.
func (r *Request) OnPrimary() bool { return r.Server != nil && r.Server.ID == r.Group.Primary }

// IsRead reports whether a replica may serve the request.
func (r *Request) IsRead() bool { return r.Kind.Access == profile.Read && !r.Explicit }

// Keyed reports whether the request carries a key that is to be used.
func (r *Request) Keyed() bool { return r.Tag.Key != "" && r.Executes }

// Left returns the time to the deadline.
func (r *Request) Left() time.Duration { return max(0, r.Deadline.Sub(r.Clock.Now())) }

// Extend sets the deadline for an answer to what was read at from. Each batch
// of an explicit transaction has its own.
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

// Load takes a new picture. A group that is gone stays as it was.
func (r *Request) Load(h *view.Holder) {
	r.View = h.Load()
	if g := r.View.Groups[r.Session.Group]; g != nil {
		r.Group = g
	}
	if p := r.View.Profiles.Profile(r.Session.Profile.Name); p != nil {
		r.Session.Profile = p
	}
}

// Failure is why an attempt ended without an answer.
type Failure struct {
	// Cause decides whether another attempt is made.
	Cause request.Failure
	// Err is what the caller is told. Its outcome is set by the machine.
	Err *outcome.Error
	// Wait is how long another attempt should wait, if it is made.
	Wait time.Duration
	// Fatal ends the caller's connection: its transaction is gone.
	Fatal bool
	// Gone says that the caller is not there to be told.
	Gone bool
}

// Error returns the message for the caller.
func (f *Failure) Error() string { return f.Err.Error() }

// Refusal is a final "not run" answer.
func Refusal(err *outcome.Error) *Failure {
	return &Failure{Cause: request.FailureShed, Err: err}
}

// Handler runs a request or the rest of the chain.
type Handler func(ctx context.Context, r *Request) *Failure

// Filter does one job for a request and hands it on.
type Filter interface {
	Handle(ctx context.Context, r *Request, next Handler) *Failure
}

// Chain joins filters, the first one outermost.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = func(ctx context.Context, r *Request) *Failure { return f.Handle(ctx, r, next) }
	}
	return h
}

// Admission is the limiter's side.
type Admission interface {
	Acquire(ctx context.Context, server target.ID, k *profile.Kind, deadline clock.Time) (func(), *outcome.Error)
}

// Connections is the pool's side.
type Connections interface {
	Acquire(ctx context.Context, srv *view.Server, fleet int, wait time.Duration) (*pool.Lease, error)
}

// Gate proves that a commit or a position belongs to the group's history.
type Gate interface {
	// Acknowledge returns nil once the commit at pos may be reported.
	Acknowledge(ctx context.Context, g *view.Group, pos timeline.Position, d profile.Durability) error
	// Floor returns the primary's position, witnessed after it was asked.
	Floor(ctx context.Context, g *view.Group) (timeline.Position, error)
}
