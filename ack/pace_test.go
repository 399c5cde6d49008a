package ack

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replicas lag by 20 ms. A purchase must be confirmed soon after that, without
// hundreds of questions to the replicas for each write.
func TestPaceAsksAroundTheExpectedLag(t *testing.T) {
	var p Pace
	p.Saw(20 * time.Millisecond)
	waited, asks := time.Duration(0), 0
	for waited < 20*time.Millisecond {
		waited += p.Next(waited)
		asks++
	}
	require.Less(t, waited, 23*time.Millisecond)
	require.LessOrEqual(t, asks, 6)
}

// A replica falls 30 s behind. Its writes wait, but must not flood the control
// connection meanwhile.
func TestPaceSlowsDownWhenReplicasAreFarBehind(t *testing.T) {
	var p Pace
	p.Saw(20 * time.Millisecond)
	waited, asks := time.Duration(0), 0
	for waited < 30*time.Second {
		waited += p.Next(waited)
		asks++
	}
	require.Less(t, asks, 800)
}
