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

// metricsPath is the HTTP path that serves the metrics.
const metricsPath = "/metrics"

// registerMetrics registers the daemon's own metrics.
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

// summaryInterval is the interval of the log line that shows the health of a VM.
const summaryInterval = 10 * time.Second

// summarize logs what the VM has served so far, and the age of its lists.
func (e *Edge) summarize() {
	t := e.engineMetrics.Totals()
	e.log.Info("summary", zap.Int64("served", t.Served), zap.Int64("failed", t.Failed),
		zap.Int64("at-replicas", t.AtReplicas), zap.Int64("at-primary", t.AtPrimary),
		zap.Int("sessions", e.sessions.count()), zap.Duration("store-age", e.evidenceAge(recency.Fleet)),
		zap.Int64("config", e.catalog.Load().ConfigVersion()), zap.Duration("config-age", e.evidenceAge(recency.Config)),
		zap.Duration("targets-age", e.evidenceAge(recency.Targets)))
	e.reportSpending()
}

// reportSpending logs the VM's network traffic and calls since its start.
func (e *Edge) reportSpending() {
	e.log.Info(spending.Event, append([]zap.Field{zap.String("incarnation", e.incarnation)}, e.meter.Fields()...)...)
}

// queueReportInterval is the interval of the log lines that list the targets with waiting requests.
const queueReportInterval = time.Second

// reportQueues logs the targets with waiting requests.
func (e *Edge) reportQueues() {
	for id, l := range e.pool.QueuedLoads() {
		e.log.Info("requests-wait", zap.String("target", string(id)), zap.Int("queued", l.Queued), zap.Int("late", l.Late),
			zap.Int("in-use", l.InUse), zap.Int("resting", l.Parked), zap.Int("open", l.Open), zap.Duration("served-every", l.ServeInterval))
	}
}

// serveMetrics serves the metrics. The daemon continues if that fails.
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
