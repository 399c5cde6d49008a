package ack

import (
	"sync/atomic"
	"time"
)

const (
	// closePollShare is the fraction of the expected lag after which replicas are queried at short
	// intervals; most writes are not confirmed earlier.
	closePollShare = 0.75
	// pollsPerLag is the number of queries per expected lag from then on.
	pollsPerLag = 16
	// riseWeight and fallWeight are the weights of the newest lag in the moving average: a single
	// long wait raises it little, and it falls quickly after the lag has fallen.
	riseWeight      = 0.2
	fallWeight      = 0.5
	minPollInterval = time.Millisecond
	maxPollInterval = 50 * time.Millisecond
)

// Pace schedules a driver's status queries to the replicas for a waiting write, by the lag that
// earlier writes of the group had. A schedule that ignores the lag costs either latency or load:
// with a lag of 20 ms, a doubling interval queries at 15 ms and 31 ms. Pace is safe for concurrent
// use.
type Pace struct {
	lag atomic.Int64
}

// RecordLag records the time from a commit to its confirmation.
func (p *Pace) RecordLag(lag time.Duration) {
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

// Next returns the interval until the next query for a write that has already waited for the given
// time.
//
// Failure guarded against: one write waits through a failover and the average jumps to 250 ms.
// Replicas are then queried that late for every later write, so each write appears to have lagged
// that long and the average stays high: writes take 200 ms for seconds after each promotion. Before
// the expected lag the intervals therefore double, starting at 1 ms, so that a lag that has fallen
// is detected immediately.
func (p *Pace) Next(waited time.Duration) time.Duration {
	lag := time.Duration(p.lag.Load())
	early := time.Duration(closePollShare * float64(lag))
	if waited < early {
		return max(min(waited, early-waited), minPollInterval)
	}
	// Beyond the expected lag the interval grows with the wait, so that a replica that is far
	// behind does not receive a thousand queries.
	return min(max(lag/pollsPerLag, (waited-lag)/pollsPerLag, minPollInterval), maxPollInterval)
}
