package ack

import (
	"sync/atomic"
	"time"
)

const (
	// paceShare is the part of the expected lag after which replicas are asked
	// in short steps; most writes are not confirmed before.
	paceShare = 0.75
	// paceSteps is how many asks fit into one expected lag from then on.
	paceSteps = 16
	// riseWeight and fallWeight are the weights of the newest lag in the mean: a
	// single long wait counts for little, and what has passed is soon forgotten.
	riseWeight = 0.2
	fallWeight = 0.5
	minPace    = time.Millisecond
	maxPace    = 50 * time.Millisecond
)

// Pace tells a driver when to ask the replicas again for a write that waits,
// from the lag that earlier writes of the group saw. Asking at a fixed interval
// costs either latency or load: with 20 ms of lag a doubling pause asked at 15
// and 31 ms. It is safe for concurrent use.
type Pace struct {
	lag atomic.Int64
}

// Saw takes the time from a commit to its confirmation.
func (p *Pace) Saw(lag time.Duration) {
	old := p.lag.Load()
	if old == 0 {
		p.lag.Store(int64(lag))
		return
	}
	weight := riseWeight
	if int64(lag) < old {
		weight = fallWeight
	}
	p.lag.Store(old + int64(weight*float64(int64(lag)-old)))
}

// Next returns how long to wait before asking again, for a write that has
// waited for so long already.
//
// Failure guarded against: one write waits through a failover, the mean jumps to
// a quarter of a second, and every later write is asked for only then, so it
// seems to have lagged that long and the mean stays up (seen on processes:
// 200 ms writes for seconds after each promotion). Before the expected lag the
// asks therefore double from one millisecond on, and a lag that has fallen is
// seen at once.
func (p *Pace) Next(waited time.Duration) time.Duration {
	lag := time.Duration(p.lag.Load())
	early := time.Duration(paceShare * float64(lag))
	if waited < early {
		return max(min(waited, early-waited), minPace)
	}
	// Beyond the expected lag the pause grows with the wait, so that a replica
	// that is far behind is not asked a thousand times.
	return min(max(lag/paceSteps, (waited-lag)/paceSteps, minPace), maxPace)
}
