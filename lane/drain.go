package lane

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// drainWeight is the weight of a new interval in the moving average, which thus covers about
	// the last sixteen: a quarter of a second at full load.
	drainWeight = 1.0 / 16
	// drainSamples is the number of intervals to measure before requests are refused by their
	// average.
	drainSamples = 16
	// maxDrainInterval is the length from which an interval is left out of the average.
	maxDrainInterval = time.Second
)

// drain measures how fast a queue drains: the average interval between two requests that get a
// connection while others wait.
type drain struct {
	last     clock.Time
	interval time.Duration
	samples  int
}

// recordServed records that a request got a connection. More is set if others still wait.
func (d *drain) recordServed(now clock.Time, more bool) {
	gap := now.Sub(d.last)
	if d.last != 0 && gap < maxDrainInterval {
		d.interval += time.Duration(drainWeight * float64(gap-d.interval))
		d.samples++
	}
	d.last = 0
	if more {
		d.last = now
	}
}

// after returns the estimated time until the given number of requests is served; 0 if not known.
func (d *drain) after(requests int) time.Duration {
	if d.samples < drainSamples {
		return 0
	}
	return time.Duration(requests) * d.interval
}
