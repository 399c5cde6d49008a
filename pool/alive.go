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
func (c *conn) alive() bool {
	raw := rawConn(c.raw.Conn)
	if raw == nil {
		return true
	}
	alive := true
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN
		return true
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
