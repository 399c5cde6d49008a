package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record logs the case and holds what consumers sent and servers ran.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	sent  map[string]bool // ids of the requests that consumers sent
	ran   []string        // ids of the requests that servers ran
	acked []string        // ids of the writes that consumers got a success for
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now(), sent: make(map[string]bool)}, nil
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

// recordSent records a request that a consumer sends.
func (r *record) recordSent(id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = true
	r.print("sent id %s: %s", id, text)
}

// recordRun records a request that a server runs.
func (r *record) recordRun(machine, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran = append(r.ran, id)
	r.print("ran id %s, which came from %s", id, machine)
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

// unasked returns the requests that ran although no consumer sent them.
func (r *record) unasked() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, id := range r.ran {
		if !r.sent[id] {
			out = append(out, fmt.Sprintf("UNASKED: a server ran id %s, and no consumer sent it", id))
		}
	}
	return out
}
