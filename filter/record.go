package filter

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Record states why a request was routed as it was and how it ended. It is immutable once it is
// passed to a Sink.
type Record struct {
	ID       uint64 `json:"id"`
	Session  uint64 `json:"session"`
	User     string `json:"user"`
	Group    string `json:"group"`
	Profile  string `json:"profile"`
	Kind     string `json:"kind"`
	Keyed    bool   `json:"keyed"`
	Explicit bool   `json:"explicit"`
	// Read is set if the kind is declared a read.
	Read bool `json:"read"`
	// Replica is set if a replica served the request.
	Replica     bool              `json:"replica"`
	Floor       timeline.Position `json:"floor"`
	FloorSource string            `json:"floor_source"`
	Attempts    []Attempt         `json:"attempts"`
	// Position is the position of the acknowledged commit; zero if there was none.
	Position   timeline.Position `json:"position"`
	Outcome    string            `json:"outcome"`
	Code       outcome.SQLSTATE  `json:"code,omitempty"`
	Message    string            `json:"message,omitempty"`
	RetryAfter time.Duration     `json:"retry_after,omitempty"`
	// Took is the time from the receipt of the whole request to its answer.
	Took time.Duration `json:"took"`
}

// Attempt is one attempt at one server, with the evidence of the choice.
type Attempt struct {
	Server target.ID     `json:"server"`
	Term   timeline.Term `json:"term"`
	// Route is the reason for the router's choice.
	Route string `json:"route"`
	// After is the time from the request's start to the attempt.
	After time.Duration `json:"after"`
	// Step is the last step passed. Failure and Why are empty on success.
	Step    string         `json:"step"`
	Failure string         `json:"failure,omitempty"`
	Error   string         `json:"error,omitempty"`
	Why     request.Reason `json:"why,omitempty"`
	Retried bool           `json:"retried"`
}

func (rec *Record) attempt(r *Request) {
	rec.Attempts = append(rec.Attempts, Attempt{
		Server: r.Server.ID,
		Term:   r.Term,
		Route:  r.Decision.Reason.String(),
		After:  r.Clock.Now().Sub(r.Start),
	})
}

func (rec *Record) fail(r *Request, f *Failure, v request.FailureResult) {
	if len(rec.Attempts) == 0 {
		return
	}
	a := &rec.Attempts[len(rec.Attempts)-1]
	a.Step = r.Machine.Step().String()
	a.Failure = f.Cause.String()
	a.Error = f.Err.Message
	a.Why = v.Reason
	a.Retried = v.Retry
}

// Sink receives the record of every request that ended.
type Sink interface {
	Record(rec *Record)
}

// Sinks passes each record to several sinks.
type Sinks []Sink

// Record passes rec to each sink.
func (s Sinks) Record(rec *Record) {
	for _, x := range s {
		x.Record(rec)
	}
}

// Recorder completes the record of a request and passes it to its sink.
type Recorder struct{ Sink Sink }

// Handle completes the record after the request has ended.
func (f Recorder) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	fail := next(ctx, r)
	rec := &r.Record
	describe(rec, r)
	conclude(rec, r, fail)
	f.Sink.Record(rec)
	return fail
}

func describe(rec *Record, r *Request) {
	rec.ID, rec.Session, rec.User = r.ID, r.Session.ID, r.Session.User
	rec.Group, rec.Profile = r.Session.Group, r.Session.Profile.Name
	rec.Explicit, rec.Keyed = r.Explicit, r.Keyed()
	rec.Floor, rec.FloorSource = r.Floor.Position, r.Floor.Source.String()
	if r.Kind != nil {
		rec.Kind, rec.Read = r.Kind.Name, r.IsRead()
	}
	rec.Took = r.Clock.Now().Sub(r.Start)
}

func conclude(rec *Record, r *Request, fail *Failure) {
	if fail != nil {
		rec.Outcome = fail.Err.Outcome.String()
		rec.Code, rec.Message, rec.RetryAfter = fail.Err.Code, fail.Err.Message, fail.Err.RetryAfter
		return
	}
	rec.Outcome = outcome.Done.String()
	rec.Replica = !r.OnPrimary()
	if n := len(rec.Attempts); n > 0 {
		rec.Attempts[n-1].Step = r.Machine.Step().String()
	}
	if r.Committed {
		rec.Position = r.Position
	}
}
