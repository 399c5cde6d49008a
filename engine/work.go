package engine

import (
	"strconv"
	"time"

	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
)

// minTimeout bounds a statement whose route sets no time-out.
const minTimeout = 2 * time.Second

// work is one statement on its way.
type work struct {
	st       *statement.Statement
	prepared *lane.Prepared
	writes   bool
	route    *catalog.Route
	caller   callers.Caller
	arrived  clock.Time
	ledger   ledger
	// ran is set once the statement may have run at a target.
	ran   bool
	tries int
	// full counts the targets in a row that had no time for the statement;
	// comeBack is when the last of them will have, and refusal says why it has not.
	full     int
	comeBack time.Duration
	refusal  error
}

// deadline is when the statement's time is over.
func deadline(route *catalog.Route, arrived clock.Time) clock.Time {
	if route.StatementTimeout <= 0 {
		return arrived.Add(minTimeout)
	}
	return arrived.Add(route.StatementTimeout)
}

// order says how urgent a statement is to the queue for connections, and whose.
func order(route *catalog.Route, workspace string, arrived clock.Time) lane.Order {
	return lane.Order{Due: arrived.Add(route.Objective), Priority: route.Priority, Workspace: workspace}
}

// refuse is the answer to a statement that has not run, with a time to come
// back.
func refuse(code statement.Code, after time.Duration, text string, state statement.State) *statement.Answer {
	if after > 0 {
		text = "retry-after-ms=" + strconv.FormatInt(after.Milliseconds(), 10) + " " + text
	}
	return statement.Failure(code, text, state)
}
