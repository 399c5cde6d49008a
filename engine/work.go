package engine

import (
	"strconv"
	"time"

	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
)

// work is a statement that is being served.
type work struct {
	st       *statement.Statement
	prepared *lane.Prepared
	writes   bool
	route    *catalog.Route
	caller   callers.Caller
	// hash identifies the caller and what it asks; 0 if it is not recognized when it returns.
	hash       uint64
	arrived    clock.Time
	phaseTimes phaseTimes
	// ran is set once the statement has been sent and may have run at a target.
	ran   bool
	tries int
	// saturated counts the consecutive tries at saturated targets. retryAfter and refusal are the
	// retry-after and the reason of the last of them.
	saturated  int
	retryAfter time.Duration
	refusal    error
	// outage is how long the statement has waited for the end of an outage, and cause the outage's
	// latest cause.
	outage time.Duration
	cause  groups.Cause
	// timedOutInQueue is set if the latest try timed out in the queue of a target that answered others.
	timedOutInQueue bool
	// costly is set if the latest try took some of a target's or gateway's time.
	costly bool
}

// deadline returns the time at which the statement times out.
func deadline(route *catalog.Route, arrived clock.Time) clock.Time {
	return arrived.Add(lane.StatementTimeout(route))
}

// acquireOptions returns a statement's queue priority, workspace and class.
func (w *work) acquireOptions(arrived clock.Time) lane.AcquireOptions {
	return lane.AcquireOptions{
		Due: arrived.Add(w.route.Objective), Priority: w.route.Priority, Workspace: w.caller.Name(), Class: w.class(), Caller: w.hash,
	}
}

// class returns the class of the statement.
func (w *work) class() uint32 { return lane.ClassOf(w.route, w.writes) }

// refuse returns the answer to a statement that has not run, with a retry-after if one is given.
func refuse(code statement.Code, after time.Duration, text string, state statement.State) *statement.Answer {
	if after > 0 {
		text = "retry-after-ms=" + strconv.FormatInt(after.Milliseconds(), 10) + " " + text
	}
	return statement.Failure(code, text, state)
}
