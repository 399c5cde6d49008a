package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/peer/peerpb"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 90 * time.Second
	connsPerPeer    = 2
	maxIdlePeers    = 64
	headerTimeout   = 2 * time.Second
	maxHeaderBytes  = 16 << 10
	maxRequestBytes = 2 << 20
)

// Clients creates and caches a client for each peer address.
type Clients struct {
	http      *http.Client
	transport *http.Transport
	scheme    string

	mu     sync.Mutex
	byAddr map[string]peerpb.Peer
}

// NewClients returns an empty set. With a nil config the clients use plain HTTP, which is only for
// stand-ins on one machine.
func NewClients(config *tls.Config) *Clients {
	tr := &http.Transport{
		TLSClientConfig:     config,
		DialContext:         Dialer().DialContext,
		MaxConnsPerHost:     connsPerPeer,
		MaxIdleConns:        maxIdlePeers,
		MaxIdleConnsPerHost: connsPerPeer,
		IdleConnTimeout:     idleTimeout,
		// Messages are small, so gzip would only add a header to each.
		DisableCompression: true,
	}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Clients{http: &http.Client{Transport: terse.Transport{RoundTripper: tr}}, transport: tr, scheme: scheme, byAddr: map[string]peerpb.Peer{}}
}

// DialBy sets the function that the clients use to connect. It must be called before At.
func (c *Clients) DialBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.transport.DialContext = dial
}

// Dialer returns the default dialer of the clients.
func Dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// At returns the client of the daemon that serves its peers at addr (ip:port).
func (c *Clients) At(addr string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byAddr[addr]
	if p == nil {
		c.evictExcess()
		p = peerpb.NewPeerProtobufClient(c.scheme+addr, c.http)
		c.byAddr[addr] = p
	}
	return p
}

// maxClients limits the cached clients: 770 VMs are replaced on an ordinary day, each at a new
// address. Creating a client again is cheap, because the transport owns the connections.
const maxClients = 512

// evictExcess removes arbitrary clients until there is room for one more.
func (c *Clients) evictExcess() {
	for addr := range c.byAddr {
		if len(c.byAddr) < maxClients {
			return
		}
		delete(c.byAddr, addr)
	}
}
