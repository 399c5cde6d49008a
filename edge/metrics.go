package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/spending"
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
			func() float64 { return e.evidenceAge(recency.Fleet).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "endivemoor_config_version", Help: "Version of the configuration in force."},
			func() float64 { return float64(e.catalog.Load().ConfigVersion()) }),
	)
	for _, l := range recency.Lists() {
		e.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "endivemoor_evidence_age_seconds", Help: "Time since this VM's copy of a list was known to be the store's.",
			ConstLabels: prometheus.Labels{"list": l.String()}},
			func() float64 { return e.evidenceAge(l).Seconds() }))
	}
}

// summaryEvery is the interval of the line that shows that a VM is well, or not.
const summaryEvery = 10 * time.Second

// summarize logs what the VM has served so far, and how old its news are.
func (e *Edge) summarize() {
	t := e.counts.Totals()
	e.log.Info("summary", zap.Int64("served", t.Served), zap.Int64("failed", t.Failed),
		zap.Int64("at-replicas", t.AtReplicas), zap.Int64("at-primary", t.AtPrimary),
		zap.Int("sessions", e.sessions.count()), zap.Duration("store-age", e.evidenceAge(recency.Fleet)),
		zap.Int64("config", e.catalog.Load().ConfigVersion()), zap.Duration("config-age", e.evidenceAge(recency.Config)),
		zap.Duration("targets-age", e.evidenceAge(recency.Targets)))
	e.reportSpent()
}

// reportSpent logs what the VM has spent since its start.
func (e *Edge) reportSpent() {
	e.log.Info(spending.Event, append([]zap.Field{zap.String("incarnation", e.incarnation)}, e.spent.Fields()...)...)
}

// waitedEvery is the interval of the lines that say for which targets requests
// wait.
const waitedEvery = time.Second

// reportWaited logs the targets for which requests wait.
func (e *Edge) reportWaited() {
	for id, l := range e.pool.QueuedLoads() {
		e.log.Info("requests-wait", zap.String("target", string(id)), zap.Int("queued", l.Queued), zap.Int("late", l.Late),
			zap.Int("in-use", l.InUse), zap.Int("resting", l.Parked), zap.Int("open", l.Open), zap.Duration("served-every", l.ServeInterval))
	}
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
