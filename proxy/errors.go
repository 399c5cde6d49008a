package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/outcome"
)

// SQLSTATEs, severities and texts that only this package uses.
const (
	codeNotSupported       outcome.SQLSTATE = "0A000"
	codeIdleInTransaction  outcome.SQLSTATE = "25P03"
	codeReadOnlySession    outcome.SQLSTATE = "25006"
	codeObjectNotInState   outcome.SQLSTATE = "55000"
	codeUniqueViolation    outcome.SQLSTATE = "23505"
	severityError                           = "ERROR"
	severityFatal                           = "FATAL"
	severityWarning                         = "WARNING"
	codeWarning                             = "01000"
	messageProtocolTimeout                  = "message was not completed in time"
)

// errCallerDisconnected reports that the caller closed its connection.
var errCallerDisconnected = errors.New("caller disconnected")

// refuse returns an error with the outcome "not run" and without a retry-after.
func refuse(code outcome.SQLSTATE, message string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, Code: code, Message: message}
}

// readRefusal returns the error that answers a failed read from the caller.
func readRefusal(err error) *outcome.Error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &tooLong):
		return refuse(outcome.CodeProgramLimit,
			fmt.Sprintf("message of %d bytes exceeds the limit of %d", tooLong.ActualBodyLen, tooLong.MaxExpectedBodyLen))
	case isTimeout(err):
		return refuse(outcome.CodeProtocolViolation, messageProtocolTimeout)
	default:
		return refuse(outcome.CodeProtocolViolation, "malformed message: "+err.Error())
	}
}

// isDisconnect reports whether a read failed because the caller disconnected.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || isReset(err)
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// response returns e as an ErrorResponse message.
func response(severity string, e *outcome.Error) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(e.Code),
		Message:             e.Message,
		Detail:              e.Detail(),
	}
}

func warning(message string) *pgproto3.NoticeResponse {
	return &pgproto3.NoticeResponse{
		Severity:            severityWarning,
		SeverityUnlocalized: severityWarning,
		Code:                codeWarning,
		Message:             message,
	}
}
