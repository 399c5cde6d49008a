package dbd

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"

	"endivemoor.example/endivemoor/timeline"
)

// SQLSTATE codes and texts of the server's errors.
const (
	codeProtocolViolation    = "08P01"
	codeConnectionFailure    = "08006"
	codeNotSupported         = "0A000"
	codeInvalidParameter     = "22023"
	codeIntegrity            = "23000"
	codeNotNull              = "23502"
	codeForeignKey           = "23503"
	codeUnique               = "23505"
	codeCheck                = "23514"
	codeActiveTransaction    = "25001"
	codeReadOnly             = "25006"
	codeNoTransaction        = "25P01"
	codeFailedTransaction    = "25P02"
	codeIdleInTransaction    = "25P03"
	codeInvalidStatement     = "26000"
	codeInvalidPassword      = "28P01"
	codeInvalidCursor        = "34000"
	codeNoSavepoint          = "3B001"
	codeSerialization        = "40001"
	codeSyntax               = "42601"
	codeUndefinedColumn      = "42703"
	codeUndefinedObject      = "42704"
	codeUndefinedTable       = "42P01"
	codeDuplicateTable       = "42P07"
	codeDuplicateStatement   = "42P05"
	codeTooManyConnections   = "53300"
	codeNotInState           = "55000"
	codeLockNotAvailable     = "55P03"
	codeQueryCanceled        = "57014"
	codeAdminShutdown        = "57P01"
	codeInternal             = "XX000"
	severityError            = "ERROR"
	severityFatal            = "FATAL"
	fencedDetailPrefix       = "promised="
	readOnlyMessage          = "cannot execute a write on a server that is not the primary of the newest term it knows"
	failedTransactionMessage = "current transaction is aborted, commands ignored until end of transaction block"
)

// sqlError is an error with a SQLSTATE of its own.
type sqlError struct {
	code, message, detail string
}

// Error returns the message with its code.
func (e *sqlError) Error() string { return e.message + " (" + e.code + ")" }

func sqlErrorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// newFencedError returns the error of a command that the server's promise of another term refuses.
// Its detail has the promised term.
func newFencedError(promised timeline.Term) *sqlError {
	return &sqlError{
		code:    codeNotInState,
		message: "this server has promised another term",
		detail:  fmt.Sprintf("%s%d", fencedDetailPrefix, promised),
	}
}

// engineCodes maps SQLite's extended result codes.
var engineCodes = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     codeUnique,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: codeUnique,
	sqlite3.SQLITE_CONSTRAINT_ROWID:      codeUnique,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    codeNotNull,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      codeCheck,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: codeForeignKey,
	sqlite3.SQLITE_READONLY:              codeReadOnly,
	sqlite3.SQLITE_BUSY:                  codeSerialization,
	sqlite3.SQLITE_LOCKED:                codeSerialization,
	sqlite3.SQLITE_INTERRUPT:             codeQueryCanceled,
	sqlite3.SQLITE_CONSTRAINT:            codeIntegrity,
}

// engineMessages maps errors without a specific SQLite result code by a part of their text.
var engineMessages = []struct{ text, code string }{
	{"no such table", codeUndefinedTable},
	{"no such column", codeUndefinedColumn},
	{"already exists", codeDuplicateTable},
	{"syntax error", codeSyntax},
	{"incomplete input", codeSyntax},
	{"missing named argument", codeProtocolViolation},
}

// isReadOnly reports whether err is SQLite's refusal of a write on a read-only connection.
func isReadOnly(err error) bool {
	var e *sqlite.Error
	return errors.As(err, &e) && e.Code() == sqlite3.SQLITE_READONLY
}

// asSQLError converts any error to one with a SQLSTATE.
func asSQLError(err error) *sqlError {
	var own *sqlError
	if errors.As(err, &own) {
		return own
	}
	switch {
	case errors.Is(err, errEvicted):
		return sqlErrorf(codeReadOnly, "transaction was rolled back: this server was fenced")
	case errors.Is(err, context.Canceled):
		return sqlErrorf(codeQueryCanceled, "canceling statement due to user request")
	case errors.Is(err, context.DeadlineExceeded):
		return sqlErrorf(codeLockNotAvailable, "canceling statement due to lock timeout")
	case errors.Is(err, errClosed):
		return sqlErrorf(codeReadOnly, readOnlyMessage)
	}
	return engineError(err)
}

func engineError(err error) *sqlError {
	var e *sqlite.Error
	if errors.As(err, &e) {
		if code, ok := engineCodes[e.Code()]; ok {
			return sqlErrorf(code, "%s", e.Error())
		}
	}
	for _, m := range engineMessages {
		if strings.Contains(err.Error(), m.text) {
			return sqlErrorf(m.code, "%s", err.Error())
		}
	}
	return sqlErrorf(codeInternal, "%s", err.Error())
}

// response is the wire form of e.
func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
		Detail:              e.detail,
	}
}
