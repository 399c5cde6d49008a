package engine

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
)

// Metrics counts operations and their latency. A nil Metrics counts nothing.
type Metrics struct {
	operations *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	reads      *prometheus.CounterVec
	refusals   prometheus.Counter
	workspaces *prometheus.CounterVec
	labels     labeller

	served, failed, atReplicas, atPrimary atomic.Int64
}

// Totals holds the counts since the start, for the log.
type Totals struct {
	// Served and Failed count operations by result.
	Served, Failed int64
	// AtReplicas and AtPrimary count bounded-staleness reads by the role of the target.
	AtReplicas, AtPrimary int64
}

// Totals returns the counts so far.
func (m *Metrics) Totals() Totals {
	return Totals{Served: m.served.Load(), Failed: m.failed.Load(), AtReplicas: m.atReplicas.Load(), AtPrimary: m.atPrimary.Load()}
}

// latencyBuckets are in seconds, around the latency objectives of 0.15, 0.25 and 0.5 s.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .25, .5, 1, 2}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		operations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_operations_total", Help: "Operations by freshness of the route, access and result."},
			[]string{"freshness", "access", "result"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivemoor_operation_seconds", Help: "Time from the first byte to the answer.", Buckets: latencyBuckets},
			[]string{"freshness", "access"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "endivemoor_aged_reads_total", Help: "Reads that accept an age, by the role of the target."},
			[]string{"role"}),
	}
	m.refusals = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivemoor_limit_refusals_total", Help: "Operations refused because their workspace was at its limit."})
	m.workspaces = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivemoor_workspace_operations_total", Help: "Operations by workspace and result; all but the largest workspaces are counted together."},
		[]string{"workspace", "result"})
	r.MustRegister(m.operations, m.latency, m.reads, m.refusals, m.workspaces)
	return m
}

func (m *Metrics) done(route *catalog.Route, w *work, a *statement.Answer, now clock.Time) {
	if m == nil {
		return
	}
	if a.Code == statement.OK {
		m.served.Add(1)
	} else {
		m.failed.Add(1)
	}
	access := "read"
	if w.writes {
		access = "write"
	}
	freshness := route.Freshness.String()
	m.operations.WithLabelValues(freshness, access, a.Code.String()).Inc()
	m.latency.WithLabelValues(freshness, access).Observe(now.Sub(w.arrived).Seconds())
}

// countLimited counts an operation that was refused because its workspace was at its limit.
func (m *Metrics) countLimited() {
	if m != nil {
		m.refusals.Inc()
	}
}

// countWorkspace counts an operation of a workspace.
func (m *Metrics) countWorkspace(c *catalog.Config, workspace string, code statement.Code) {
	if m != nil && workspace != "" {
		m.workspaces.WithLabelValues(m.labels.label(c, workspace), code.String()).Inc()
	}
}

func (m *Metrics) countRead(atPrimary bool) {
	if m == nil {
		return
	}
	role := "replica"
	if atPrimary {
		role = "primary"
		m.atPrimary.Add(1)
	} else {
		m.atReplicas.Add(1)
	}
	m.reads.WithLabelValues(role).Inc()
}
