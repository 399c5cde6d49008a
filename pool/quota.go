package pool

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Delayer gives the wait after the n-th failure in a row, n counted from 1.
type Delayer interface {
	Delay(n int, rnd *rand.Rand) time.Duration
}

// Share returns how many connections to one server this proxy may hold: its
// part of the server's limit, less those it keeps for control. It is at least
// 1, so that a proxy that believes in a larger fleet than there is still
// serves; the server's own limit then refuses, and the pool backs off.
func Share(limit, fleet, control int) int {
	return max(1, limit/max(1, fleet)-control)
}

// quota decides if one more connection to a server may be opened. It is pure.
type quota struct {
	// open counts connections in use, idle or in reset.
	open int
	// opening counts attempts under way.
	opening int
	// failures counts failed attempts since the last success.
	failures int
	// notBefore is when the next attempt may be made.
	notBefore clock.Time
}

// mayOpen reports whether an attempt may start now.
func (q *quota) mayOpen(now clock.Time, share, maxOpening int) bool {
	return !now.Before(q.notBefore) &&
		q.opening < maxOpening &&
		q.open+q.opening < share
}

// resting returns how long the server is left alone, zero if it is not.
func (q *quota) resting(now clock.Time) time.Duration {
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

// hopeless reports whether a waiter has nothing to wait for.
func (q *quota) hopeless() bool { return q.open+q.opening == 0 }
