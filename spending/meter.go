package spending

import (
	"context"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Purpose is the purpose of a connection.
type Purpose string

const (
	// Gossip connections carry what VMs pull from each other.
	Gossip Purpose = "gossip"
	// Relay connections carry statements, queries and commands through gateways.
	Relay Purpose = "relay"
	// Target connections carry statements, queries and commands to targets.
	Target Purpose = "target"
	// Store connections carry calls to the platform's object store.
	Store Purpose = "store"
)

// Reach is the distance to the other end of a connection.
type Reach string

const (
	// SameZone connections stay in the VM's availability zone.
	SameZone Reach = "near"
	// CrossZone connections leave it.
	CrossZone Reach = "far"
	// Unknown is used for an address whose zone is not known.
	Unknown Reach = "unknown"
)

// Reason is the reason for a query or command to a target that no consumer sent.
type Reason string

const (
	// Witness queries confirm that a primary still leads.
	Witness Reason = "witness"
	// Sample queries refresh the evidence of a primary's position.
	Sample Reason = "sample"
	// Discovery queries look for the primary.
	Discovery Reason = "discovery"
	// Suspicion queries check a suspected primary.
	Suspicion Reason = "suspicion"
	// Change is the reason of queries and commands that are part of a change of primary.
	Change Reason = "change"
)

// DialFunc connects to ip:port.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Meter counts the resources that one VM uses. It is safe for concurrent use.
type Meter struct {
	bytes   *prometheus.CounterVec
	queries *prometheus.CounterVec
	calls   *prometheus.CounterVec

	mu     sync.Mutex
	totals map[Item]*total
}

// NewMeter returns a Meter with its counters registered.
func NewMeter(r prometheus.Registerer) *Meter {
	m := &Meter{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_bytes_total", Help: "Bytes sent and received on connections that this VM opened."}, []string{"purpose", "reach"}),
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_questions_total", Help: "Questions of this VM's own to targets."}, []string{"reason"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_calls_total", Help: "Calls to the platform's object store."}, []string{"kind", "verb"}),
		totals: make(map[Item]*total),
	}
	r.MustRegister(m.bytes, m.queries, m.calls)
	return m
}

// Dial returns a dial function that counts the bytes on its connections. The function reach returns
// the reach of an address.
func (m *Meter) Dial(p Purpose, dial DialFunc, reach func(addr string) Reach) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countBytes(conn, m.byteCounter(p, reach(addr))), nil
	}
}

// RecordQuery counts a query or command to a target.
func (m *Meter) RecordQuery(r Reason) { m.counter(Item{Family: Queries, Name: string(r)}).add(1) }

// RecordCall counts a call to the store.
func (m *Meter) RecordCall(kind, verb string) {
	m.counter(Item{Family: Calls, Name: kind, Detail: verb}).add(1)
}

func (m *Meter) byteCounter(p Purpose, r Reach) *total {
	return m.counter(Item{Family: Bytes, Name: string(p), Detail: string(r)})
}

func (m *Meter) counter(i Item) *total {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.totals[i]
	if t == nil {
		t = &total{metric: m.metric(i)}
		m.totals[i] = t
	}
	return t
}

func (m *Meter) metric(i Item) prometheus.Counter {
	switch i.Family {
	case Bytes:
		return m.bytes.WithLabelValues(i.Name, i.Detail)
	case Queries:
		return m.queries.WithLabelValues(i.Name)
	default:
		return m.calls.WithLabelValues(i.Name, i.Detail)
	}
}

// DialContext connects to ip:port.
func (f DialFunc) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return f(ctx, network, addr)
}
