package engine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/callers"
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/statement"
)

// minTimeout is the timeout of a statement whose route sets none.
const minTimeout = 2 * time.Second

// work is a statement that is being served.
type work struct {
	st         *statement.Statement
	prepared   *lane.Prepared
	writes     bool
	route      *catalog.Route
	caller     callers.Caller
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
	// costly is set if the latest try took some of a target's or gateway's time.
	costly bool
}

// deadline returns the time at which the statement times out.
func deadline(route *catalog.Route, arrived clock.Time) clock.Time {
	if route.StatementTimeout <= 0 {
		return arrived.Add(minTimeout)
	}
	return arrived.Add(route.StatementTimeout)
}

// acquireOptions returns a statement's queue priority, workspace and class.
func (w *work) acquireOptions(arrived clock.Time) lane.AcquireOptions {
	return lane.AcquireOptions{
		Due: arrived.Add(w.route.Objective), Priority: w.route.Priority, Workspace: w.caller.Name(), Class: w.class(),
	}
}

// class returns the class of the statement.
func (w *work) class() uint32 { return classOf(w.route, w.writes) }

// classOf returns the class of a route's statements that read or write.
func classOf(route *catalog.Route, writes bool) uint32 {
	name := route.Name + "/read"
	if writes {
		name = route.Name + "/write"
	}
	return uint32(xxhash.Sum64String(name)) | 1
}

// refuse returns the answer to a statement that has not run, with a retry-after if one is given.
func refuse(code statement.Code, after time.Duration, text string, state statement.State) *statement.Answer {
	if after > 0 {
		text = "retry-after-ms=" + strconv.FormatInt(after.Milliseconds(), 10) + " " + text
	}
	return statement.Failure(code, text, state)
}
