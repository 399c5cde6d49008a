package request

// Failure is the reason why an attempt ended without a complete answer.
type Failure uint8

// Failures of an attempt.
const (
	// FailureDeadline means that the caller's deadline passed.
	FailureDeadline Failure = iota
	// FailureNoServer means that no server will qualify before the deadline.
	FailureNoServer
	// FailureShed means that admission refused the request.
	FailureShed
	// FailureConnect means that no connection to the server could be acquired.
	FailureConnect
	// FailureLost means that the connection to the target broke.
	FailureLost
	// FailureFenced means that the server itself refused the write because it
	// has promised a later term. The refusal proves that the write did not run.
	FailureFenced
	// FailureSuperseded means that the commit cannot be acknowledged: the
	// server is not the primary of the term that the request was sent under.
	FailureSuperseded
	// FailureUnacknowledged means that the gate had no proof in time.
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

// isFinal reports whether another attempt cannot succeed after the failure.
func (f Failure) isFinal() bool {
	switch f {
	case FailureDeadline, FailureNoServer, FailureShed, FailureCanceled:
		return true
	}
	return false
}

// provesNotRun reports whether the failure is the target's own refusal.
func (f Failure) provesNotRun() bool { return f == FailureFenced }
