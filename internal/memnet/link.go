package memnet

import (
	"net"
	"syscall"
	"time"
)

// segment is how many bytes a connection has on its way over a link with a rate before
// its writer waits: other connections take turns in between.
const segment = 16 << 10

// link is a host's own: what it sends shares one direction, what it receives the other.
type link struct {
	rate     int // bytes per second
	up, down time.Time
}

// SetRate bounds what a host sends, and what it receives, in bytes per second; 0 is no
// bound, and what waits arrives at once.
func (n *Network) SetRate(host string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rate > 0 {
		n.links[host] = &link{rate: rate}
		return
	}
	delete(n.links, host)
	for c := range n.conns {
		c.hurry(host)
	}
	// Writers wait for what the other end has.
	for c := range n.conns {
		c.wake()
	}
}

// hurry lets all that is on its way from or to a host arrive at this end.
func (c *conn) hurry(host string) {
	if c.local != host && c.remote != host {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.in {
		c.in[i].due = time.Now()
	}
}

func (n *Network) rated(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[a] != nil || n.links[b] != nil
}

// arrival takes a host's turn to send to another, and returns when the last byte has
// passed both links.
func (n *Network) arrival(from, to string, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	if l := n.links[from]; l != nil {
		at = pass(&l.up, at, bytes, l.rate)
	}
	if l := n.links[to]; l != nil {
		at = pass(&l.down, at, bytes, l.rate)
	}
	return at
}

// pass queues bytes behind those that are on a link already.
func pass(free *time.Time, at time.Time, bytes, rate int) time.Time {
	if free.After(at) {
		at = *free
	}
	*free = at.Add(time.Duration(bytes) * time.Second / time.Duration(rate))
	return *free
}

// writeRated writes one segment after the other, each once the one before has arrived.
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

// awaitArrival waits until the other end could read all that was written.
func (c *conn) awaitArrival() error {
	for {
		c.mu.Lock()
		closed, broken, changed := c.closed, c.broken, c.changed
		c.mu.Unlock()
		left, gone := c.peer.pending()
		switch {
		case closed:
			return net.ErrClosed
		case broken || gone:
			return syscall.EPIPE
		case left <= 0:
			return nil
		}
		await(changed, left)
	}
}

// pending is how long the last of what was written takes to arrive, and whether this
// end is closed.
func (c *conn) pending() (left time.Duration, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) == 0 {
		return 0, c.closed
	}
	return time.Until(c.in[len(c.in)-1].due), c.closed
}
