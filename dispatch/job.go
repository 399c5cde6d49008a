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

// Claim says how urgently a connection is wanted, and how long it is waited for.
type Claim struct {
	Order lane.AcquireOptions
	Queue time.Duration
}

// Job is one statement for a target.
type Job struct {
	Service   string
	Statement *statement.Statement
	// Prepared is what an Execute runs; nil for other statements.
	Prepared *lane.Prepared
	// Values are those of the session.
	Values map[string]string
	// After is the position that the target's log must hold.
	After timeline.Position
	// Commits is set if success means that a write is kept: for a write alone,
	// and for the commit of a transaction that wrote.
	Commits bool
	// Answer is how long the answer is waited for, once the statement was sent.
	Answer time.Duration
}

// Opening is how a transaction begins.
type Opening struct {
	Service string
	// Values are those of the session.
	Values map[string]string
	Begin  lane.Begin
}

// Result is a target's answer.
type Result struct {
	Answer *statement.Answer
	// Sent is a moment before the target got the statement.
	Sent clock.Time
	// Took is how long the target took.
	Took time.Duration
}

// Runner runs statements at targets. It is safe for concurrent use.
type Runner interface {
	// Run runs one statement outside of a transaction.
	Run(ctx context.Context, id target.ID, claim Claim, job *Job) (*Result, error)
	// Open opens a transaction. It is nil if the target refused, as the answer
	// then says.
	Open(ctx context.Context, id target.ID, claim Claim, o *Opening) (Transaction, *statement.Answer, error)
	// Proves reports whether the answers of a target bring proofs of freshness along,
	// so that none need be asked for before.
	Proves(id target.ID) bool
	// Load is how much of this VM's work the way to a target has.
	Load(id target.ID) lane.Load
}

// Transaction is one that is open at a target. It is for one goroutine.
type Transaction interface {
	// Target is where it is open.
	Target() target.ID
	// Run runs a statement of the transaction, or its commit.
	Run(ctx context.Context, o lane.AcquireOptions, job *Job) (*Result, error)
	// Release gives the connection back after the transaction has ended.
	Release()
	// Abandon rolls back without being waited for.
	Abandon()
	// Discard closes the connection, whose state is in doubt.
	Discard()
}

// SetupError says that a target did not take a session's state, so that the
// statement was not sent.
type SetupError struct{ Cause error }

// Error states the cause.
func (e *SetupError) Error() string { return "set up the connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// LostError says that a statement was sent and its answer did not come.
type LostError struct {
	// Gateway is the VM that did not answer; empty if it was the target.
	Gateway string
	Cause   error
}

// Error states who did not answer.
func (e *LostError) Error() string {
	if e.Gateway != "" {
		return "no answer from gateway " + e.Gateway + ": " + e.Cause.Error()
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
