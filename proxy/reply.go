package proxy

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
)

// handle runs one request and reports whether the session continues.
func (s *caller) handle(c *chunk) bool {
	w := &work{s: s, chunk: c, current: c}
	r, err := s.newRequest(w)
	if err != nil {
		return s.refuseChunk(c, err)
	}
	ctx, stop := s.begin()
	fail := s.srv.chain(ctx, r)
	stop()
	if fail == nil {
		return s.reply()
	}
	return s.replyFailure(w, fail)
}

// reply sends the whole answer. The token precedes ReadyForQuery, so that a caller that received
// ReadyForQuery has the token of its write.
func (s *caller) reply() bool {
	ready := &pgproto3.ReadyForQuery{TxStatus: txIdle}
	if !s.state.Dirty {
		return s.sendAnswer(ready)
	}
	s.state.Dirty = false
	return s.sendAnswer(&pgproto3.ParameterStatus{Name: paramToken, Value: s.token()}, ready)
}

// token issues the session's token. If that fails, the caller receives an empty token in place of
// the previous one: without a token its next session queries the primary, whereas the previous one
// would allow a read from before the caller's write.
func (s *caller) token() string {
	token, err := s.srv.cfg.Tokens.Issue(s.state.User, s.state.Watermarks, time.Now())
	if err != nil {
		s.srv.cfg.Log.Warn("session_token_failed", zap.String("user", s.state.User), zap.Error(err))
		return ""
	}
	return token
}

// forward sends the answer to a chunk within an open transaction or batch.
func (u *unit) forward(status byte) bool {
	s := u.s
	if status == 0 {
		s.answer.held = -1
		return s.stream() == nil
	}
	ok := s.sendAnswer(&pgproto3.ReadyForQuery{TxStatus: status})
	s.answer.reset()
	return ok
}

// replyFailure sends the error of a failed request. The buffered part of an answer is discarded.
func (s *caller) replyFailure(w *work, f *filter.Failure) bool {
	if f.CallerDisconnected {
		return false
	}
	if f.Fatal {
		s.sendFatal(f.Err)
		return false
	}
	return s.refuseChunk(w.current, f.Err)
}

// refuseChunk answers a chunk with an error. After a Flush the remainder of the batch is still to
// come.
func (s *caller) refuseChunk(c *chunk, e *outcome.Error) bool {
	s.be.Send(response(severityError, e))
	if c.end == endFlush {
		s.skipping = true
		return s.flush()
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	return s.flush()
}
