package dbd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ControlHandler returns the HTTP handler that injects faults and reports the server's state:
//
//	POST /fault?kind=kill|freeze|thaw|heal
//	POST /fault?kind=cut&who=*|peers|callers|APPLICATION&direction=requests|answers|both
//	POST /fault?kind=slow&factor=10
//	POST /fault?kind=delay&delay=200ms
//	GET  /fault        how many operations the faults held back
//	GET  /executions   write transactions that ended on this server
//	GET  /entries      the replicated log
//	GET  /status       the server's status report
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.Hits()) })
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	mux.HandleFunc("GET /entries", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Entries()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	if err := s.applyFault(r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// directions maps the direction parameter of a cut, which defaults to both.
var directions = map[string]Direction{"requests": Requests, "answers": Answers, "both": Both, "": Both}

func (s *Server) applyFault(r *http.Request) error {
	switch kind := r.FormValue("kind"); kind {
	case "kill":
		go s.onKill()
	case "freeze":
		s.faults.Freeze()
	case "thaw":
		s.faults.Thaw()
	case "heal":
		s.faults.Heal()
	case "cut":
		return s.applyCut(r.FormValue("who"), r.FormValue("direction"))
	case "slow":
		factor, err := strconv.ParseFloat(r.FormValue("factor"), 64)
		if err != nil {
			return errors.Wrap(err, "factor")
		}
		s.faults.Slow(factor)
	case "delay":
		d, err := time.ParseDuration(r.FormValue("delay"))
		if err != nil {
			return errors.Wrap(err, "delay")
		}
		s.faults.SetReplicationDelay(d)
	default:
		return errors.Errorf("unknown fault %q", kind)
	}
	return nil
}

func (s *Server) applyCut(selector, direction string) error {
	d, ok := directions[direction]
	if !ok {
		return errors.Errorf("unknown direction %q", direction)
	}
	if selector == "" {
		selector = AllConnections
	}
	s.faults.Cut(selector, d)
	return nil
}
