package spending

import (
	"net"
	"syscall"
)

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	total *total
}

// Read implements net.Conn.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.add(n)
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.add(n)
	return n, err
}

// idler is a connection that tells by itself whether it is open and has
// nothing unread.
type idler interface{ Idle() bool }

// countedSocket and countedIdler keep what a connection offers besides, by which
// idle ones are checked before they are used again.
type (
	countedSocket struct {
		*counted
		syscall.Conn
	}
	countedIdler struct {
		*counted
		idler
	}
)

func count(conn net.Conn, t *total) net.Conn {
	c := &counted{Conn: conn, total: t}
	switch inner := conn.(type) {
	case idler:
		return countedIdler{c, inner}
	case syscall.Conn:
		return countedSocket{c, inner}
	default:
		return c
	}
}
