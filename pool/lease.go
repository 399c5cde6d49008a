package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/target"
)

// Lease is the ownership of one connection for one transaction. It is used by one goroutine; only
// Cancel and Break may be called from another.
type Lease struct {
	pool  *Pool
	conn  *conn
	token uint64
	// status is the transaction status that the target reported last.
	status byte
	// pending counts the ReadyForQuery messages that are still expected.
	pending int
	// resetSent is set if the reset was sent together with the last statements.
	resetSent bool
	// failed is set by a failed read or write; it is atomic because both may run concurrently.
	failed atomic.Bool
}

// Server returns the server to which the connection is open.
func (l *Lease) Server() target.ID { return l.conn.server.id }

// owns reports whether the lease still owns its connection. Failure guarded against: a connection
// is used after its release, and statements of two transactions travel on one connection. Tokens
// are never reused, so a stale lease cannot pass the check.
func (l *Lease) owns() bool {
	return l.conn.owner.Load() == l.token || l.pool.cfg.Guards.Disabled(GuardOwner)
}

// SetDeadline limits all following reads and writes.
func (l *Lease) SetDeadline(t time.Time) error { return l.conn.raw.Conn.SetDeadline(t) }

// Send adds a message to the write buffer.
func (l *Lease) Send(m pgproto3.FrontendMessage) error {
	if !l.owns() {
		return ErrNotOwner
	}
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		l.pending++
	}
	l.conn.raw.Frontend.Send(m)
	return nil
}

// SendReset appends the reset to the last statements of a transaction, which saves a write and a
// wake-up of the target. It must be used only if these statements cannot leave a transaction open:
// the target would refuse the reset, and the refusal would fail that transaction.
func (l *Lease) SendReset() error {
	if !l.owns() {
		return ErrNotOwner
	}
	if l.pool.cfg.Guards.Disabled(GuardReset) {
		return nil
	}
	l.conn.raw.Frontend.SendQuery(&pgproto3.Query{String: resetStatement})
	l.resetSent = true
	return nil
}

// Flush writes the buffer to the target.
func (l *Lease) Flush() error {
	if !l.owns() {
		return ErrNotOwner
	}
	err := l.conn.raw.Frontend.Flush()
	if err != nil {
		l.failed.Store(true)
	}
	return err
}

// Receive returns the next message, valid until the next call.
func (l *Lease) Receive() (pgproto3.BackendMessage, error) {
	if !l.owns() {
		return nil, ErrNotOwner
	}
	m, err := l.conn.raw.Frontend.Receive()
	if err != nil {
		l.failed.Store(true)
		return nil, err
	}
	if r, ok := m.(*pgproto3.ReadyForQuery); ok {
		l.status = r.TxStatus
		l.pending--
	}
	return m, nil
}

// TxStatus returns the transaction status that the target reported last.
func (l *Lease) TxStatus() byte { return l.status }

// Cancel requests that the target stop the statement that runs on this lease. The connection is
// never leased again afterwards: the cancel may take effect late and would then stop another
// owner's statement.
func (l *Lease) Cancel(ctx context.Context) error {
	l.conn.tainted.Store(true)
	if !l.owns() {
		return ErrNotOwner
	}
	return l.conn.cancel(ctx)
}

// Release returns the connection to the pool if its transaction has ended and the reset could be
// sent, and closes it otherwise. The next owner reads the reply to the reset before it sends
// anything. A second call does nothing.
func (l *Lease) Release() {
	if !l.conn.owner.CompareAndSwap(l.token, 0) {
		return
	}
	if !l.finished() && !l.pool.cfg.Guards.Disabled(GuardClean) {
		l.pool.drop(l.conn)
		return
	}
	if l.pool.cfg.Guards.Disabled(GuardReset) {
		l.pool.returnConn(l.conn)
		return
	}
	if !l.resetSent && l.conn.sendReset(time.Now().Add(l.pool.cfg.DialTimeout)) != nil {
		l.pool.drop(l.conn)
		return
	}
	l.conn.resetPending = true
	l.pool.returnConn(l.conn)
}

// finished reports whether all answers were read and the transaction has ended.
func (l *Lease) finished() bool {
	return !l.failed.Load() && l.pending == 0 && l.status == txIdle && !l.conn.tainted.Load()
}

// Break closes the connection while its owner uses it; the owner's next read or write fails. It may
// be called from another goroutine, but not after Release has begun.
func (l *Lease) Break() {
	l.failed.Store(true)
	l.conn.closeSocket()
}

// Discard closes the connection, so that a late answer to what was sent on it cannot reach another
// owner. A second call does nothing.
func (l *Lease) Discard() {
	if l.conn.owner.CompareAndSwap(l.token, 0) {
		l.pool.drop(l.conn)
	}
}

// Abandon requests that the target stop the statement that still runs on the connection, and then
// closes it, so that a request that no caller waits for does not occupy a slot there. It does not
// block.
func (l *Lease) Abandon(timeout time.Duration) {
	if !l.conn.owner.CompareAndSwap(l.token, 0) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = l.conn.cancel(ctx)
		l.pool.drop(l.conn)
	}()
}
