package pool

import (
	"net"
	"syscall"
)

// alive checks, without blocking, whether the target has closed an idle connection or has sent
// unsolicited data on it.
//
// Failure guarded against: a primary dies while connections to it are idle. The local kernel would
// accept the next write on each of them, the write would be lost, and its caller would have to
// receive "unknown" although nothing ran. When the check finds the closed connection, the request
// is still queued.
func (c *conn) alive() bool { return socketAlive(c.raw.Conn) }

// socketAlive checks a socket without consuming data from it.
//
// Failure guarded against: after a write that takes long, the driver reads the connection in the
// background, and that read holds the socket's read lock until data arrives. A check that takes the
// same lock would block forever, together with the caller that waits for the connection. Control
// takes no lock, and the peek itself does not block.
func socketAlive(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return true
	}
	alive := true
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
	})
	return err == nil && alive
}

// rawConn returns the socket below c, or nil if c has none that can be checked.
func rawConn(c net.Conn) syscall.RawConn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
