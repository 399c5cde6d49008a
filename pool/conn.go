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

// txIdle is the transaction status of a connection outside a transaction.
const txIdle = 'I'

// resetStatement returns a connection to the state of a new one.
const resetStatement = "DISCARD ALL"

// conn is one connection to a target.
type conn struct {
	raw    *pgconn.HijackedConn
	server *server
	// owner is the token of the lease that may use it; 0 means nobody.
	owner atomic.Uint64
	// tainted is set by a cancel request, whose effect may come late.
	tainted atomic.Bool
	// unproven says that the answer to a reset is still to be read.
	unproven bool
	// since is when it became idle.
	since clock.Time
	close sync.Once
}

func (c *conn) shut() {
	c.close.Do(func() { _ = c.raw.Conn.Close() })
}

// sendReset asks the target to drop all session state.
func (c *conn) sendReset(until time.Time) error {
	if err := c.raw.Conn.SetDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	c.raw.Frontend.SendQuery(&pgproto3.Query{String: resetStatement})
	return errors.Wrap(c.raw.Frontend.Flush(), "send reset")
}

// prove reads the answer to the reset. It has mostly arrived by then.
func (c *conn) prove(until time.Time) error {
	if c.tainted.Load() {
		return errors.New("a cancel request was sent on the connection")
	}
	if err := c.raw.Conn.SetDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	return c.awaitReset()
}

func (c *conn) awaitReset() error {
	done := false
	for {
		msg, err := c.raw.Frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive reset")
		}
		switch m := msg.(type) {
		case *pgproto3.CommandComplete:
			done = true
		case *pgproto3.ErrorResponse:
			return errors.Errorf("reset refused: %s (%s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return resetVerdict(done, m.TxStatus)
		}
	}
}

func resetVerdict(done bool, status byte) error {
	if !done || status != txIdle {
		return errors.Errorf("reset left status %c", status)
	}
	return nil
}

// cancel sends a cancel request on a connection of its own and waits until the
// target closes it, that is, until the request was handled.
func (c *conn) cancel(ctx context.Context) error {
	addr := c.raw.Conn.RemoteAddr()
	var d net.Dialer
	side, err := d.DialContext(ctx, addr.Network(), addr.String())
	if err != nil {
		return errors.Wrap(err, "dial for cancel")
	}
	defer side.Close()
	if t, ok := ctx.Deadline(); ok {
		_ = side.SetDeadline(t)
	}
	req := pgproto3.CancelRequest{ProcessID: c.raw.PID, SecretKey: c.raw.SecretKey}
	buf, err := req.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel")
	}
	if _, err := side.Write(buf); err != nil {
		return errors.Wrap(err, "send cancel")
	}
	_, _ = side.Read(buf[:1])
	return nil
}
