package dispatch

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Claim is a request for a connection.
type Claim struct {
	Options lane.AcquireOptions
	// QueueTimeout bounds the wait for the connection.
	QueueTimeout time.Duration
}

// Job is one statement for a target.
type Job struct {
	Service   string
	Statement *statement.Statement
	// Prepared is the prepared statement that an Execute runs; nil for other statements.
	Prepared *lane.Prepared
	// Values are the session's values.
	Values map[string]string
	// After is the position that the target's log must contain.
	After timeline.Position
	// Commits is set if success means that a write is committed: for a write outside of
	// a transaction, and for the commit of a transaction that wrote.
	Commits bool
	// AnswerTimeout bounds the wait for the answer once the statement was sent.
	AnswerTimeout time.Duration
}

// Opening holds the parameters of a transaction to open.
type Opening struct {
	Service string
	// Values are the session's values.
	Values map[string]string
	Begin  lane.Begin
}

// Result is a target's answer.
type Result struct {
	Answer *statement.Answer
	// Sent is a time before the target received the statement.
	Sent clock.Time
	// Took is the time that the target needed to answer, measured by the VM that
	// is connected to it.
	Took time.Duration
}

// Runner runs statements at targets. It is safe for concurrent use.
type Runner interface {
	// Run runs one statement outside of a transaction.
	Run(ctx context.Context, id target.ID, claim Claim, job *Job) (*Result, error)
	// Open opens a transaction. If the target refused, the transaction is nil and
	// the answer holds the refusal.
	Open(ctx context.Context, id target.ID, claim Claim, o *Opening) (Transaction, *statement.Answer, error)
	// ProvesFreshness reports whether a target's answers come with proofs of freshness,
	// so that no proof has to be requested first.
	ProvesFreshness(id target.ID) bool
	// Load returns this VM's load on the route to a target.
	Load(id target.ID) lane.Load
}

// Transaction is a transaction that is open at a target. It is not safe for
// concurrent use.
type Transaction interface {
	// Target returns the target at which the transaction is open.
	Target() target.ID
	// Run runs a statement of the transaction, or its commit.
	Run(ctx context.Context, o lane.AcquireOptions, job *Job) (*Result, error)
	// Release gives the connection back after the transaction has ended.
	Release()
	// Abandon starts a rollback and returns without waiting for it.
	Abandon()
	// Discard closes the connection, because its state is in doubt.
	Discard()
}

// SetupError means that a session's state could not be set up at a target, so that
// the statement was not sent.
type SetupError struct{ Cause error }

// Error describes the failure and its cause.
func (e *SetupError) Error() string { return "set up the connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// LostError means that a statement was sent and its answer was not received.
type LostError struct {
	// Gateway is the VM that did not reply; empty if it was the target.
	Gateway string
	// Hurried is set if the statement ended with its caller's time, which shows nothing of the target.
	Hurried bool
	Cause   error
}

// Error says whether the gateway or the target did not reply, and the cause.
func (e *LostError) Error() string {
	if e.Gateway != "" {
		return "no answer from gateway " + e.Gateway + ": " + e.Cause.Error()
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
