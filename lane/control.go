package lane

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/statement"
)

// control returns a connection for the fleet's own questions and orders: an
// idle one, or a new one beyond the allowance. It never waits behind requests: if
// the target takes no further connection, it gets the next that becomes free.
//
// Failure guarded against: the callers of a target have all its connections, and
// the orders that a change of primary needs are refused with them, so that the
// service stays without a primary for as long as they try again.
func (l *Lane) control(ctx context.Context, timeout time.Duration) (*Conn, error) {
	c, err := l.controlNow(ctx)
	var u *UnavailableError
	if err == nil || !errors.As(err, &u) || u.Code != statement.TooManyConnections {
		return c, err
	}
	l.mu.Lock()
	if l.open == 0 {
		l.mu.Unlock()
		return nil, err
	}
	w := &waiter{ready: make(chan delivery, 1)}
	l.urgent.push(w)
	l.mu.Unlock()
	if c, late := l.await(ctx, w, timeout); late == nil {
		return c, nil
	}
	return nil, err
}

// controlNow returns an idle connection or a new one.
func (l *Lane) controlNow(ctx context.Context) (*Conn, error) {
	l.mu.Lock()
	closed := l.closed
	l.used = l.clk.Now()
	c := l.takeIdleIf(func(*Conn) bool { return true })
	l.mu.Unlock()
	if closed {
		return nil, errClosed
	}
	if c != nil {
		return c, nil
	}
	link, err := l.dial(ctx, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return nil, l.unavailable(err)
	}
	l.inUse++
	c = l.opened(link, "")
	c.asked = true
	return c, nil
}
