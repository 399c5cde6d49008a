// Package outcome names the three answers that a request can end in, and
// carries them as errors. The proxy never blurs them: "not run" is said only
// when no byte of the request was sent or the target's own record proves it.
package outcome

import (
	"fmt"
	"time"
)

// Outcome is what is known of a request's execution.
type Outcome uint8

const (
	// Unknown means the request may have run, and it cannot be learned now.
	Unknown Outcome = iota
	// Done means it ran, under a primary that was not superseded when the
	// acknowledgement was given.
	Done
	// NotRun means no byte of it could have executed.
	NotRun
)

// String returns the name used in logs and in the audit trail.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// SQLSTATE is a five-character code of the SQL standard, appendix A of the
// PostgreSQL manual.
type SQLSTATE string

// Codes the proxy answers with. Class 53 and 57 mean "not run"; 08007 means
// "unknown"; the rest are refusals of a request or a connection as such.
const (
	// CodeResolutionUnknown is transaction_resolution_unknown.
	CodeResolutionUnknown SQLSTATE = "08007"
	// CodeProtocolViolation is protocol_violation.
	CodeProtocolViolation SQLSTATE = "08P01"
	// CodeInvalidAuthorization is invalid_authorization_specification.
	CodeInvalidAuthorization SQLSTATE = "28000"
	// CodeInvalidPassword is invalid_password.
	CodeInvalidPassword SQLSTATE = "28P01"
	// CodeUndefinedDatabase is invalid_catalog_name: no such group.
	CodeUndefinedDatabase SQLSTATE = "3D000"
	// CodeInvalidParameter is invalid_parameter_value: profile, token or tag.
	CodeInvalidParameter SQLSTATE = "22023"
	// CodeProgramLimit is program_limit_exceeded: an oversized message.
	CodeProgramLimit SQLSTATE = "54000"
	// CodeTooManyConnections is too_many_connections: refused before it ran.
	CodeTooManyConnections SQLSTATE = "53300"
	// CodeOverloaded is configuration_limit_exceeded: shed by admission.
	CodeOverloaded SQLSTATE = "53400"
	// CodeCannotConnectNow is cannot_connect_now: no primary, or draining.
	CodeCannotConnectNow SQLSTATE = "57P03"
	// CodeAdminShutdown is admin_shutdown.
	CodeAdminShutdown SQLSTATE = "57P01"
	// CodeQueryCanceled is query_canceled.
	CodeQueryCanceled SQLSTATE = "57014"
	// CodeAlreadyExecuted says that the request key was used by a committed
	// transaction whose answer cannot be repeated. Class EM is our own.
	CodeAlreadyExecuted SQLSTATE = "EM001"
)

// Error is a refusal or a failure that the caller is told about.
type Error struct {
	// Outcome says if the request ran.
	Outcome Outcome
	// Code is the SQLSTATE on the wire.
	Code SQLSTATE
	// Message is for people.
	Message string
	// RetryAfter is when to come back; zero means that it is of no use.
	RetryAfter time.Duration
}

// Error returns the message with its code and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Outcome)
}

// Detail is the machine-readable part that goes into the DETAIL field of the
// wire error: "outcome=not-run retry-after-ms=250".
func (e *Error) Detail() string {
	if e.RetryAfter <= 0 {
		return "outcome=" + e.Outcome.String()
	}
	return fmt.Sprintf("outcome=%s retry-after-ms=%d", e.Outcome, e.RetryAfter.Milliseconds())
}

// Refuse returns a "not run" error with a time to come back.
func Refuse(code SQLSTATE, after time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}

// Lost returns an "unknown" error with a time to ask again.
func Lost(after time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: CodeResolutionUnknown, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}
