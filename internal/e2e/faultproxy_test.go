package e2e

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// direction is the direction of bytes through a faultProxy.
type direction int

const (
	toServer direction = iota
	toClient
)

// stallPollInterval is how often a stalled direction checks whether it may continue.
const stallPollInterval = 5 * time.Millisecond

// faultProxy forwards connections between processes on loopback and injects faults into them.
type faultProxy struct {
	ln      net.Listener
	target  string
	delay   atomic.Int64   // time.Duration, for each chunk
	stalled [2]atomic.Bool // by direction

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newFaultProxy(t *testing.T, listen, target string) *faultProxy {
	t.Helper()
	ln, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &faultProxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(func() { _ = ln.Close(); p.reset() })
	return p
}

func (p *faultProxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *faultProxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.add(client, server)
	defer p.drop(client, server)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, toServer); done <- struct{}{} }()
	go func() { p.copy(client, server, toClient); done <- struct{}{} }()
	<-done
}

func (p *faultProxy) copy(to, from net.Conn, d direction) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for p.stalled[d].Load() {
			time.Sleep(stallPollInterval)
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *faultProxy) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *faultProxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// reset aborts all connections with a TCP RST.
func (p *faultProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// heal ends delays and stalls.
func (p *faultProxy) heal() {
	p.delay.Store(0)
	p.stalled[toServer].Store(false)
	p.stalled[toClient].Store(false)
}
