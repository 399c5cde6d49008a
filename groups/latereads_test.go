package groups

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

// Reads are late repeatedly for some time. A single late read long after that begins a new run.
func TestLateReadsDuration(t *testing.T) {
	var c LateReads
	start := clock.Time(time.Hour)
	require.Zero(t, c.Duration(start))
	for i := range 5 {
		c.Record(start.Add(time.Duration(i) * lateReadGap))
	}
	end := start.Add(4 * lateReadGap)
	require.Equal(t, 4*lateReadGap, c.Duration(end))
	require.Equal(t, 5*lateReadGap, c.Duration(end.Add(lateReadGap)))
	require.Zero(t, c.Duration(end.Add(lateReadGap+1)))
	c.Record(end.Add(2 * lateReadGap))
	require.Zero(t, c.Duration(end.Add(2*lateReadGap)))
}
