package ack

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replicas lag by 20 ms. A write must be confirmed soon after that, without hundreds of status
// queries to the replicas for each write.
func TestPaceQueriesAroundTheExpectedLag(t *testing.T) {
	var p Pace
	p.RecordLag(20 * time.Millisecond)
	waited, queries := time.Duration(0), 0
	for waited < 20*time.Millisecond {
		waited += p.Next(waited)
		queries++
	}
	require.Less(t, waited, 23*time.Millisecond)
	require.LessOrEqual(t, queries, 11)
}

// A replica falls 30 s behind. The writes that wait for it must not flood the control connection
// with status queries.
func TestPaceSlowsDownWhenReplicasAreFarBehind(t *testing.T) {
	var p Pace
	p.RecordLag(20 * time.Millisecond)
	waited, queries := time.Duration(0), 0
	for waited < 30*time.Second {
		waited += p.Next(waited)
		queries++
	}
	require.Less(t, queries, 800)
}

// Failure guarded against: a write waits one second through a failover, and the replicas lag by 20
// ms again afterwards. For seconds, replicas are queried for each later write only after 200 ms,
// because these late queries keep the expected lag high.
func TestPaceForgetsAFailoverWithinAFewWrites(t *testing.T) {
	var p Pace
	p.RecordLag(20 * time.Millisecond)
	for range 4 {
		p.RecordLag(time.Second)
	}
	const lag = 20 * time.Millisecond
	for range 12 {
		p.RecordLag(confirmedAfter(&p, lag))
	}
	require.Less(t, confirmedAfter(&p, lag), 30*time.Millisecond)
}

// confirmedAfter returns the time of the first query that finds the write on a replica with the
// given lag.
func confirmedAfter(p *Pace, lag time.Duration) time.Duration {
	waited := time.Duration(0)
	for waited < lag {
		waited += p.Next(waited)
	}
	return waited
}
