package proxy

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// errAnswerTooLarge reports that the part of an answer that must wait for the gate exceeds
// Limits.MaxHeld.
var errAnswerTooLarge = errors.New("answer is too large to be held until its commit is confirmed")

// answer buffers encoded messages for the caller.
type answer struct {
	buf []byte
	// held is the offset of the first CommandComplete, or -1. The bytes from there on wait for the
	// gate.
	held int
	// streamed reports whether a part was sent to the caller.
	streamed bool
	// deadline bounds the writes of streamed parts.
	deadline time.Time
}

func (a *answer) reset() {
	*a = answer{buf: a.buf[:0], held: -1}
}

// put appends m. The held part begins at the first CommandComplete.
func (a *answer) put(m pgproto3.BackendMessage) error {
	if _, ok := m.(*pgproto3.CommandComplete); ok && a.held < 0 {
		a.held = len(a.buf)
	}
	buf, err := m.Encode(a.buf)
	a.buf = buf
	return errors.Wrap(err, "encode answer")
}

// sendable returns how many bytes may be sent before the gate allows the rest.
func (a *answer) sendable() int {
	if a.held >= 0 {
		return a.held
	}
	return len(a.buf)
}

// put adds a message to the answer, and streams the sendable part once the answer exceeds
// Limits.AnswerBuffer.
func (s *caller) put(m pgproto3.BackendMessage) error {
	a := &s.answer
	if err := a.put(m); err != nil {
		return err
	}
	limits := s.srv.cfg.Limits
	if len(a.buf) <= limits.AnswerBuffer {
		return nil
	}
	if len(a.buf)-a.sendable() > limits.MaxHeld {
		return errAnswerTooLarge
	}
	if a.sendable() < limits.AnswerBuffer {
		return nil
	}
	return s.stream()
}

// stream sends the part of the answer that need not wait for the gate.
//
// Failure guarded against: a caller requests a large answer and reads it slowly or not at all,
// while its request holds a scarce connection. Streamed writes end at the request's deadline; a
// buffered answer is written after the connection is returned to the pool.
func (s *caller) stream() error {
	a := &s.answer
	n := a.sendable()
	if n == 0 {
		return nil
	}
	a.streamed = true
	if err := s.writeUntil(a.deadline, a.buf[:n]); err != nil {
		return errCallerDisconnected
	}
	a.buf = a.buf[:copy(a.buf, a.buf[n:])]
	if a.held >= 0 {
		a.held = 0
	}
	return nil
}

func (s *caller) write(b []byte) error {
	return s.writeUntil(time.Now().Add(s.srv.cfg.Limits.Message), b)
}

func (s *caller) writeUntil(until time.Time, b []byte) error {
	if err := s.raw.SetWriteDeadline(until); err != nil {
		return err
	}
	_, err := s.raw.Write(b)
	return err
}

// maxIdleAnswerBuffer is the largest buffer, in bytes, that a session retains between requests.
const maxIdleAnswerBuffer = 8 << 10

// sendAnswer sends the whole answer, including the part that was held for the gate.
func (s *caller) sendAnswer(last ...pgproto3.BackendMessage) bool {
	a := &s.answer
	a.held = -1
	for _, m := range last {
		if a.put(m) != nil {
			return false
		}
	}
	err := s.write(a.buf)
	if cap(a.buf) > maxIdleAnswerBuffer {
		a.buf = nil
	}
	return err == nil
}
