package lane

import (
	"time"

	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/timeline"
)

// Link is a connection to a target, implemented by a codec. The Queue methods buffer what Flush
// sends. It is for one goroutine at a time.
type Link interface {
	// Queue adds a consumer's statement, to run once the target's log has reached after.
	Queue(s *statement.Statement, after timeline.Position)
	// QueueExecute adds a consumer's Execute of the statement that is prepared as name on this link.
	QueueExecute(s *statement.Statement, after timeline.Position, name string)
	// QueueBegin opens a transaction.
	QueueBegin(readOnly bool, after timeline.Position)
	// QueueRollback ends a transaction.
	QueueRollback()
	// QueueReset clears session values and prepared statements.
	QueueReset()
	// QueueSet sets a session value.
	QueueSet(name, value string)
	// QueuePrepare prepares a statement under a name.
	QueuePrepare(name, shape string, writes bool)
	// QueueStatus requests the target's status report.
	QueueStatus()
	// QueuePause commands a replica to receive no entries of a lower term.
	QueuePause(term timeline.Term)
	// QueueResume ends a pause.
	QueueResume()
	// QueueStepDown commands a primary of a lower term to step down.
	QueueStepDown(term timeline.Term)
	// Flush sends the buffered messages.
	Flush(timeout time.Duration) error
	// Receive returns the next complete answer.
	Receive(timeout time.Duration) (*statement.Answer, error)
	// Alive reports whether an idle link is still open at both ends.
	Alive() bool
	// Close ends the connection; the target rolls back a transaction that is open on it.
	Close()
}
