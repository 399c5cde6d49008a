package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/target"
)

// Lease is the ownership of one connection for one transaction. It is used by
// one goroutine; only Cancel and Break may come from another.
type Lease struct {
	pool  *Pool
	conn  *conn
	token uint64
	// status is the transaction status last reported by the target.
	status byte
	// pending counts the ReadyForQuery answers still to come.
	pending int
	// resetSent says that the reset was sent along with the last statements.
	resetSent bool
	// failed is set by a read or write that failed; both may run at once.
	failed atomic.Bool
}

// Server returns the server that the connection leads to.
func (l *Lease) Server() target.ID { return l.conn.server.id }

// owns guards against the use of a connection after it was given back: it
// would show as the statements of two transactions on one connection. Tokens
// are never used twice, so a stale lease cannot pass.
func (l *Lease) owns() bool {
	return l.conn.owner.Load() == l.token || l.pool.cfg.Guards.Out(GuardOwner)
}

// SetDeadline bounds all reads and writes that follow.
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

// SendReset adds the reset behind the last statements of a transaction, which
// saves a write and a wake-up of the target. It must only be used if they cannot
// leave a transaction open: the target would refuse the reset and fail it.
func (l *Lease) SendReset() error {
	if !l.owns() {
		return ErrNotOwner
	}
	if l.pool.cfg.Guards.Out(GuardReset) {
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

// TxStatus returns the transaction status last reported by the target.
func (l *Lease) TxStatus() byte { return l.status }

// Cancel asks the target to stop the statement that runs on this lease. The
// connection is never given to another owner afterwards: the cancel may take
// effect late, and would then hit a stranger's statement.
func (l *Lease) Cancel(ctx context.Context) error {
	l.conn.tainted.Store(true)
	if !l.owns() {
		return ErrNotOwner
	}
	return l.conn.cancel(ctx)
}

// Release gives the connection back if its transaction has ended and the reset
// could be sent, and closes it otherwise. The next owner reads the answer to
// the reset before it sends anything. A second call does nothing.
func (l *Lease) Release() {
	if !l.conn.owner.CompareAndSwap(l.token, 0) {
		return
	}
	if !l.finished() && !l.pool.cfg.Guards.Out(GuardClean) {
		l.pool.drop(l.conn)
		return
	}
	if l.pool.cfg.Guards.Out(GuardReset) {
		l.pool.giveBack(l.conn)
		return
	}
	if !l.resetSent && l.conn.sendReset(time.Now().Add(l.pool.cfg.DialTimeout)) != nil {
		l.pool.drop(l.conn)
		return
	}
	l.conn.unproven = true
	l.pool.giveBack(l.conn)
}

// finished reports whether all answers were read and the transaction ended.
func (l *Lease) finished() bool {
	return !l.failed.Load() && l.pending == 0 && l.status == txIdle && !l.conn.tainted.Load()
}

// Break ends the connection under the feet of its owner, whose next read or write
// fails. It may come from another goroutine, but not after Release has begun.
func (l *Lease) Break() {
	l.failed.Store(true)
	l.conn.shut()
}

// Discard closes the connection. A late answer to what was sent on it dies
// with it. A second call does nothing.
func (l *Lease) Discard() {
	if l.conn.owner.CompareAndSwap(l.token, 0) {
		l.pool.drop(l.conn)
	}
}

// Abandon closes the connection and asks the target to stop what still runs on
// it, so that a request nobody waits for does not keep a slot there.
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
