package groups

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A network partition leaves a VM with a primary that confirms nothing. Requests wait at first, as
// they do during a change of primary. Then they are refused at once except for a periodic probe,
// and as soon as one is served all are tried again.
func TestBreakerOpensAfterAWhileAndLetsAProbeThrough(t *testing.T) {
	var b Breaker
	require.True(t, b.Admits(ms(0)))
	b.Failed(ms(0))
	b.Failed(ms(500))
	require.True(t, b.Admits(ms(699)))
	require.True(t, b.Admits(ms(700)), "the probe")
	require.False(t, b.Admits(ms(701)))
	require.False(t, b.Admits(ms(899)))
	require.True(t, b.Admits(ms(900)), "the next probe")
	b.Failed(ms(1900))
	require.True(t, b.Admits(ms(1901)))
	require.False(t, b.Admits(ms(1902)))
	b.Served()
	require.True(t, b.Admits(ms(1903)))
	require.True(t, b.Admits(ms(1904)))
}

// A service with few requests has one unanswered request. Much later requests must not be refused
// for it.
func TestOneFailureLongAgoOpensNothing(t *testing.T) {
	var b Breaker
	b.Failed(ms(0))
	for i := range 5 {
		require.True(t, b.Admits(ms(10_000+i)))
	}
	b.Failed(ms(10_010))
	require.True(t, b.Admits(ms(10_020)))
	require.True(t, b.Admits(ms(10_030)))
}
