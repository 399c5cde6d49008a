package platformd

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/wire"
)

// Paths of the control calls, beside the object API of package wire.
const (
	// PathFault takes Control by POST, and answers GET with State.
	PathFault = "/fault"
	// PathStats answers with Stats.
	PathStats = "/stats"
	// PathSetVMs takes wire.VMs by POST and replaces the VM list.
	PathSetVMs = "/control/vms"
)

// Control is the body of POST /fault. Fields that are left out of Faults are
// set to well.
type Control struct {
	Faults
	// Release applies the changes held back, after the faults are set.
	Release bool `json:"release"`
	// VMLagMS sets the lag of the VM list in milliseconds, if present.
	VMLagMS *int64 `json:"vm_lag_ms,omitempty"`
}

// State is the answer of GET /fault.
type State struct {
	Faults Faults `json:"faults"`
	Struck Struck `json:"struck"`
}

// Handler returns the HTTP face of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathObject, s.serveGet)
	mux.HandleFunc("PUT "+wire.PathObject, s.servePut)
	mux.HandleFunc("DELETE "+wire.PathObject, s.serveDelete)
	mux.HandleFunc("GET "+wire.PathList, s.serveList)
	mux.HandleFunc("GET "+wire.PathWatch, s.serveWatch)
	mux.HandleFunc("GET "+wire.PathVMs, s.serveVMs)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Stats(), nil) })
	mux.HandleFunc("GET "+PathFault, s.serveState)
	mux.HandleFunc("POST "+PathFault, s.serveFault)
	mux.HandleFunc("POST "+PathSetVMs, s.serveSetVMs)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), purposeOf(r), r.FormValue(wire.ParamKey))
	answer(w, o, err)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	objects, err := s.List(r.Context(), purposeOf(r), r.FormValue(wire.ParamPrefix))
	answer(w, wire.Objects{Objects: objects}, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.FormValue(wire.ParamSince), 10, 64)
	if err != nil {
		http.Error(w, "bad "+wire.ParamSince, http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue(wire.ParamWait), 10, 64)
	if err != nil {
		http.Error(w, "bad "+wire.ParamWait, http.StatusBadRequest)
		return
	}
	objects, revision, err := s.Watch(r.Context(), purposeOf(r), r.FormValue(wire.ParamPrefix), since, time.Duration(wait)*time.Millisecond)
	answer(w, wire.Objects{Objects: objects, Revision: revision}, err)
}

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMs(r.Context())
	answer(w, wire.VMs{VMs: vms}, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectOf(w, r)
	if !ok {
		return
	}
	var body wire.PutBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxBody)).Decode(&body); err != nil {
		http.Error(w, "bad body", http.StatusRequestEntityTooLarge)
		return
	}
	// A store takes its decision whether or not the caller is still there.
	ctx := context.WithoutCancel(r.Context())
	version, err := s.Put(ctx, purposeOf(r), r.FormValue(wire.ParamKey), body.Value, expect)
	answer(w, wire.Written{Version: version}, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectOf(w, r)
	if !ok {
		return
	}
	ctx := context.WithoutCancel(r.Context())
	err := s.Delete(ctx, purposeOf(r), r.FormValue(wire.ParamKey), expect)
	answer(w, wire.Written{}, err)
}

func (s *Store) serveState(w http.ResponseWriter, _ *http.Request) {
	faults, struck := s.Faults()
	answer(w, State{Faults: faults, Struck: struck}, nil)
}

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxBody)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(c.Faults)
	if c.Release {
		s.Release()
	}
	if c.VMLagMS != nil {
		s.SetVMLag(time.Duration(*c.VMLagMS) * time.Millisecond)
	}
	s.serveState(w, r)
}

func (s *Store) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var body wire.VMs
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(body.VMs)
	answer(w, body, nil)
}

func purposeOf(r *http.Request) store.Purpose {
	return store.Purpose(r.Header.Get(wire.HeaderPurpose))
}

func expectOf(w http.ResponseWriter, r *http.Request) (store.Version, bool) {
	n, err := strconv.ParseInt(r.FormValue(wire.ParamExpect), 10, 64)
	if err != nil {
		http.Error(w, "bad "+wire.ParamExpect, http.StatusBadRequest)
		return 0, false
	}
	return store.Version(n), true
}

func answer(w http.ResponseWriter, v any, err error) {
	var conflict *store.ConflictError
	var tooLarge *wire.TooLargeError
	switch {
	case err == nil:
		reply(w, http.StatusOK, v)
	case errors.Is(err, store.ErrNoAnswer):
		// Cuts the connection without a response: the caller cannot know.
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		reply(w, http.StatusNotFound, nil)
	case errors.As(err, &conflict):
		reply(w, http.StatusConflict, wire.Written{Version: conflict.Current})
	case errors.As(err, &tooLarge):
		reply(w, http.StatusRequestEntityTooLarge, nil)
	default:
		reply(w, http.StatusServiceUnavailable, nil)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
