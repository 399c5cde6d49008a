package admission

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// drainGain is the weight of a new interval in the moving average.
	drainGain = 0.1
	// defaultRetry is the retry-after time before the drain rate is measured.
	defaultRetry = 250 * time.Millisecond
	minRetry     = 20 * time.Millisecond
	maxRetry     = 30 * time.Second
	// retryJitter is the largest random addition, as a fraction of the retry-after time. It spreads
	// the retries of requests that are refused at the same time.
	retryJitter = 0.5
)

// drainRate measures the average time between two finished requests while others wait.
type drainRate struct {
	last     clock.Time
	running  bool
	interval float64 // nanoseconds; 0 if not measured
}

// start begins an interval after the target was idle.
func (d *drainRate) start(now clock.Time) {
	d.last = now
	d.running = true
}

// done ends an interval and begins the next. Intervals count only while requests wait; otherwise they
// would measure the arrival rate instead of the target's service rate.
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

// wait returns the expected time until n requests have finished, and false if it is not measured.
func (d *drainRate) wait(n int) (time.Duration, bool) {
	if d.interval == 0 {
		return 0, false
	}
	return time.Duration(d.interval * float64(n)), true
}

// retryAfter returns the expected time to drain n requests, bounded and with jitter.
func (d *drainRate) retryAfter(n int, rnd *rand.Rand) time.Duration {
	t, known := d.wait(n)
	if !known {
		t = defaultRetry
	}
	t = min(max(t, minRetry), maxRetry)
	return t + time.Duration(rnd.Float64()*retryJitter*float64(t))
}
