package lane

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/statement"
)

// control returns a connection for a control command: an idle one, or a new one beyond the
// allowance. Commands never wait behind requests: if the target refuses another connection, the
// command gets the next one that becomes free.
//
// Failure guarded against: requests hold all connections of a target, the target refuses the
// commands that a change of primary needs, and the service has no primary for as long as callers
// retry.
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
	l.controlQueue.push(w)
	l.mu.Unlock()
	if c, waitErr := l.await(ctx, w, timeout); waitErr == nil {
		return c, nil
	}
	return nil, err
}

// controlNow returns an idle connection or a new one, without waiting for one in use.
func (l *Lane) controlNow(ctx context.Context) (*Conn, error) {
	l.mu.Lock()
	closed := l.closed
	l.lastUsed = l.clk.Now()
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
	l.count(openedForCommand)
	c = l.opened(link, "")
	c.forControl = true
	return c, nil
}
