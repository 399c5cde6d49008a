package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines limits the lines waiting to be written.
	queuedLines = 512
	// linesPerSecond limits the volume, so that an outage does not spend the VM's processor time on
	// log lines that nobody reads.
	linesPerSecond = 200
)

// BoundedWriter is a writer that never blocks its caller. Lines beyond its limits are dropped and
// counted, and the count is written once there is room again.
type BoundedWriter struct {
	out        io.Writer
	lines      chan []byte
	suppressed atomic.Int64
	done       chan struct{}

	// mu is read-locked while a line is queued, and locked to close the queue.
	mu     sync.RWMutex
	closed bool
}

// NewBoundedWriter returns a BoundedWriter in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a copy of the line, or counts it as suppressed. A line written after Close is
// dropped, because goroutines may still be ending then.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.suppressed.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	<-b.done
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	window, written := time.Now(), 0
	for line := range b.lines {
		if time.Since(window) >= time.Second {
			window, written = time.Now(), 0
			b.reportSuppressed()
		}
		if written++; written > linesPerSecond {
			b.suppressed.Add(1)
			continue
		}
		// An error of the log itself cannot be reported anywhere else.
		_, _ = b.out.Write(line)
	}
	b.reportSuppressed()
}

func (b *BoundedWriter) reportSuppressed() {
	if n := b.suppressed.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(b.out, "level=warn event=lines-suppressed count=%d\n", n)
	}
}
