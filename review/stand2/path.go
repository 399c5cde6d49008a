package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
)

// path is one machine's path to the store, whose open connections may go silent.
type path struct {
	addr  string
	store http.Handler

	mu sync.Mutex
	// waiting are the watches of servers that wait on their connections; true once that is silent.
	waiting map[*http.Request]bool
}

func (d *deployment) openPath() (*path, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{addr: ln.Addr().String(), store: d.world.Store, waiting: make(map[*http.Request]bool)}
	go func() { _ = http.Serve(ln, p) }()
	return p, nil
}

// silence makes the open connections on which watches of servers wait go silent for good. New ones work.
// It returns their number.
func (p *path) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.waiting {
		p.waiting[r] = true
	}
	return len(p.waiting)
}

func (p *path) isSilent(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[r]
}

// ServeHTTP implements http.Handler.
func (p *path) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/objects/servers") && r.URL.Query().Has("watch") {
		p.mu.Lock()
		p.waiting[r] = false
		p.mu.Unlock()
		defer func() {
			p.mu.Lock()
			delete(p.waiting, r)
			p.mu.Unlock()
		}()
	}
	p.store.ServeHTTP(&response{ResponseWriter: w, path: p, request: r}, r)
}

// response is a response with the headers that the pages describe. On a silent connection it is not
// sent.
type response struct {
	http.ResponseWriter
	path    *path
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.path.isSilent(w.request) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}
