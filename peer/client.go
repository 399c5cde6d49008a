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

// Clients makes and keeps a client for each peer address.
type Clients struct {
	http      *http.Client
	transport *http.Transport
	scheme    string

	mu   sync.Mutex
	byIP map[string]peerpb.Peer
}

// NewClients returns an empty set. A nil config speaks plain HTTP, which is
// for stand-ins on one machine only.
func NewClients(config *tls.Config) *Clients {
	tr := &http.Transport{
		TLSClientConfig:     config,
		DialContext:         Dialer().DialContext,
		MaxConnsPerHost:     connsPerPeer,
		MaxIdleConns:        maxIdlePeers,
		MaxIdleConnsPerHost: connsPerPeer,
		IdleConnTimeout:     idleTimeout,
		// Messages are small; offering gzip would only add a header to each.
		DisableCompression: true,
	}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Clients{http: &http.Client{Transport: terse.Transport{RoundTripper: tr}}, transport: tr, scheme: scheme, byIP: map[string]peerpb.Peer{}}
}

// DialBy makes the clients connect by dial. It must be called before At.
func (c *Clients) DialBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.transport.DialContext = dial
}

// Dialer returns the dialer that connections are made with.
func Dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// At returns the client of the daemon that serves peers at addr (ip:port).
func (c *Clients) At(addr string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byIP[addr]
	if p == nil {
		c.makeRoom()
		p = peerpb.NewPeerProtobufClient(c.scheme+addr, c.http)
		c.byIP[addr] = p
	}
	return p
}

// maxClients bounds the clients kept: 770 VMs are replaced on an ordinary day,
// each at a new address. One that is made anew costs nothing, for connections
// belong to the transport.
const maxClients = 512

// makeRoom forgets any one client once there are too many.
func (c *Clients) makeRoom() {
	for addr := range c.byIP {
		if len(c.byIP) < maxClients {
			return
		}
		delete(c.byIP, addr)
	}
}
