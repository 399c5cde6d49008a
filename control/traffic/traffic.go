// Package traffic counts the bytes that a daemon sends and receives for control, by plane: to
// peers, to the platform and on control connections to targets. Bytes are counted below TLS, so
// the count is what the network carries without TCP and IP headers. Begin with Meter, whose Dial
// and Listen return counted connections. The traffic of callers is not counted.
package traffic

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Planes of control traffic.
const (
	Peers    = "peers"
	Platform = "platform"
	Targets  = "targets"
)

// Meter creates connections that count their bytes.
type Meter struct {
	bytes *prometheus.CounterVec
}

// NewMeter returns a meter and registers its metric endivemoor_control_bytes_total.
func NewMeter(r prometheus.Registerer) (*Meter, error) {
	m := &Meter{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivemoor_control_bytes_total",
		Help: "Bytes that control sent and received, by plane (peers, platform, targets).",
	}, []string{"plane", "direction"})}
	return m, r.Register(m.bytes)
}

// Dial returns a dial function whose connections are counted for the plane.
func (m *Meter) Dial(plane string, d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return m.conn(plane, c), nil
	}
}

// Listen returns a listener whose connections are counted for the plane.
func (m *Meter) Listen(plane string, ln net.Listener) net.Listener { return &listener{ln, m, plane} }

func (m *Meter) conn(plane string, c net.Conn) net.Conn {
	return &conn{c, m.bytes.WithLabelValues(plane, "received"), m.bytes.WithLabelValues(plane, "sent")}
}

type listener struct {
	net.Listener
	meter *Meter
	plane string
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.conn(l.plane, c), nil
}

type conn struct {
	net.Conn
	received, sent prometheus.Counter
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}
