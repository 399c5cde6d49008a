package pool

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Delayer returns the delay after the n-th consecutive failure, with n counted from 1.
type Delayer interface {
	Delay(n int, rnd *rand.Rand) time.Duration
}

// Share returns the number of connections to one server that this proxy may open: its share of the
// server's limit, less those that it reserves for control. The result is at least 1, so that a
// proxy that assumes a larger fleet than there is still serves requests; the server's own limit may
// then refuse a connection, and the pool backs off.
func Share(limit, fleet, control int) int {
	return max(1, limit/max(1, fleet)-control)
}

// quota decides whether another connection to a server may be opened. It is pure.
type quota struct {
	// open counts connections that are in use, idle or in reset.
	open int
	// opening counts the attempts in progress.
	opening int
	// failures counts the failed attempts since the last success.
	failures int
	// notBefore is the earliest time of the next attempt.
	notBefore clock.Time
}

// mayOpen reports whether an attempt may start now.
func (q *quota) mayOpen(now clock.Time, share, maxOpening int) bool {
	return !now.Before(q.notBefore) &&
		q.opening < maxOpening &&
		q.open+q.opening < share
}

// backoffLeft returns the rest of the server's backoff, zero if it has none.
func (q *quota) backoffLeft(now clock.Time) time.Duration {
	return max(0, q.notBefore.Sub(now))
}

func (q *quota) started() { q.opening++ }

func (q *quota) succeeded() {
	q.opening--
	q.open++
	q.failures = 0
}

func (q *quota) failed(now clock.Time, d Delayer, rnd *rand.Rand) {
	q.opening--
	q.failures++
	q.notBefore = now.Add(d.Delay(q.failures, rnd))
}

func (q *quota) closed() { q.open-- }

// noneOpen reports whether no connection is open or being opened, so that there is none to wait
// for.
func (q *quota) noneOpen() bool { return q.open+q.opening == 0 }
