// Package wait lets a driver wait without outliving its context. The decision core never waits and
// must not import this package.
package wait

import (
	"context"
	"errors"
	"net"
	"time"
)

// IsTimeout reports whether err is a network timeout, such as an expired connection deadline.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// For waits until d has passed or ctx ends. It reports whether d passed.
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

// CancelWhen returns a context that is canceled once stop returns true, which is checked at each
// interval and not before the first one has passed. The caller must call end when its work has ended.
func CancelWhen(ctx context.Context, interval time.Duration, stop func() bool) (_ context.Context, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var check func()
	check = func() {
		switch {
		case ctx.Err() != nil:
		case stop():
			cancel()
		default:
			time.AfterFunc(interval, check)
		}
	}
	first := time.AfterFunc(interval, check)
	return ctx, func() {
		first.Stop()
		cancel()
	}
}
