package lane

import (
	"time"

	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/timeline"
)

// Link is a connection to a target, as a codec offers it. Queue calls gather
// what Flush sends. It is for one goroutine at a time.
type Link interface {
	// Queue adds a consumer's statement, to run on a log that holds after.
	Queue(s *statement.Statement, after timeline.Position)
	// QueueExecute adds a consumer's Execute under this link's own name.
	QueueExecute(s *statement.Statement, after timeline.Position, name string)
	// QueueBegin opens a transaction.
	QueueBegin(readOnly bool, after timeline.Position)
	// QueueRollback ends a transaction.
	QueueRollback()
	// QueueReset clears session values and prepared names.
	QueueReset()
	// QueueSet gives a session value.
	QueueSet(name, value string)
	// QueuePrepare names a statement.
	QueuePrepare(name, shape string, writes bool)
	// QueueStatus asks the target for its account of itself.
	QueueStatus()
	// QueuePause orders a replica to receive nothing of a lower term.
	QueuePause(term timeline.Term)
	// QueueResume ends a pause.
	QueueResume()
	// QueueStepDown orders a primary of a lower term to lead no longer.
	QueueStepDown(term timeline.Term)
	// Flush sends what was queued.
	Flush(timeout time.Duration) error
	// Receive returns the next answer, whole.
	Receive(timeout time.Duration) (*statement.Answer, error)
	// Alive reports whether an idle link is still open at both ends.
	Alive() bool
	// Close ends the connection; what is open at the target is rolled back.
	Close()
}
