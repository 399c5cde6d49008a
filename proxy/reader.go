package proxy

import (
	"net"
	"time"
)

// patientReader reads messages from a caller. It waits for the first bytes of
// a message as long as begin allows, and for the rest only for a bounded time.
//
// Failure guarded against: a caller sends a message byte by byte, or stops in
// the middle, and keeps the proxy's memory and session for ever.
type patientReader struct {
	conn net.Conn
	rest time.Duration
	// fresh is true until the first read of a message.
	fresh bool
	// armed says that a read deadline is set.
	armed bool
}

// begin starts a message. A zero until waits for ever.
func (p *patientReader) begin(until time.Time) error {
	p.fresh = true
	if until.IsZero() && !p.armed {
		return nil
	}
	p.armed = !until.IsZero()
	return p.conn.SetReadDeadline(until)
}

// Read implements io.Reader.
func (p *patientReader) Read(b []byte) (int, error) {
	if !p.fresh {
		p.armed = true
		if err := p.conn.SetReadDeadline(time.Now().Add(p.rest)); err != nil {
			return 0, err
		}
	}
	n, err := p.conn.Read(b)
	p.fresh = false
	return n, err
}
