package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/outcome"
)

type metrics struct {
	sessions prometheus.Gauge
	refused  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "endivemoor_sessions", Help: "Callers connected."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_startup_refused_total", Help: "Connections refused, by SQLSTATE."}, []string{"code"}),
	}
	if r != nil {
		r.MustRegister(m.sessions, m.refused)
	}
	return m
}

func (m *metrics) refusedStartup(code outcome.SQLSTATE) {
	m.refused.WithLabelValues(string(code)).Inc()
}
