package pool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
)

// txIdle is the transaction status of a connection outside any transaction.
const txIdle = 'I'

// resetStatement restores the state of a new connection.
const resetStatement = "DISCARD ALL"

// conn is one connection to a target.
type conn struct {
	raw    *pgconn.HijackedConn
	server *server
	// owner is the token of the lease that may use the connection; 0 means no lease.
	owner atomic.Uint64
	// tainted is set by a cancel request, which may take effect late.
	tainted atomic.Bool
	// resetPending is set while the reply to a reset is unread.
	resetPending bool
	// idleSince is the time at which the connection became idle.
	idleSince clock.Time
	closeOnce sync.Once
}

func (c *conn) closeSocket() {
	c.closeOnce.Do(func() { _ = c.raw.Conn.Close() })
}

// sendReset requests that the target drop all session state.
func (c *conn) sendReset(until time.Time) error {
	if err := c.raw.Conn.SetDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	c.raw.Frontend.SendQuery(&pgproto3.Query{String: resetStatement})
	return errors.Wrap(c.raw.Frontend.Flush(), "send reset")
}

// confirmReset reads the reply to the reset. In most cases it has already arrived.
func (c *conn) confirmReset(until time.Time) error {
	if c.tainted.Load() {
		return errors.New("a cancel request was sent on the connection")
	}
	if err := c.raw.Conn.SetDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	return c.receiveResetReply()
}

func (c *conn) receiveResetReply() error {
	done := false
	for {
		msg, err := c.raw.Frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive reply to reset")
		}
		switch m := msg.(type) {
		case *pgproto3.CommandComplete:
			done = true
		case *pgproto3.ErrorResponse:
			return errors.Errorf("target refused reset: %s (SQLSTATE %s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return checkResetResult(done, m.TxStatus)
		}
	}
}

func checkResetResult(done bool, status byte) error {
	if !done || status != txIdle {
		return errors.Errorf("reset ended with transaction status %q, want CommandComplete and 'I'", status)
	}
	return nil
}

// cancel sends a cancel request on a separate connection and waits until the target closes that
// connection, which it does after it has handled the request.
func (c *conn) cancel(ctx context.Context) error {
	addr := c.raw.Conn.RemoteAddr()
	var d net.Dialer
	cancelConn, err := d.DialContext(ctx, addr.Network(), addr.String())
	if err != nil {
		return errors.Wrap(err, "dial for cancel")
	}
	defer cancelConn.Close()
	if t, ok := ctx.Deadline(); ok {
		_ = cancelConn.SetDeadline(t)
	}
	req := pgproto3.CancelRequest{ProcessID: c.raw.PID, SecretKey: c.raw.SecretKey}
	buf, err := req.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel")
	}
	if _, err := cancelConn.Write(buf); err != nil {
		return errors.Wrap(err, "send cancel")
	}
	_, _ = cancelConn.Read(buf[:1])
	return nil
}
