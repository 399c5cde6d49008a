// Package retry bounds how often and how soon a request is retried.
//
// Two types keep a failure from amplifying itself. A Budget per group limits
// retries to a small fraction of the requests, so that an outage cannot
// multiply the load on the remaining servers. A Backoff spreads the retries by seeded
// jitter, so that requests that failed together are not repeated together. Both
// are pure: time and randomness are passed in. Whether a request may be repeated
// at all is decided in package request.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// tokensPerRetry is the price of a retry. Tokens are fixed-point numbers, so that a
// request can earn a fraction of a retry.
const tokensPerRetry = 1000

// Config holds the parameters of a Budget. The zero value selects the defaults.
type Config struct {
	// Ratio is the ratio of retries to requests, below 1; default 0.08.
	Ratio float64
	// Burst is the maximum number of retries that can be saved up; default 10.
	Burst int
	// IdleInterval is the interval at which a retry is earned without any request, so
	// that a group with little traffic has retries as well; default 10 s.
	IdleInterval time.Duration
}

func (c Config) withDefaults() Config {
	if c.Ratio <= 0 {
		c.Ratio = 0.08
	}
	if c.Burst <= 0 {
		c.Burst = 10
	}
	if c.IdleInterval <= 0 {
		c.IdleInterval = 10 * time.Second
	}
	return c
}

// Budget is a token bucket that requests fill and retries drain. It is lock-free and
// safe for concurrent use.
//
// Failure guarded against: a retry storm, in which attempts increase while answers do
// not, until the target works only on requests that their callers have given up on.
// As each request earns Ratio of a retry, attempts stay below (1+Ratio) times the
// requests, plus Burst once and one for each IdleInterval.
type Budget struct {
	earn          int64
	limit         int64
	idleInterval  time.Duration
	tokens        atomic.Int64
	lastIdleToken atomic.Int64 // clock.Time at which the last retry was earned without a request
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget {
	c = c.withDefaults()
	b := &Budget{
		earn:         int64(c.Ratio * tokensPerRetry),
		limit:        int64(c.Burst) * tokensPerRetry,
		idleInterval: c.IdleInterval,
	}
	b.tokens.Store(b.limit)
	return b
}

// Request records a caller's request.
func (b *Budget) Request(now clock.Time) {
	b.add(b.earn)
	b.addIdle(now)
}

// TryRetry reports whether a request may be retried. If so, it spends the tokens.
func (b *Budget) TryRetry(now clock.Time) bool { return b.TryRetryAbove(now, 0) }

// TryRetryAbove is TryRetry for a retry that is less likely to succeed than others: it leaves them a
// reserve of that many retries.
func (b *Budget) TryRetryAbove(now clock.Time, reserve int) bool {
	b.addIdle(now)
	for {
		have := b.tokens.Load()
		if have < int64(reserve+1)*tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-tokensPerRetry) {
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
	last := b.lastIdleToken.Load()
	if now.Sub(clock.Time(last)) < b.idleInterval {
		return
	}
	if b.lastIdleToken.CompareAndSwap(last, int64(now)) {
		b.add(tokensPerRetry)
	}
}

// Backoff computes the delay before each attempt. The delay grows exponentially from
// Base to Max, and up to half of it is jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// maxShift keeps the doubled delay from overflowing a time.Duration.
const maxShift = 20

// Delay returns the delay before the given attempt; the first attempt is 1. It is
// uniformly distributed between half of the exponential step and all of it, so that
// it is never zero.
func (b Backoff) Delay(attempt int, rnd *rand.Rand) time.Duration {
	shift := min(max(attempt-1, 0), maxShift)
	step := min(b.Base<<shift, b.Max)
	if step <= 1 {
		return step
	}
	half := step / 2
	return half + time.Duration(rnd.Int64N(int64(step-half)+1))
}
