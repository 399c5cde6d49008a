package dbd

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"
)

// maxMessage is the maximum size of a message from a client, in bytes.
const maxMessage = 16 << 20

// session serves one client connection.
type session struct {
	srv  *Server
	conn *faultConn
	be   *pgproto3.Backend
	// types encodes and decodes values; it is not safe for concurrent use.
	types          *pgtype.Map
	pid, secret    uint32
	application    string
	user           string
	countedInLimit bool
	settings       settings

	tx         transaction
	statements map[string]*prepared
	portals    map[string]*portal
	// skipping is set from an error in the extended protocol until Sync: messages are ignored.
	skipping bool

	// cancelMu guards cancel, which interrupts the running statement.
	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

func newSession(s *Server, c net.Conn) *session {
	fc := newFaultConn(c, s.faults)
	x := &session{
		srv:        s,
		conn:       fc,
		be:         pgproto3.NewBackend(fc, fc),
		types:      pgtype.NewMap(),
		pid:        s.lastPID.Add(1),
		secret:     randomSecret(),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
	}
	x.be.SetMaxBodyLen(maxMessage)
	return x
}

func randomSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// exemptFromLimit reports whether the session does not count towards the connection limit.
func (x *session) exemptFromLimit() bool {
	return strings.HasPrefix(x.application, PeerApplication) || strings.HasPrefix(x.application, ControlApplication)
}

// serve runs the session to its end.
func (x *session) serve() {
	defer func() { _ = x.conn.Close() }()
	if !x.start() {
		return
	}
	defer x.rollbackOnDisconnect()
	for {
		msg, err := x.receive()
		if err != nil {
			x.sendTerminationReason(err)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		x.handle(msg)
		if x.mustFlush(msg) && x.be.Flush() != nil {
			return
		}
	}
}

// receive reads one message. It fails if the session is idle in a transaction for longer than
// Options.IdleInTransaction, since the transaction holds the write lock.
func (x *session) receive() (pgproto3.FrontendMessage, error) {
	deadline := time.Time{}
	if x.tx.inBlock {
		deadline = time.Now().Add(x.srv.opts.IdleInTransaction)
	}
	if err := x.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return x.be.Receive()
}

// sendTerminationReason reports to the client why the server closes the connection.
func (x *session) sendTerminationReason(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.sendFatal(sqlErrorf(codeIdleInTransaction, "terminating connection due to idle-in-transaction timeout"))
	case x.srv.closed.Load():
		x.sendFatal(sqlErrorf(codeAdminShutdown, "terminating connection due to administrator command"))
	}
}

func (x *session) sendFatal(e *sqlError) {
	x.be.Send(e.response(severityFatal))
	_ = x.be.Flush()
}

// mustFlush reports whether the protocol requires that pending answers are sent after msg.
func (x *session) mustFlush(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	default:
		return false
	}
}

// handle executes one message.
func (x *session) handle(msg pgproto3.FrontendMessage) {
	switch m := msg.(type) {
	case *pgproto3.Query:
		x.simpleQuery(m.String)
	case *pgproto3.Sync:
		x.sync()
	case *pgproto3.Flush:
	default:
		x.extended(msg)
	}
}

// extended handles the messages that are skipped after an error.
func (x *session) extended(msg pgproto3.FrontendMessage) {
	if x.skipping {
		return
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = x.parse(m)
	case *pgproto3.Bind:
		err = x.bind(m)
	case *pgproto3.Describe:
		err = x.describe(m)
	case *pgproto3.Execute:
		err = x.execute(m)
	case *pgproto3.Close:
		x.closeObject(m)
	default:
		err = sqlErrorf(codeNotSupported, "message %T is not supported", msg)
	}
	if err != nil {
		x.fail(err)
		x.skipping = true
	}
}

// fail sends err to the client and moves the transaction to the failed state.
func (x *session) fail(err error) {
	x.be.Send(asSQLError(err).response(severityError))
	x.failTransaction()
}

// sync commits an implicit transaction and reports that the session is ready.
func (x *session) sync() {
	x.skipping = false
	if !x.tx.inBlock {
		if err := x.commit(); err != nil {
			x.fail(err)
		}
	}
	x.ready()
}

func (x *session) ready() {
	x.be.Send(&pgproto3.ReadyForQuery{TxStatus: x.tx.state()})
}

// simpleQuery runs the statements of one Query message. Outside a block they are one implicit
// transaction, which is committed before the result of the last one is sent.
func (x *session) simpleQuery(text string) {
	defer x.ready()
	stmts := split(text)
	if len(stmts) == 0 {
		x.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, s := range stmts {
		res, err := x.run(Statement{SQL: s})
		if err == nil && i == len(stmts)-1 && !x.tx.inBlock {
			err = x.commit()
		}
		if err == nil {
			err = x.sendResult(res)
		}
		if err != nil {
			x.fail(err)
			return
		}
	}
}

// sendResult sends the result of one statement of a simple query, as text.
func (x *session) sendResult(res *result) error {
	if len(res.cols) > 0 {
		x.be.Send(rowDescription(res.cols, nil))
	}
	for _, row := range res.rows {
		d, err := dataRow(x.types, res.cols, row, nil)
		if err != nil {
			return err
		}
		x.be.Send(d)
	}
	x.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}

// statementContext returns a context that a cancel request or Options.LockTimeout ends.
func (x *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(x.srv.ctx, x.srv.opts.LockTimeout)
	x.cancelMu.Lock()
	x.cancel = cancel
	x.cancelMu.Unlock()
	return ctx, func() {
		x.cancelMu.Lock()
		x.cancel = nil
		x.cancelMu.Unlock()
		cancel()
	}
}

// interrupt cancels the running statement, if there is one.
func (x *session) interrupt() {
	x.cancelMu.Lock()
	defer x.cancelMu.Unlock()
	if x.cancel != nil {
		x.cancel()
	}
}
