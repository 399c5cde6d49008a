// Package admin implements a daemon's HTTP endpoint for operators and the load balancer: /healthz,
// /readyz, /metrics, /status and /explain. New builds the server. The endpoint is read-only.
package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"endivemoor.example/endivemoor/explain"
)

const (
	headerTimeout         = 2 * time.Second
	defaultExplainRecords = 20
)

// Readiness reports whether the load balancer should send new connections to this daemon, and the
// reason if not. It must return false before the listener closes.
type Readiness func() (ready bool, reason string)

// Config contains the data sources of the endpoint.
type Config struct {
	Ready      Readiness
	Status     func() any
	Requests   *explain.Ring
	Promotions *explain.Ring
	Gatherer   prometheus.Gatherer
}

// New returns the HTTP server. The caller opens the listener and calls Serve.
func New(c Config) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", health)
	mux.HandleFunc("GET /readyz", c.ready)
	mux.HandleFunc("GET /status", c.status)
	mux.HandleFunc("GET /explain", c.explain)
	mux.Handle("GET /metrics", promhttp.HandlerFor(c.Gatherer, promhttp.HandlerOpts{}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// health reports that the process is running.
func health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"health": "ok"})
}

func (c Config) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := c.Ready()
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"ready": "no", "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"ready": "yes"})
}

func (c Config) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Status())
}

// explain returns the record for ?request=ID or ?promotion=GROUP, or else the newest requests.
func (c Config) explain(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("request"); id != "" {
		writeRecord(w, c.Requests, id)
		return
	}
	if group := r.URL.Query().Get("promotion"); group != "" {
		writeRecord(w, c.Promotions, group)
		return
	}
	writeJSON(w, http.StatusOK, c.Requests.Newest(defaultExplainRecords))
}

func writeRecord(w http.ResponseWriter, ring *explain.Ring, id string) {
	rec, ok := ring.Get(id)
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no record of " + id + " on this daemon"})
		return
	}
	writeJSON(w, http.StatusOK, rec)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
