// Package retry bounds how often a request is tried again.
//
// Two rules keep a failure from feeding on itself. A Budget per group lets
// retries be only a small share of the requests, so that an outage cannot
// multiply the load on what is left. A Backoff spreads the remaining ones by
// seeded jitter, so that requests that failed together do not come back
// together. Both are pure: time and randomness are passed in.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// unit is one retry, in the budget's fixed-point tokens.
const unit = 1000

// Config sets a Budget. The zero value takes the defaults.
type Config struct {
	// Ratio is the share of retries among requests, below 1; default 0.08.
	Ratio float64
	// Burst is how many retries may be saved up; default 10.
	Burst int
	// Idle is how often a retry is earned without any request, so that a group
	// with little traffic is not left without; default 10 s.
	Idle time.Duration
}

func (c Config) withDefaults() Config {
	if c.Ratio <= 0 {
		c.Ratio = 0.08
	}
	if c.Burst <= 0 {
		c.Burst = 10
	}
	if c.Idle <= 0 {
		c.Idle = 10 * time.Second
	}
	return c
}

// Budget is a token bucket that requests fill and retries drain. It is safe
// for concurrent use and takes no lock.
//
// Failure guarded against: a retry storm. It shows as attempts growing while
// answers do not, until the target does nothing but work that its callers have
// given up on. With each request earning Ratio of a retry, attempts stay below
// (1+Ratio) times the requests, plus Burst once and one for each Idle.
type Budget struct {
	earn   int64
	limit  int64
	idle   time.Duration
	tokens atomic.Int64
	gift   atomic.Int64 // clock.Time of the last retry earned by idling
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget {
	c = c.withDefaults()
	b := &Budget{
		earn:  int64(c.Ratio * unit),
		limit: int64(c.Burst) * unit,
		idle:  c.Idle,
	}
	b.tokens.Store(b.limit)
	return b
}

// Request records a caller's request.
func (b *Budget) Request(now clock.Time) {
	b.add(b.earn)
	b.addIdle(now)
}

// TryRetry reports whether a request may be tried again, and spends the token.
func (b *Budget) TryRetry(now clock.Time) bool {
	b.addIdle(now)
	for {
		have := b.tokens.Load()
		if have < unit {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-unit) {
			return true
		}
	}
}

func (b *Budget) add(n int64) {
	for {
		have := b.tokens.Load()
		next := min(have+n, b.limit)
		if next == have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}

func (b *Budget) addIdle(now clock.Time) {
	last := b.gift.Load()
	if now.Sub(clock.Time(last)) < b.idle {
		return
	}
	if b.gift.CompareAndSwap(last, int64(now)) {
		b.add(unit)
	}
}

// Backoff gives the delay before each attempt: exponential growth from Base to
// Max, with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// maxShift keeps the doubling within a duration.
const maxShift = 20

// Delay returns the wait before the given attempt, counted from 1: uniform
// between half and all of the exponential step, so that it is never zero.
func (b Backoff) Delay(attempt int, rnd *rand.Rand) time.Duration {
	shift := min(max(attempt-1, 0), maxShift)
	step := min(b.Base<<shift, b.Max)
	if step <= 1 {
		return step
	}
	half := step / 2
	return half + time.Duration(rnd.Int64N(int64(step-half)+1))
}
