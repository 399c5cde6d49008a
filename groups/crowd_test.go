package groups

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

// Reads come late again and again for a while. One that comes late by chance, long
// after, is the beginning of another time.
func TestCrowdLastsWhileReadsComeLate(t *testing.T) {
	var c Crowd
	start := clock.Time(time.Hour)
	require.Zero(t, c.For(start))
	for i := range 5 {
		c.Late(start.Add(time.Duration(i) * crowdGap))
	}
	end := start.Add(4 * crowdGap)
	require.Equal(t, 4*crowdGap, c.For(end))
	require.Equal(t, 5*crowdGap, c.For(end.Add(crowdGap)))
	require.Zero(t, c.For(end.Add(crowdGap+1)))
	c.Late(end.Add(2 * crowdGap))
	require.Zero(t, c.For(end.Add(2*crowdGap)))
}
