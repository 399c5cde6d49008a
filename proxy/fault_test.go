package proxy

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
)

// faultInjector breaks a connection to a target. Armed by a text, it loses the next answer that
// contains the text: the target has done its work, and the connection breaks before the proxy
// receives the answer.
type faultInjector struct {
	mu   sync.Mutex
	text string
	// out loses the message that contains the text instead, before it arrives.
	out  bool
	hits int
	// countdown triggers at the read or write that decrements it to 0, whatever its content.
	countdown int
	// onTrigger runs when a countdown triggers; keepConnection then leaves the connection open.
	onTrigger      func()
	keepConnection bool
}

// armAt triggers at the n-th write (out) or read from now on, counted from 1.
func (t *faultInjector) armAt(n int, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.out, t.countdown = "", out, n
}

// disarm reports whether the fault was triggered.
func (t *faultInjector) disarm() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.countdown = "", 0
	return t.hits > 0
}

func (t *faultInjector) breakOnRead(text string) { t.set(text, false) }

func (t *faultInjector) breakOnWrite(text string) { t.set(text, true) }

func (t *faultInjector) set(text string, out bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.out = text, out
}

func (t *faultInjector) triggers(b []byte, out bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.countdown > 0 && t.out == out && len(b) > 0 {
		t.countdown--
		if t.countdown == 0 {
			t.hits++
			if t.onTrigger != nil {
				t.onTrigger()
			}
			return !t.keepConnection
		}
	}
	if t.text == "" || t.out != out || !strings.Contains(string(b), t.text) {
		return false
	}
	t.text = ""
	t.hits++
	return true
}

type faultConn struct {
	net.Conn
	faults *faultInjector
}

// SyscallConn gives the pool access to the socket.
func (c *faultConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.faults.triggers(b[:n], false) {
		_ = c.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

func (c *faultConn) Write(b []byte) (int, error) {
	if c.faults.triggers(b, true) {
		_ = c.Conn.Close()
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(b)
}
