package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record logs the case and holds what consumers sent and servers ran.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	sent  map[string]string // text of each message, by request id
	ran   []statement
	acked []string // ids of writes that consumers got a success for
}

// statement is a statement that a server ran.
type statement struct{ server, id, text string }

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now(), sent: make(map[string]string)}, nil
}

func (r *record) close() { _ = r.file.Close() }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

func (r *record) print(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// recordSent records a query that a consumer has sent completely.
func (r *record) recordSent(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, text, _ := strings.Cut(strings.TrimPrefix(message, "QUERY "), " ")
	r.sent[id] = text
}

// recordAcknowledged records a write that a consumer got a success for.
func (r *record) recordAcknowledged(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, id)
}

func (r *record) acknowledged() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.acked)
}

// recordRun records a statement that a server runs. Statements of the system itself have the id "-".
func (r *record) recordRun(server, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "-" {
		return
	}
	r.ran = append(r.ran, statement{server, id, text})
	r.print("%s runs id %q, text %q", server, id, text)
}

// unasked returns the statements that ran although no consumer sent them so.
func (r *record) unasked() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, s := range r.ran {
		text, known := r.sent[s.id]
		switch {
		case !known:
			out = append(out, fmt.Sprintf("UNASKED: %s ran id %q, text %q: no consumer sent this id", s.server, s.id, s.text))
		case text != s.text:
			out = append(out, fmt.Sprintf("UNASKED: %s ran id %q, text %q: the consumer sent text %q", s.server, s.id, s.text, text))
		}
	}
	return out
}
