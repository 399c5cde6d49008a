// Package outcome defines the three outcomes of a request and the errors that carry them to the
// caller. The proxy keeps them strictly apart: it reports "not run" only if no byte of the request
// was sent or the target's own record proves that it did not run.
//
// Start with Outcome and Error. The package does not decide which outcome a request has.
package outcome

import (
	"fmt"
	"time"
)

// Outcome states whether a request was executed.
type Outcome uint8

const (
	// Unknown means that the request may have run and that this cannot be determined now.
	Unknown Outcome = iota
	// Done means that the request ran, under a primary that was not superseded when the
	// acknowledgement was sent.
	Done
	// NotRun means that no part of the request can have run.
	NotRun
)

// String returns the name that logs and the audit trail use.
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

// Codes that the proxy sends. Classes 53 and 57 mean "not run"; 08007 means "unknown"; the others
// refuse a request or a connection as invalid.
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
	// CodeAlreadyExecuted means that the request key was used by a committed transaction whose
	// answer cannot be repeated. Class EM is specific to this proxy.
	CodeAlreadyExecuted SQLSTATE = "EM001"
)

// Error is a refusal or a failure that is sent to the caller.
type Error struct {
	// Outcome states whether the request ran.
	Outcome Outcome
	// Code is the SQLSTATE on the wire.
	Code SQLSTATE
	// Message is the human-readable text.
	Message string
	// RetryAfter is the time after which to retry; zero means that a retry is of no use.
	RetryAfter time.Duration
}

// Error returns the message with its code and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Outcome)
}

// Detail returns the machine-readable text of the DETAIL field of the wire error:
// "outcome=not-run retry-after-ms=250".
func (e *Error) Detail() string {
	if e.RetryAfter <= 0 {
		return "outcome=" + e.Outcome.String()
	}
	return fmt.Sprintf("outcome=%s retry-after-ms=%d", e.Outcome, e.RetryAfter.Milliseconds())
}

// Refuse returns a "not run" error with a retry-after.
func Refuse(code SQLSTATE, after time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}

// Lost returns an "unknown" error with a retry-after.
func Lost(after time.Duration, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: CodeResolutionUnknown, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}
