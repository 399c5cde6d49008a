package request

// Failure is why an attempt at a request ended without a whole answer.
type Failure uint8

// Failures of an attempt.
const (
	// FailureDeadline means that the caller's time ran out.
	FailureDeadline Failure = iota
	// FailureNoServer means that no server will qualify before the deadline.
	FailureNoServer
	// FailureShed means that admission refused the request.
	FailureShed
	// FailureConnect means that no connection to the server could be had.
	FailureConnect
	// FailureLost means that the connection to the target broke.
	FailureLost
	// FailureFenced means that the server itself refused the write because it
	// has promised a later term. The refusal proves that it did not run.
	FailureFenced
	// FailureSuperseded means that the commit cannot be acknowledged: the
	// server is not the primary of the term that the request was sent under.
	FailureSuperseded
	// FailureUnacknowledged means that the gate found no proof in time.
	FailureUnacknowledged
	// FailureCanceled means that the caller withdrew the request.
	FailureCanceled
)

var failureNames = [...]string{
	"deadline", "no-server", "shed", "connect", "lost", "fenced",
	"superseded", "unacknowledged", "canceled",
}

// String returns the failure's name in logs, records and metrics.
func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "invalid"
}

// final failures are never cured by another attempt.
func (f Failure) final() bool {
	switch f {
	case FailureDeadline, FailureNoServer, FailureShed, FailureCanceled:
		return true
	}
	return false
}

// provesNotRun failures come from the target's own refusal.
func (f Failure) provesNotRun() bool { return f == FailureFenced }
