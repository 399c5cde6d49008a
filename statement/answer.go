package statement

import (
	"time"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Code is the result code of a statement.
type Code uint8

// Codes. Each comment states what a consumer may conclude from the code.
const (
	// OK: the statement succeeded.
	OK Code = iota
	// Busy: not run, the target or the fleet had no capacity.
	Busy
	// Aborted: the transaction was rolled back, none of its writes are kept.
	Aborted
	// Lagging: not run, the target's log does not contain the requested position.
	Lagging
	// ReadOnly: not run, the target is not the primary.
	ReadOnly
	// WrongNode: not run, the target is not the expected one.
	WrongNode
	// TooManyConnections: not run, the target accepts no further connection.
	TooManyConnections
	// NoStatement: not run, the prepared name is unknown.
	NoStatement
	// Failed: the statement ran and failed.
	Failed
	// Timeout: the statement ran too long; it may have had an effect.
	Timeout
	// InDoubt: the statement may have had an effect.
	InDoubt
	// NoDatabase: no route has the database's name.
	NoDatabase
	// Malformed: the request violates the protocol.
	Malformed
	// TooLarge: the message is larger than the protocol allows.
	TooLarge
	// Unauthorized: not run, the caller's key belongs to no workspace.
	Unauthorized
	// Other is a code that is unknown to this version.
	Other
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "lagging", "read-only", "wrong-node", "too-many-connections", "no-statement",
	"failed", "timeout", "in-doubt", "no-database", "malformed", "too-large", "unauthorized", "other",
}

// String returns the code's name in logs.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether a target that answers with c certainly did not run the
// statement, so that it may be sent to another target.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongNode, TooManyConnections, NoStatement:
		return true
	default:
		return false
	}
}

// State is the transaction state of a session or of a connection to a target.
type State uint8

const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// FailedTransaction means that a transaction is open and can only be rolled back.
	FailedTransaction
)

// Answer is the complete answer to one statement. Parts of an answer are never passed on.
type Answer struct {
	// Rows holds the rows' payloads.
	Rows []string
	// Code is OK if the statement succeeded.
	Code Code
	// Signature proves which target ran the statement; it is set only with OK.
	Signature string
	// Text explains a Code other than OK.
	Text string
	// State is the connection's state after the statement.
	State State
	// Position is the end of the target's log; zero if the target sent none.
	Position timeline.Position
}

// Success returns an OK answer to a statement that the fleet serves without a target.
func Success(state State) *Answer { return &Answer{State: state} }

// Failure returns a failure answer that the fleet itself generates.
func Failure(code Code, text string, state State) *Answer {
	return &Answer{Code: code, Text: text, State: state}
}

// Status is a target's status report.
type Status struct {
	// Role is the role that the target claims.
	Role target.Role
	// Term is the term of the primary that the target follows, or its own term if it is
	// the primary.
	Term timeline.Term
	// Received is the end of the log that the target has received, as a replica, or
	// committed, as the primary.
	Received timeline.Position
	// Paused is the term for which the target has stopped receiving; 0 if it has not.
	Paused timeline.Term
	// Lag is how far the applied log is behind.
	Lag time.Duration
	// Busy is the number of slots that are in use or waited for.
	Busy int
	// Connections is the number of connections of all callers.
	Connections int
}
