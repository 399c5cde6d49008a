package proxy

import (
	"net"
	"time"
)

// phase is how far the reading of a message has come.
type phase uint8

const (
	// login leaves the deadline of the whole login alone.
	login phase = iota
	// fresh messages have no byte read yet.
	fresh
	// begun messages are read in part.
	begun
	// timed messages have the deadline of their rest set.
	timed
)

// patientReader reads messages from a caller. It waits for the first bytes of
// a message as long as begin allows, and for all of the rest for one bounded
// time.
//
// Failure guarded against: a caller sends a message byte by byte, or stops in
// the middle, and keeps the proxy's memory and session for ever. The time is
// set once for each message, so single bytes do not extend it.
type patientReader struct {
	conn  net.Conn
	rest  time.Duration
	phase phase
	// armed says that a read deadline is set.
	armed bool
}

// begin starts a message. A zero until waits for ever.
func (p *patientReader) begin(until time.Time) error {
	p.phase = fresh
	if until.IsZero() && !p.armed {
		return nil
	}
	p.armed = !until.IsZero()
	return p.conn.SetReadDeadline(until)
}

// Read implements io.Reader.
func (p *patientReader) Read(b []byte) (int, error) {
	if p.phase == begun {
		p.phase, p.armed = timed, true
		if err := p.conn.SetReadDeadline(time.Now().Add(p.rest)); err != nil {
			return 0, err
		}
	}
	n, err := p.conn.Read(b)
	if p.phase == fresh {
		p.phase = begun
	}
	return n, err
}
