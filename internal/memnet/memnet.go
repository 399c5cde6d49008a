// Package memnet implements an in-memory network for tests: hosts with addresses, buffered
// connections with deadlines, and partitions between hosts. It blocks only on channels, so that it
// works in the virtual time of testing/synctest.
package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// backlog is the maximum number of connections that wait to be accepted by a listener.
const backlog = 128

// Network connects hosts.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
	conns     map[*conn]bool
	kills     map[string]int // by host
	links     map[string]*link
	delay     atomic.Int64 // time.Duration
}

// New returns an empty network.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[[2]string]bool), conns: make(map[*conn]bool), kills: make(map[string]int), links: make(map[string]*link)}
}

// Host is one host's view of the network.
type Host struct {
	net         *Network
	name        string
	incarnation int // number of times that this host was killed before
}

// Host returns the named host.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{net: n, name: name, incarnation: n.kills[name]}
}

// SetDelay sets the one-way delay of all bytes.
func (n *Network) SetDelay(d time.Duration) { n.delay.Store(int64(d)) }

// Cut silently separates two hosts: bytes between them are held back, and new connections hang.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal reconnects two hosts; bytes that were held back arrive.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// HealAll reconnects all hosts.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for c := range n.conns {
		c.wake()
	}
}

// StallConnections makes the open connections between two hosts stop delivering data, without
// closing them. New connections work.
func (n *Network) StallConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if pair(c.local, c.remote) == pair(a, b) {
			c.stalled.Store(true)
		}
	}
}

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = cut
	for c := range n.conns {
		if pair(c.local, c.remote) == pair(a, b) {
			c.wake()
		}
	}
}

// Reset closes all listeners of a host and breaks all its connections, as when its process dies.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.local == host || c.remote == host {
			broken = append(broken, c)
		}
	}
	var closing []*listener
	for _, l := range n.listeners {
		if l.host == host {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	for _, c := range broken {
		c.reset()
	}
}

// Kill ends a host's process: its connections break, and Host values obtained before open no new
// ones. A Host obtained later belongs to a new process.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.kills[host]++
	n.mu.Unlock()
	n.Reset(host)
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pair(a, b)]
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

type listener struct {
	net    *Network
	host   string
	addr   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen accepts connections at an address.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{net: h.net, host: h.name, addr: addr, queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	h.net.listeners[addr] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// DialContext connects to an address.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	h.net.mu.Lock()
	l, dead := h.net.listeners[addr], h.net.kills[h.name] != h.incarnation
	h.net.mu.Unlock()
	if dead {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: address(addr), Err: os.NewSyscallError("connect", syscall.ENETUNREACH)}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: address(addr), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	for h.net.isCut(h.name, l.host) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	ours, theirs := h.net.connect(h.name, l.host)
	select {
	case l.queue <- theirs:
		return ours, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) connect(a, b string) (*conn, *conn) {
	x, y := newConn(n, a, b), newConn(n, b, a)
	x.peer, y.peer = y, x
	n.mu.Lock()
	n.conns[x], n.conns[y] = true, true
	n.mu.Unlock()
	return x, y
}

type chunk struct {
	data []byte
	due  time.Time
}

// conn is one end of a connection. in contains the data that the other end has written.
type conn struct {
	net           *Network
	local, remote string
	peer          *conn
	stalled       atomic.Bool

	mu       sync.Mutex
	in       []chunk
	ended    bool // the other end has closed
	broken   bool
	closed   bool
	changed  chan struct{}
	deadline time.Time
}

func newConn(n *Network, local, remote string) *conn {
	return &conn{net: n, local: local, remote: remote, changed: make(chan struct{})}
}

func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeLocked()
}

func (c *conn) wakeLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		held := c.stalled.Load() || c.net.isCut(c.local, c.remote)
		c.mu.Lock()
		n, wait, err := c.take(b, held)
		changed := c.changed
		c.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		await(changed, wait)
	}
}

// take moves data that has arrived into b. If there is none, it returns how long to wait; a
// negative duration means without limit.
func (c *conn) take(b []byte, held bool) (int, time.Duration, error) {
	now := time.Now()
	switch {
	case c.closed:
		return 0, 0, net.ErrClosed
	case c.broken:
		return 0, 0, syscall.ECONNRESET
	case len(c.in) > 0 && !held && !c.in[0].due.After(now):
		n := copy(b, c.in[0].data)
		if c.in[0].data = c.in[0].data[n:]; len(c.in[0].data) == 0 {
			c.in = c.in[1:]
		}
		return n, 0, nil
	case len(c.in) == 0 && c.ended && !held:
		return 0, 0, io.EOF
	case !c.deadline.IsZero() && !c.deadline.After(now):
		return 0, 0, os.ErrDeadlineExceeded
	}
	wait := time.Duration(-1)
	if len(c.in) > 0 && !held {
		wait = c.in[0].due.Sub(now)
	}
	if !c.deadline.IsZero() && (wait < 0 || c.deadline.Sub(now) < wait) {
		wait = c.deadline.Sub(now)
	}
	return 0, wait, nil
}

func await(changed <-chan struct{}, wait time.Duration) {
	if wait < 0 {
		<-changed
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// Write implements net.Conn. It never blocks, as the other end's buffer is unbounded, unless one of
// the hosts has a rate-limited link.
func (c *conn) Write(b []byte) (int, error) {
	if c.net.hasRate(c.local, c.remote) {
		return c.writeRated(b)
	}
	return c.write(b)
}

func (c *conn) write(b []byte) (int, error) {
	c.mu.Lock()
	closed, broken := c.closed, c.broken
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	// Lock order: the network before connections.
	due := c.net.scheduleArrival(c.local, c.remote, len(b)).Add(time.Duration(c.net.delay.Load()))
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if broken || p.closed {
		return 0, syscall.EPIPE
	}
	p.in = append(p.in, chunk{data: append([]byte(nil), b...), due: due})
	p.wakeLocked()
	return len(b), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.wakeLocked()
	c.mu.Unlock()
	p := c.peer
	p.mu.Lock()
	p.ended = true
	p.wakeLocked()
	p.mu.Unlock()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	c.wakeLocked()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.Join(net.ErrClosed)
	}
	c.deadline = t
	c.wakeLocked()
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Ended reports whether the connection was closed at the other end, or has broken.
func (c *conn) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended || c.broken
}

// Idle reports whether no unread data is queued and the connection is open at the other end.
func (c *conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && !c.broken && len(c.in) == 0
}
