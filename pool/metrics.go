package pool

import (
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/target"
)

// Metrics counts connections by server. A nil *Metrics counts nothing.
//
//	endivemoor_pool_connections{server}       gauge, open connections
//	endivemoor_pool_opened_total{server}      counter
//	endivemoor_pool_open_failed_total{server} counter
type Metrics struct {
	open  *prometheus.GaugeVec
	opens *prometheus.CounterVec
	fails *prometheus.CounterVec
}

// NewMetrics registers the pool's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	label := []string{"server"}
	m := &Metrics{
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "endivemoor_pool_connections", Help: "Open connections to a target."}, label),
		opens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_pool_opened_total", Help: "Connections opened to a target."}, label),
		fails: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_pool_open_failed_total", Help: "Failed attempts to open a connection."}, label),
	}
	r.MustRegister(m.open, m.opens, m.fails)
	return m
}

func (m *Metrics) opened(id target.ID) {
	if m == nil {
		return
	}
	m.open.WithLabelValues(string(id)).Inc()
	m.opens.WithLabelValues(string(id)).Inc()
}

func (m *Metrics) closed(id target.ID) {
	if m != nil {
		m.open.WithLabelValues(string(id)).Dec()
	}
}

func (m *Metrics) failed(id target.ID) {
	if m != nil {
		m.fails.WithLabelValues(string(id)).Inc()
	}
}
