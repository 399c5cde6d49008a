package filter

import (
	"github.com/prometheus/client_golang/prometheus"

	"endivemoor.example/endivemoor/outcome"
)

// Metrics is a Sink that counts requests.
//
//	endivemoor_requests_total{kind,outcome}   requests by outcome
//	endivemoor_request_seconds{kind}          time to the answer; only outcome "done"
//	endivemoor_reads_total{kind,served_by}    declared reads; replica or primary
//	endivemoor_retries_total{failure}         attempts repeated by the proxy, by the preceding failure
//	endivemoor_refusals_total{kind,code}      requests without an answer, by SQLSTATE
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	reads    *prometheus.CounterVec
	retries  *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

// latencyBuckets range from half a millisecond to about 8 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 15)

// NewMetrics registers the request metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &Metrics{
		requests: counter("endivemoor_requests_total", "Requests by kind and outcome.", "kind", "outcome"),
		reads:    counter("endivemoor_reads_total", "Declared reads by who served them.", "kind", "served_by"),
		retries:  counter("endivemoor_retries_total", "Attempts made again by the proxy, by the failure before.", "failure"),
		refusals: counter("endivemoor_refusals_total", "Requests that ended without an answer, by SQLSTATE.", "kind", "code"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "endivemoor_request_seconds", Help: "Time to the answer of requests that were done.",
			Buckets: latencyBuckets}, []string{"kind"}),
	}
	r.MustRegister(m.requests, m.seconds, m.reads, m.retries, m.refusals)
	return m
}

// Record counts one request.
func (m *Metrics) Record(rec *Record) {
	m.requests.WithLabelValues(rec.Kind, rec.Outcome).Inc()
	for i := range rec.Attempts {
		if rec.Attempts[i].Retried {
			m.retries.WithLabelValues(rec.Attempts[i].Failure).Inc()
		}
	}
	if rec.Outcome != outcome.Done.String() {
		m.refusals.WithLabelValues(rec.Kind, string(rec.Code)).Inc()
		return
	}
	m.seconds.WithLabelValues(rec.Kind).Observe(rec.Took.Seconds())
	if rec.Read {
		m.reads.WithLabelValues(rec.Kind, servedBy(rec)).Inc()
	}
}

func servedBy(rec *Record) string {
	if rec.Replica {
		return "replica"
	}
	return "primary"
}
