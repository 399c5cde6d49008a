package statement

import (
	"time"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Code says why a statement has failed.
type Code uint8

// Codes. The comment says what a consumer may conclude.
const (
	// OK is no failure.
	OK Code = iota
	// Busy: not run, the target or the fleet had no room.
	Busy
	// Aborted: the transaction was rolled back, nothing is kept.
	Aborted
	// Lagging: not run, the target's log lacks the wanted position.
	Lagging
	// ReadOnly: not run, the target does not lead.
	ReadOnly
	// WrongNode: not run, the target is another than expected.
	WrongNode
	// TooManyConnections: not run, the target takes no further connection.
	TooManyConnections
	// NoStatement: not run, the prepared name is unknown.
	NoStatement
	// Failed: it ran and failed.
	Failed
	// Timeout: it ran too long; it may have had an effect.
	Timeout
	// InDoubt: it may have had an effect.
	InDoubt
	// NoDatabase: no route has the database's name.
	NoDatabase
	// Malformed: the request breaks the protocol.
	Malformed
	// TooLarge: the message is larger than the protocol allows.
	TooLarge
	// Unauthorized: not run, nobody holds the caller's key.
	Unauthorized
	// Other is a code that this version does not know.
	Other
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "lagging", "read-only", "wrong-node", "too-many-connections", "no-statement",
	"failed", "timeout", "in-doubt", "no-database", "malformed", "too-large", "unauthorized", "other",
}

// String returns the code's name in logs.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether a target that answers c surely did not run the
// statement, so that it may be sent again elsewhere.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongNode, TooManyConnections, NoStatement:
		return true
	default:
		return false
	}
}

// State is where a session or a target connection stands.
type State uint8

const (
	// Idle means no transaction is open.
	Idle State = iota
	// InTransaction means one is open.
	InTransaction
	// FailedTransaction means one is open and can only be rolled back.
	FailedTransaction
)

// Answer is a whole answer to one statement: it is never passed on in part.
type Answer struct {
	// Rows holds the rows' payloads.
	Rows []string
	// Code is OK if the statement succeeded.
	Code Code
	// Signature proves which target ran the statement; only with OK.
	Signature string
	// Text explains a Code other than OK.
	Text string
	// State is the connection's state after the statement.
	State State
	// Position is the end of the target's log; zero if it gave none.
	Position timeline.Position
}

// Success is an answer that the fleet gives itself to what needs no target.
func Success(state State) *Answer { return &Answer{State: state} }

// Failure is an answer that the fleet gives itself.
func Failure(code Code, text string, state State) *Answer {
	return &Answer{Code: code, Text: text, State: state}
}

// Status is a target's account of itself.
type Status struct {
	// Role is its own claim.
	Role target.Role
	// Term is that of the primary which it follows, or its own.
	Term timeline.Term
	// Received is the end of what it has received (replica) or committed.
	Received timeline.Position
	// Paused is the term for which it has stopped receiving; 0 if it has not.
	Paused timeline.Term
	// Lag is how far its applied log is behind.
	Lag time.Duration
	// Busy is how many slots are taken or waited for.
	Busy int
	// Connections counts those of all callers.
	Connections int
}
