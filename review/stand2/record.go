package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes to record.txt what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

// line writes one line, which begins with the milliseconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.1f ", float64(time.Since(r.begun).Microseconds())/1000)
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}
