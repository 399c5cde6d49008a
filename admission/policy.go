package admission

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/profile"
)

// Lane is what a Policy sees of the waiting requests of one kind. It has at
// least one.
type Lane struct {
	Kind *profile.Kind
	// Len is the number of waiting requests.
	Len int
	// HeadArrived and HeadDeadline belong to the request that waits longest.
	HeadArrived  clock.Time
	HeadDeadline clock.Time
}

// Wait is how long the lane's first request has waited.
func (l *Lane) Wait(now clock.Time) time.Duration { return now.Sub(l.HeadArrived) }

// Policy chooses the lane that gets the next free slot: the one with the
// highest score; between equals the one whose first request came earlier.
type Policy interface {
	// Name is the policy's name in settings and tables.
	Name() string
	// Score rates a lane at now.
	Score(l *Lane, now clock.Time) float64
}

// minWorth keeps a kind that is worth nothing from waiting for ever.
const minWorth = 0.01

// DelayRatio is the head-of-line delay ratio policy. A kind of twice the worth
// waits half as long, at any mix of arrivals, and none starves: a score grows
// with the wait without bound.
type DelayRatio struct{}

// Name implements Policy.
func (DelayRatio) Name() string { return "delay-ratio" }

// Score implements Policy.
func (DelayRatio) Score(l *Lane, now clock.Time) float64 {
	return float64(l.Wait(now)) * max(l.Kind.Worth, minWorth)
}
