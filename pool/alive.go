package pool

import (
	"net"
	"syscall"
)

// alive looks, without waiting, whether the target has closed an idle
// connection or sent something on it that nothing asked for.
//
// Failure guarded against: a primary dies while connections to it are idle. The
// next write on each of them would be taken by the local kernel and then lost,
// and its caller would have to be told "unknown" although nothing ran. Found
// here, the request is still queued.
func (c *conn) alive() bool { return socketAlive(c.raw.Conn) }

// socketAlive looks at a socket without reading from it.
//
// Failure guarded against: the driver reads a connection in the background once a
// write has taken it long, and that read holds the socket's read lock until bytes
// come. A look that took the lock as well would wait for ever, and with it the
// caller that the connection was for. Control takes no lock, and the look itself
// does not block.
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

// rawConn returns the socket below c, or nil if there is none to look at.
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
