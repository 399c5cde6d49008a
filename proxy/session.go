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

// comeBack is the advice to callers that are turned away.
const comeBack = time.Second

// waitFor says what a session waits for while it reads.
type waitFor uint8

const (
	// busy sessions have a request in hand.
	busy waitFor = iota
	// awaitRequest sessions hold nothing: a drain ends them at once.
	awaitRequest
	// awaitStatement sessions hold an open transaction.
	awaitStatement
)

// caller serves one connected caller. Its fields belong to the goroutine in run, but
// for those below mu.
type caller struct {
	srv    *Server
	raw    net.Conn
	in     *patientReader
	be     *pgproto3.Backend
	pid    uint32
	secret []byte
	// counted is the profile that the session is counted to; Server.mu guards it.
	counted string
	state   filter.Session

	stmts preparedSet
	// pending is the tag that a tag-only query left for the next request.
	pending filter.Tag
	answer  answer
	// skipping is set after an error in a batch that was not closed by Sync.
	skipping bool

	mu sync.Mutex
	// waits, draining and grace let a drain end a session that waits.
	waits    waitFor
	draining bool
	grace    time.Time
	// lease is what the running request owns; abort stops a queued one.
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
	s.in = &patientReader{conn: conn, rest: s.srv.cfg.Limits.Message, phase: login}
	s.be = pgproto3.NewBackend(s.in, conn)
	s.be.SetMaxBodyLen(maxStartupMessage)
}

// run serves the caller until it leaves.
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
	// lingerTime and lingerBytes bound what is read after a last message.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// linger lets a last message arrive although the caller has sent more than was
// read: a close would reset the connection and take the message along.
func (s *caller) linger() {
	half, ok := s.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if s.raw.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, s.raw, lingerBytes)
	}
}

// serve handles one request and reports whether the session goes on.
func (s *caller) serve() bool {
	c, err := s.readChunk(awaitRequest)
	if err != nil {
		s.bye(err)
		return false
	}
	if s.skipping {
		return s.skip(c)
	}
	if s.answerLocally(c) {
		return s.flush()
	}
	return s.handle(c)
}

// skip drops what follows an error up to the Sync that ends its batch.
func (s *caller) skip(c *chunk) bool {
	if c.end == endFlush {
		return true
	}
	s.skipping = false
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	return s.flush()
}

// answerLocally answers what needs no target: an empty batch, a query that is
// only a tag, and statements being forgotten.
func (s *caller) answerLocally(c *chunk) bool {
	if tag, ok := c.onlyTag(); ok {
		s.pending = tag
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

// receive reads one message. fresh says that a new chunk begins.
func (s *caller) receive(w waitFor, fresh bool) (pgproto3.FrontendMessage, error) {
	until, ok := s.beginWait(w, fresh)
	if !ok {
		return nil, shuttingDown()
	}
	if err := s.in.begin(until); err != nil {
		return nil, errCallerGone
	}
	if fresh && s.drainMissed(w) {
		return nil, shuttingDown()
	}
	m, err := s.be.Receive()
	if err != nil {
		return nil, s.readError(w, fresh, err)
	}
	s.setBusy()
	return m, nil
}

func (s *caller) readError(w waitFor, fresh bool, err error) error {
	if isGone(err) {
		return errCallerGone
	}
	if fresh && isTimeout(err) {
		return s.waitedTooLong(w)
	}
	return readRefusal(err)
}

func (s *caller) waitedTooLong(w waitFor) error {
	if s.isDraining() {
		return shuttingDown()
	}
	if w == awaitStatement {
		return refuse(codeIdleInTransaction, "the open transaction was rolled back: no statement came in time")
	}
	return refuse(outcome.CodeProtocolViolation, messageProtocolTimeout)
}

// bye tells the caller why its connection ends.
func (s *caller) bye(err error) {
	var oerr *outcome.Error
	if errors.As(err, &oerr) {
		s.fatal(oerr)
	}
}

func (s *caller) fatal(e *outcome.Error) {
	s.be.Send(response(severityFatal, e))
	s.flush()
	s.srv.cfg.Log.Info("session_ended", zap.Uint32("pid", s.pid), zap.String("user", s.state.User),
		zap.String("code", string(e.Code)), zap.String("reason", e.Message))
	if e.Code == outcome.CodeProgramLimit || e.Code == outcome.CodeProtocolViolation {
		s.linger()
	}
}

// turnAway refuses a connection that was not entered.
func (s *caller) turnAway(e *outcome.Error) {
	_ = s.raw.SetDeadline(time.Now().Add(s.srv.cfg.Limits.Startup))
	s.be.Send(response(severityFatal, e))
	_ = s.be.Flush()
	s.close()
}

// flush writes what is buffered and reports whether the caller took it.
func (s *caller) flush() bool {
	if err := s.raw.SetWriteDeadline(time.Now().Add(s.srv.cfg.Limits.Message)); err != nil {
		return false
	}
	return s.be.Flush() == nil
}

func (s *caller) holdsSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret, secret) == 1
}
