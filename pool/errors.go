package pool

import (
	"fmt"
	"time"

	"endivemoor.example/endivemoor/target"
)

type poolError string

func (e poolError) Error() string { return string(e) }

const (
	// ErrNotOwner means that the lease was released: the connection may already serve another
	// transaction.
	ErrNotOwner = poolError("connection is owned by another transaction")
	// ErrClosed means that the pool is closed.
	ErrClosed = poolError("pool is closed")
)

// UnavailableError means that no connection to the server is available at present.
type UnavailableError struct {
	Server target.ID
	// RetryAfter is the time until the next attempt to open a connection may be made.
	RetryAfter time.Duration
	cause      error
}

// Error returns the server and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Server, e.cause)
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.cause }
