package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of a stored object.
type meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deletion-pending"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"obj"`
	Deleted bool   `json:"is-deleted"`
	kind    string
}

type page struct {
	Items  []object `json:"items"`
	More   bool     `json:"has-more"`
	Events []event  `json:"events"`
	AtRev  int64    `json:"at-rev"`
}

// store is the platform's object store and its failover call.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	// failover makes a server the primary, and reports whether that server is running.
	failover func(id string) bool
	// busy reports whether the failover call is refused; nil if it never is.
	busy func() bool
	// called is told the holder and the server of each failover call.
	called func(holder, id string)
}

func newStore() *store {
	return &store{rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object unconditionally, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, object{Meta: meta{Name: name}, Spec: raw})
}

func (s *store) set(kind string, o object) object {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o.Meta.Created = s.rev
	if old, ok := s.objects[kind][o.Meta.Name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	o.Meta.Rev = s.rev
	s.objects[kind][o.Meta.Name] = o
	s.publish(event{Object: o, kind: kind})
	return o
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/failover":
		s.serveFailover(w, r)
	case len(parts) < 2 || parts[0] != "objects":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && len(parts) == 2 && r.FormValue("watch") != "":
		s.watch(w, r, parts[1])
	case r.Method == http.MethodGet && len(parts) == 2:
		s.list(w, r, parts[1])
	case r.Method == http.MethodGet:
		s.get(w, parts[1], parts[2])
	default:
		s.change(w, r, parts)
	}
}

func (s *store) serveFailover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.called != nil {
		s.called(r.Header.Get("X-Duty-Holder"), body.ID)
	}
	switch {
	case s.busy != nil && s.busy():
		w.WriteHeader(http.StatusServiceUnavailable)
	case !s.failover(body.ID):
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	p := page{Items: []object{}, AtRev: s.rev}
	for name, o := range s.objects[kind] {
		if name > r.FormValue("after") {
			p.Items = append(p.Items, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Meta.Name < p.Items[j].Meta.Name })
	reply(w, http.StatusOK, p)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.FormValue("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := page{Items: []object{}, AtRev: s.rev}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Rev > from {
				p.Events = append(p.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Events) > 0 {
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

// change serves POST, PUT and DELETE, conditional on a revision if one is given.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if len(parts) > 2 {
		o.Meta.Name = parts[2]
	}
	if rev := r.FormValue("rev"); rev != "" {
		o.Meta.Rev, _ = strconv.ParseInt(rev, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[parts[1]][o.Meta.Name]
	switch {
	case r.Method == http.MethodPost && exists, exists && o.Meta.Rev != 0 && o.Meta.Rev != old.Meta.Rev:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.rev++
		delete(s.objects[parts[1]], o.Meta.Name)
		old.Meta.Rev = s.rev
		s.publish(event{Object: old, Deleted: true, kind: parts[1]})
		reply(w, http.StatusOK, old)
	case exists && string(old.Spec) == string(o.Spec):
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.set(parts[1], o))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
