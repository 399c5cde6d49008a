package edge

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

// metricsPath is where the metrics are served.
const metricsPath = "/metrics"

// registerMetrics adds what the daemon itself knows.
func (e *Edge) registerMetrics() {
	e.metrics.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "endivemoor_store_calls_total", Help: "Calls to the platform's object store."},
			func() float64 { return float64(e.store.Calls()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "endivemoor_sessions", Help: "Consumers' open sessions."},
			func() float64 { return float64(e.sessions.count()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "endivemoor_store_age_seconds", Help: "Time since the fleet's list was known to be complete."},
			func() float64 { return e.gossip.age(e.clk.Now()).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "endivemoor_config_version", Help: "Version of the configuration in force."},
			e.configVersion),
	)
}

func (e *Edge) configVersion() float64 {
	c := e.catalog.Load().Config
	if c == nil {
		return 0
	}
	return float64(c.Version)
}

// serveMetrics serves the metrics. A daemon that cannot serve them goes on.
func (e *Edge) serveMetrics(addr string) {
	ln, err := e.net.Listen(addr)
	if err != nil {
		e.log.Warn("metrics-unserved", zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(e.metrics, promhttp.HandlerOpts{}))
	if err := http.Serve(ln, mux); err != nil {
		e.log.Warn("metrics-unserved", zap.Error(err))
	}
}
