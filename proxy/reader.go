package proxy

import (
	"net"
	"time"
)

// phase is the progress in reading a message.
type phase uint8

const (
	// phaseLogin keeps the deadline that covers the whole login.
	phaseLogin phase = iota
	// phaseUnread: no byte has been read.
	phaseUnread
	// phaseStarted: a part has been read.
	phaseStarted
	// phaseTimed: the deadline for the remainder has been set.
	phaseTimed
)

// messageReader reads messages from a caller. It waits for the first bytes of a message until the
// time passed to begin, and for all of the remainder for messageTimeout.
//
// Failure guarded against: a caller sends a message byte by byte, or stops in the middle, and holds
// the proxy's memory and its session forever. The deadline is set once for each message, so further
// bytes do not extend it.
type messageReader struct {
	conn           net.Conn
	messageTimeout time.Duration
	phase          phase
	// deadlineSet reports whether the connection has a read deadline.
	deadlineSet bool
}

// begin prepares for the next message. If until is zero, the wait for its first bytes is unbounded.
func (p *messageReader) begin(until time.Time) error {
	p.phase = phaseUnread
	if until.IsZero() && !p.deadlineSet {
		return nil
	}
	p.deadlineSet = !until.IsZero()
	return p.conn.SetReadDeadline(until)
}

// Read implements io.Reader.
func (p *messageReader) Read(b []byte) (int, error) {
	if p.phase == phaseStarted {
		p.phase, p.deadlineSet = phaseTimed, true
		if err := p.conn.SetReadDeadline(time.Now().Add(p.messageTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := p.conn.Read(b)
	if p.phase == phaseUnread {
		p.phase = phaseStarted
	}
	return n, err
}
