package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck blocks its writer, as a full pipe does.
type stuck struct {
	open chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.open
	return s.Buffer.Write(b)
}

// Whoever reads the log has stopped reading. Requests go on, and what was not
// written is counted.
func TestLogNeverBlocks(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	b := NewBounded(out)
	for range 3 * queuedLines {
		_, err := b.Write([]byte("event=x\n"))
		require.NoError(t, err)
	}
	close(out.open)
	b.Close()
	require.Contains(t, out.String(), "event=lines-suppressed")
	require.LessOrEqual(t, strings.Count(out.String(), "event=x"), linesPerSecond)
}

// Guards against a process that ends by a panic, as a goroutine logs while the log is closed.
func TestLinesAfterTheLogIsClosedAreDropped(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out)
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
