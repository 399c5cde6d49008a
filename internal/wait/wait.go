// Package wait lets a driver wait without outliving its context. The decision
// core never waits, and must not import it.
package wait

import (
	"context"
	"errors"
	"net"
	"time"
)

// IsTimeout reports whether err is that of a connection's deadline.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// For waits for d, or until ctx ends. It reports whether the whole time passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
