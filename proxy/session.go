package proxy

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
)

// retryAfter is the usual retry-after of errors that the proxy itself returns.
const retryAfter = time.Second

// waitState is what a session waits for while it reads.
type waitState uint8

const (
	// busy sessions are processing a request.
	busy waitState = iota
	// awaitRequest sessions have no request: a drain ends them at once.
	awaitRequest
	// awaitStatement sessions have an open transaction.
	awaitStatement
)

// caller serves one connected caller. Its fields belong to the goroutine in run, except for those
// below mu.
type caller struct {
	srv    *Server
	raw    net.Conn
	in     *messageReader
	be     *pgproto3.Backend
	pid    uint32
	secret []byte
	// countedProfile is the profile that the session counts toward; Server.mu guards it.
	countedProfile string
	state          filter.Session

	stmts preparedSet
	// pendingTag is the tag of a tag-only query, for the next request.
	pendingTag filter.Tag
	answer     answer
	// skipping is set after an error in a batch, until the Sync that ends the batch.
	skipping bool

	mu sync.Mutex
	// waiting, draining and graceDeadline let a drain end a session that waits.
	waiting       waitState
	draining      bool
	graceDeadline time.Time
	// lease is the lease of the running request; abort cancels a queued one.
	lease *pool.Lease
	abort context.CancelFunc
}

func newCaller(srv *Server, conn net.Conn) *caller {
	s := &caller{srv: srv, secret: newCancelKey(), stmts: newPreparedSet()}
	s.attach(conn)
	return s
}

// attach makes conn the caller's connection; TLS replaces it once.
func (s *caller) attach(conn net.Conn) {
	s.raw = conn
	s.in = &messageReader{conn: conn, messageTimeout: s.srv.cfg.Limits.Message, phase: phaseLogin}
	s.be = pgproto3.NewBackend(s.in, conn)
	s.be.SetMaxBodyLen(maxStartupMessage)
}

// run serves the caller until the session ends.
func (s *caller) run() {
	defer s.close()
	if !s.login() {
		return
	}
	for s.serve() {
	}
}

func (s *caller) close() { _ = s.raw.Close() }

const (
	// lingerTime and lingerBytes bound the reading after a final message.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// linger lets a final message reach a caller that has sent more than was read: closing the
// connection with unread input would reset it and discard the message.
func (s *caller) linger() {
	half, ok := s.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if s.raw.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, s.raw, lingerBytes)
	}
}

// serve handles one request and reports whether the session continues.
func (s *caller) serve() bool {
	c, err := s.readChunk(awaitRequest)
	if err != nil {
		s.reportError(err)
		return false
	}
	if s.skipping {
		return s.skipToSync(c)
	}
	if s.answerLocally(c) {
		return s.flush()
	}
	return s.handle(c)
}

// skipToSync drops the chunks that follow an error, up to the Sync that ends the batch.
func (s *caller) skipToSync(c *chunk) bool {
	if c.end == endFlush {
		return true
	}
	s.skipping = false
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	return s.flush()
}

// answerLocally answers a chunk that needs no target: an empty batch, a tag-only query, or the
// closing of prepared statements.
func (s *caller) answerLocally(c *chunk) bool {
	if tag, ok := c.onlyTag(); ok {
		s.pendingTag = tag
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		s.be.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
		return true
	}
	if !c.onlyCloses() {
		return false
	}
	for _, m := range c.msgs {
		s.stmts.drop(m.(*pgproto3.Close).Name)
		s.be.Send(&pgproto3.CloseComplete{})
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	return true
}

// receive reads one message. newChunk reports whether it is the first of a chunk.
func (s *caller) receive(w waitState, newChunk bool) (pgproto3.FrontendMessage, error) {
	until, ok := s.beginWait(w, newChunk)
	if !ok {
		return nil, shuttingDown()
	}
	if err := s.in.begin(until); err != nil {
		return nil, errCallerDisconnected
	}
	if newChunk && s.drainStarted(w) {
		return nil, shuttingDown()
	}
	m, err := s.be.Receive()
	if err != nil {
		return nil, s.readError(w, newChunk, err)
	}
	s.setBusy()
	return m, nil
}

func (s *caller) readError(w waitState, newChunk bool, err error) error {
	if isDisconnect(err) {
		return errCallerDisconnected
	}
	if newChunk && isTimeout(err) {
		return s.waitTimedOut(w)
	}
	return readRefusal(err)
}

func (s *caller) waitTimedOut(w waitState) error {
	if s.isDraining() {
		return shuttingDown()
	}
	if w == awaitStatement {
		return refuse(codeIdleInTransaction, "the open transaction was rolled back: no statement came in time")
	}
	return refuse(outcome.CodeProtocolViolation, messageProtocolTimeout)
}

// reportError sends the error that ends the session, unless the caller disconnected.
func (s *caller) reportError(err error) {
	var oerr *outcome.Error
	if errors.As(err, &oerr) {
		s.sendFatal(oerr)
	}
}

func (s *caller) sendFatal(e *outcome.Error) {
	s.be.Send(response(severityFatal, e))
	s.flush()
	s.srv.cfg.Log.Info("session_ended", zap.Uint32("pid", s.pid), zap.String("user", s.state.User),
		zap.String("code", string(e.Code)), zap.String("reason", e.Message))
	if e.Code == outcome.CodeProgramLimit || e.Code == outcome.CodeProtocolViolation {
		s.linger()
	}
}

// reject refuses a connection that was not added to the sessions.
func (s *caller) reject(e *outcome.Error) {
	_ = s.raw.SetDeadline(time.Now().Add(s.srv.cfg.Limits.Startup))
	s.be.Send(response(severityFatal, e))
	_ = s.be.Flush()
	s.close()
}

// flush writes the buffered messages and reports whether that succeeded.
func (s *caller) flush() bool {
	if err := s.raw.SetWriteDeadline(time.Now().Add(s.srv.cfg.Limits.Message)); err != nil {
		return false
	}
	return s.be.Flush() == nil
}

func (s *caller) matchesSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret, secret) == 1
}
