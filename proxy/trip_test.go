package proxy

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
)

// trip loses the answer that contains a text, once: the target has done its
// work, and the connection breaks before the proxy hears of it.
type trip struct {
	mu   sync.Mutex
	text string
	// out loses the message that contains the text, before it arrives.
	out  bool
	hits int
	// skip strikes the read or write after that many, whatever it contains.
	skip int
	// also runs at the strike; keep lets the connection live.
	also func()
	keep bool
}

// armAt strikes the n-th write (out) or read from now on, n counted from 1.
func (t *trip) armAt(n int, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.out, t.skip = "", out, n
}

// disarm reports whether the trip struck.
func (t *trip) disarm() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.skip = "", 0
	return t.hits > 0
}

func (t *trip) arm(text string) { t.set(text, false) }

func (t *trip) armOut(text string) { t.set(text, true) }

func (t *trip) set(text string, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.out = text, out
}

func (t *trip) strikes(b []byte, out bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.skip > 0 && t.out == out && len(b) > 0 {
		t.skip--
		if t.skip == 0 {
			t.hits++
			if t.also != nil {
				t.also()
			}
			return !t.keep
		}
	}
	if t.text == "" || t.out != out || !strings.Contains(string(b), t.text) {
		return false
	}
	t.text = ""
	t.hits++
	return true
}

type tripConn struct {
	net.Conn
	trip *trip
}

// SyscallConn lets the pool look at the socket.
func (c *tripConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *tripConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.trip.strikes(b[:n], false) {
		_ = c.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

func (c *tripConn) Write(b []byte) (int, error) {
	if c.trip.strikes(b, true) {
		_ = c.Conn.Close()
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(b)
}
