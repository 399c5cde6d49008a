package admission

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// drainGain is the weight of a new interval in the moving average.
	drainGain = 0.1
	// defaultRetry is the time to come back while nothing is measured.
	defaultRetry = 250 * time.Millisecond
	minRetry     = 20 * time.Millisecond
	maxRetry     = 30 * time.Second
	// retryJitter is the random part added, as a share of the time: requests
	// refused together do not come back together.
	retryJitter = 0.5
)

// drainRate measures the time between two finished requests while others wait.
type drainRate struct {
	last     clock.Time
	running  bool
	interval float64 // nanoseconds; 0 means "not measured"
}

// start begins an interval after the target was idle.
func (d *drainRate) start(now clock.Time) {
	d.last = now
	d.running = true
}

// done ends an interval. It is measured only while requests wait: otherwise it
// shows how often requests come, not how fast they could go.
func (d *drainRate) done(now clock.Time, busy bool) {
	took := now.Sub(d.last)
	d.last = now
	if !busy || !d.running || took < 0 {
		return
	}
	if d.interval == 0 {
		d.interval = float64(took)
		return
	}
	d.interval += drainGain * (float64(took) - d.interval)
}

// wait is the expected time until n requests have finished.
func (d *drainRate) wait(n int) (time.Duration, bool) {
	if d.interval == 0 {
		return 0, false
	}
	return time.Duration(d.interval * float64(n)), true
}

// retryAfter is the time to drain n requests, bounded and with jitter.
func (d *drainRate) retryAfter(n int, rnd *rand.Rand) time.Duration {
	t, known := d.wait(n)
	if !known {
		t = defaultRetry
	}
	t = min(max(t, minRetry), maxRetry)
	return t + time.Duration(rnd.Float64()*retryJitter*float64(t))
}
