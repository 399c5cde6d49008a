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
	require.LessOrEqual(t, asks, 11)
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

// One purchase waits a second through a failover; replicas lag by 20 ms again
// afterwards. The purchases behind it were asked for after 200 ms each, for
// seconds, because their own late asks kept the expected lag up.
func TestPaceForgetsAFailoverWithinAFewWrites(t *testing.T) {
	var p Pace
	p.Saw(20 * time.Millisecond)
	for range 4 {
		p.Saw(time.Second)
	}
	const lag = 20 * time.Millisecond
	for range 12 {
		p.Saw(confirmedAfter(&p, lag))
	}
	require.Less(t, confirmedAfter(&p, lag), 30*time.Millisecond)
}

// confirmedAfter returns when an ask first finds a replica that lags so long.
func confirmedAfter(p *Pace, lag time.Duration) time.Duration {
	waited := time.Duration(0)
	for waited < lag {
		waited += p.Next(waited)
	}
	return waited
}
