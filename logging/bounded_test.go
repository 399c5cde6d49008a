package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks its caller until open is closed, like a full pipe.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(b)
}

// Failure guarded against: the reader of the log stops reading, and requests block on log writes.
// Requests must proceed, and dropped lines must be counted.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	b := NewBoundedWriter(out)
	for range 3 * queuedLines {
		_, err := b.Write([]byte("event=x\n"))
		require.NoError(t, err)
	}
	close(out.open)
	b.Close()
	require.Contains(t, out.String(), "event=lines-suppressed")
	require.LessOrEqual(t, strings.Count(out.String(), "event=x"), linesPerSecond)
}

// Failure guarded against: a goroutine logs while the log is being closed, and the process panics
// with a send on a closed channel.
func TestLinesAfterTheLogIsClosedAreDropped(t *testing.T) {
	var out bytes.Buffer
	b := NewBoundedWriter(&out)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 200 {
				_, err := b.Write([]byte("line\n"))
				require.NoError(t, err)
			}
		})
	}
	b.Close()
	writers.Wait()
	n, err := b.Write([]byte("late\n"))
	require.NoError(t, err)
	require.Equal(t, 5, n)
	require.NotContains(t, out.String(), "late")
}
