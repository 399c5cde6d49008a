package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 512
	// linesPerSecond bounds the volume: an outage must not cost the VM's
	// processor in lines that nobody reads.
	linesPerSecond = 200
)

// Bounded is a writer that never blocks its caller: lines beyond its bounds are
// counted instead, and the count is written once there is room again.
type Bounded struct {
	out        io.Writer
	lines      chan []byte
	suppressed atomic.Int64
	done       chan struct{}

	// mu is held for reading while a line is handed over.
	mu     sync.RWMutex
	closed bool
}

// NewBounded returns a Bounded writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes over a copy of the line, or counts it as suppressed. A line that comes after
// Close is dropped: goroutines may still end then.
func (b *Bounded) Write(line []byte) (int, error) {
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

// Close writes what waits.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	<-b.done
}

func (b *Bounded) run() {
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
		// A log that cannot be written has no other place to say so.
		_, _ = b.out.Write(line)
	}
	b.reportSuppressed()
}

func (b *Bounded) reportSuppressed() {
	if n := b.suppressed.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(b.out, "level=warn event=lines-suppressed count=%d\n", n)
	}
}
