// Package admin serves the operators' and the balancer's HTTP endpoint of a
// daemon: /healthz, /readyz, /metrics, /status and /explain. It only reads.
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
	headerTimeout  = 2 * time.Second
	explainDefault = 20
)

// Readiness says if the balancer should send new connections here, and if not
// why. It must turn false before the listener closes.
type Readiness func() (ready bool, reason string)

// Config is what the endpoint shows.
type Config struct {
	Ready      Readiness
	Status     func() any
	Requests   *explain.Ring
	Promotions *explain.Ring
	Gatherer   prometheus.Gatherer
}

// New returns the HTTP server; the caller listens and serves.
func New(c Config) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", health)
	mux.HandleFunc("GET /readyz", c.ready)
	mux.HandleFunc("GET /status", c.status)
	mux.HandleFunc("GET /explain", c.explain)
	mux.Handle("GET /metrics", promhttp.HandlerFor(c.Gatherer, promhttp.HandlerOpts{}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// health answers as long as the process can answer at all.
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

// explain answers ?request=ID, ?promotion=GROUP, or the newest requests.
func (c Config) explain(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("request"); id != "" {
		writeRecord(w, c.Requests, id)
		return
	}
	if group := r.URL.Query().Get("promotion"); group != "" {
		writeRecord(w, c.Promotions, group)
		return
	}
	writeJSON(w, http.StatusOK, c.Requests.Newest(explainDefault))
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
