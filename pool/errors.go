package pool

import (
	"fmt"
	"time"

	"endivemoor.example/endivemoor/target"
)

type poolError string

func (e poolError) Error() string { return string(e) }

const (
	// ErrNotOwner says that the lease was released: the connection may already
	// serve another transaction.
	ErrNotOwner = poolError("connection is owned by another transaction")
	// ErrClosed says that the pool was closed.
	ErrClosed = poolError("pool is closed")
)

// UnavailableError says that no connection to the server can be had now.
type UnavailableError struct {
	Server target.ID
	// RetryAfter is when the next attempt is made.
	RetryAfter time.Duration
	cause      error
}

// Error names the server and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Server, e.cause)
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.cause }
