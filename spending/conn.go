package spending

import (
	"net"
	"syscall"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	total *total
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.add(n)
	return n, err
}

// idleChecker is a connection that can check by itself that it is open and has no unread data.
type idleChecker interface{ Idle() bool }

// countingSocket and countingIdleChecker preserve the other interfaces of a connection, which
// callers use to check an idle connection before they reuse it.
type (
	countingSocket struct {
		*countingConn
		syscall.Conn
	}
	countingIdleChecker struct {
		*countingConn
		idleChecker
	}
)

func countBytes(conn net.Conn, t *total) net.Conn {
	c := &countingConn{Conn: conn, total: t}
	switch inner := conn.(type) {
	case idleChecker:
		return countingIdleChecker{c, inner}
	case syscall.Conn:
		return countingSocket{c, inner}
	default:
		return c
	}
}
