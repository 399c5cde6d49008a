package spending

import (
	"context"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Purpose is what a connection is for.
type Purpose string

// Purposes of connections.
const (
	// Gossip is what VMs pull from each other.
	Gossip Purpose = "gossip"
	// Relay is statements and questions through gateways.
	Relay Purpose = "relay"
	// Target is statements and questions to targets.
	Target Purpose = "target"
	// Store is calls to the platform's object store.
	Store Purpose = "store"
)

// Reach is how far a connection goes.
type Reach string

// Reaches of connections.
const (
	// Near stays in the VM's availability zone.
	Near Reach = "near"
	// Far leaves it.
	Far Reach = "far"
	// Unknown is to an address whose zone is not known.
	Unknown Reach = "unknown"
)

// Reason is why a target was asked a question that no consumer sent.
type Reason string

// Reasons of questions.
const (
	// Witness proves that a primary still leads.
	Witness Reason = "witness"
	// Sample renews the evidence of where a primary stands.
	Sample Reason = "sample"
	// Discovery looks for the primary.
	Discovery Reason = "discovery"
	// Suspicion asks a primary that seems dead.
	Suspicion Reason = "suspicion"
	// Change belongs to a change of primary.
	Change Reason = "change"
)

// DialFunc connects to ip:port.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Meter counts one VM's spending. It is safe for concurrent use.
type Meter struct {
	bytes     *prometheus.CounterVec
	questions *prometheus.CounterVec
	calls     *prometheus.CounterVec

	mu     sync.Mutex
	totals map[Item]*total
}

// NewMeter returns a Meter whose counters are registered.
func NewMeter(r prometheus.Registerer) *Meter {
	m := &Meter{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_bytes_total", Help: "Bytes sent and received on connections that this VM opened."}, []string{"purpose", "reach"}),
		questions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_questions_total", Help: "Questions of this VM's own to targets."}, []string{"reason"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_calls_total", Help: "Calls to the platform's object store."}, []string{"kind", "verb"}),
		totals: make(map[Item]*total),
	}
	r.MustRegister(m.bytes, m.questions, m.calls)
	return m
}

// Dial returns a dial function that counts what its connections carry. Reach
// tells how far an address is.
func (m *Meter) Dial(p Purpose, dial DialFunc, reach func(addr string) Reach) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return count(conn, m.byteCounter(p, reach(addr))), nil
	}
}

// Asked counts a question to a target.
func (m *Meter) Asked(r Reason) { m.counter(Item{Family: Questions, Name: string(r)}).add(1) }

// Called counts a call to the store.
func (m *Meter) Called(kind, verb string) {
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
	case Questions:
		return m.questions.WithLabelValues(i.Name)
	default:
		return m.calls.WithLabelValues(i.Name, i.Detail)
	}
}

// DialContext connects to ip:port.
func (f DialFunc) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return f(ctx, network, addr)
}
