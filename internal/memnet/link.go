package memnet

import (
	"net"
	"syscall"
	"time"
)

// segment is how many bytes of a connection are in transit over a rate-limited link before its
// writer waits, so that other connections can send in between.
const segment = 16 << 10

// link is a host's connection to the network. Everything that the host sends shares one direction,
// and everything that it receives shares the other. up and down are the times at which a direction
// becomes free.
type link struct {
	rate     int // bytes per second
	up, down time.Time
}

// SetRate limits the rate at which a host sends, and at which it receives, in bytes per second. 0
// removes the limit and delivers all bytes in transit immediately.
func (n *Network) SetRate(host string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rate > 0 {
		n.links[host] = &link{rate: rate}
		return
	}
	delete(n.links, host)
	for c := range n.conns {
		c.deliverPending(host)
	}
	// A writer waits for data in its peer's buffer, so wake all connections.
	for c := range n.conns {
		c.wake()
	}
}

// deliverPending delivers all data in transit to this end immediately if the connection is from or
// to host.
func (c *conn) deliverPending(host string) {
	if c.local != host && c.remote != host {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.in {
		c.in[i].due = time.Now()
	}
}

func (n *Network) hasRate(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[a] != nil || n.links[b] != nil
}

// scheduleArrival queues bytes on the links of both hosts and returns when the last byte has passed
// both.
func (n *Network) scheduleArrival(from, to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	if l := n.links[from]; l != nil {
		at = enqueue(&l.up, at, bytes, l.rate)
	}
	if l := n.links[to]; l != nil {
		at = enqueue(&l.down, at, bytes, l.rate)
	}
	return at
}

// enqueue queues bytes behind those that are on the link already, and returns when they have passed
// it.
func enqueue(free *time.Time, at time.Time, bytes, rate int) time.Time {
	if free.After(at) {
		at = *free
	}
	*free = at.Add(time.Duration(bytes) * time.Second / time.Duration(rate))
	return *free
}

// writeRated writes one segment at a time, each after the previous one has arrived.
func (c *conn) writeRated(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n, err := c.write(b[done:min(done+segment, len(b))])
		if err != nil {
			return done, err
		}
		done += n
		if err := c.awaitArrival(); err != nil {
			return done, err
		}
	}
	return done, nil
}

// awaitArrival waits until the other end can read everything that was written.
func (c *conn) awaitArrival() error {
	for {
		c.mu.Lock()
		closed, broken, changed := c.closed, c.broken, c.changed
		c.mu.Unlock()
		left, peerClosed := c.peer.pending()
		switch {
		case closed:
			return net.ErrClosed
		case broken || peerClosed:
			return syscall.EPIPE
		case left <= 0:
			return nil
		}
		await(changed, left)
	}
}

// pending returns the time until the last written chunk arrives, and whether this end is closed.
func (c *conn) pending() (left time.Duration, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) == 0 {
		return 0, c.closed
	}
	return time.Until(c.in[len(c.in)-1].due), c.closed
}
