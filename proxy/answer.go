package proxy

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// errAnswerTooLarge says that the part of an answer that has to wait for the
// gate outgrew its bound.
var errAnswerTooLarge = errors.New("answer is too large to be held until its commit is confirmed")

// answer keeps what goes to the caller, as encoded messages.
type answer struct {
	buf []byte
	// held is the offset of the first CommandComplete, or -1. What follows it
	// waits for the gate.
	held int
	// streamed says that a part went to the caller.
	streamed bool
	// until bounds the time in which the caller takes a streamed part.
	until time.Time
}

func (a *answer) reset() {
	*a = answer{buf: a.buf[:0], held: -1}
}

// put adds a message.
func (a *answer) put(m pgproto3.BackendMessage) error {
	if _, ok := m.(*pgproto3.CommandComplete); ok && a.held < 0 {
		a.held = len(a.buf)
	}
	buf, err := m.Encode(a.buf)
	a.buf = buf
	return errors.Wrap(err, "encode answer")
}

// free returns how many bytes may leave before the gate.
func (a *answer) free() int {
	if a.held >= 0 {
		return a.held
	}
	return len(a.buf)
}

// put adds a message for the caller, and streams what exceeds the buffer.
func (s *caller) put(m pgproto3.BackendMessage) error {
	a := &s.answer
	if err := a.put(m); err != nil {
		return err
	}
	limits := s.srv.cfg.Limits
	if len(a.buf) <= limits.AnswerBuffer {
		return nil
	}
	if len(a.buf)-a.free() > limits.MaxHeld {
		return errAnswerTooLarge
	}
	if a.free() < limits.AnswerBuffer {
		return nil
	}
	return s.stream()
}

// stream writes what may leave.
//
// Failure guarded against: a caller asks for a large answer and reads it slowly
// or not at all, while its request holds a scarce connection. The request's own
// deadline ends that; a buffered answer is written after the connection went
// back.
func (s *caller) stream() error {
	a := &s.answer
	n := a.free()
	if n == 0 {
		return nil
	}
	a.streamed = true
	if err := s.writeUntil(a.until, a.buf[:n]); err != nil {
		return errCallerGone
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

// keepAnswer is the size of the buffer that a session keeps between requests.
const keepAnswer = 8 << 10

// release sends the whole answer: nothing of it is withheld any more.
func (s *caller) release(last ...pgproto3.BackendMessage) bool {
	a := &s.answer
	a.held = -1
	for _, m := range last {
		if a.put(m) != nil {
			return false
		}
	}
	err := s.write(a.buf)
	if cap(a.buf) > keepAnswer {
		a.buf = nil
	}
	return err == nil
}
