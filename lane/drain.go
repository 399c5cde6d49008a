package lane

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// drainWeight is that of a new interval in the moving average: about the last
	// sixteen count, a quarter of a second at full load.
	drainWeight = 1.0 / 16
	// drainSamples is how many intervals must have been seen before requests are
	// refused by their average.
	drainSamples = 16
	// drainForget is the gap after which the average is begun anew.
	drainForget = time.Second
)

// drain measures how fast a queue is worked off: the interval between two
// requests that got a connection while others waited.
type drain struct {
	last    clock.Time
	every   time.Duration
	samples int
}

// served records that a request got a connection; more is set if others wait.
func (d *drain) served(now clock.Time, more bool) {
	gap := now.Sub(d.last)
	if d.last != 0 && gap < drainForget {
		d.every += time.Duration(drainWeight * float64(gap-d.every))
		d.samples++
	}
	d.last = 0
	if more {
		d.last = now
	}
}

// takesWeight is that of a new duration in the moving average of how long
// statements take.
const takesWeight = 1.0 / 16

// took records how long a statement had its connection.
func (q *queue) took(d time.Duration) {
	q.takes += time.Duration(takesWeight * float64(d-q.takes))
}

// after is how long it takes until so many requests are served; 0 if that is not
// known.
func (d *drain) after(requests int) time.Duration {
	if d.samples < drainSamples {
		return 0
	}
	return time.Duration(requests) * d.every
}
