package admission

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/profile"
)

// Lane describes the waiting requests of one kind to a Policy. There is at least one.
type Lane struct {
	Kind *profile.Kind
	// Len is the number of waiting requests.
	Len int
	// HeadArrived and HeadDeadline belong to the request that has waited longest.
	HeadArrived  clock.Time
	HeadDeadline clock.Time
}

// Wait returns how long the lane's first request has waited.
func (l *Lane) Wait(now clock.Time) time.Duration { return now.Sub(l.HeadArrived) }

// Policy chooses the lane that gets the next free slot: the one with the highest score and, among
// equal scores, the one whose first request arrived earliest.
type Policy interface {
	// Name returns the policy's name in settings and tables.
	Name() string
	// Score returns the score of a lane at now.
	Score(l *Lane, now clock.Time) float64
}

// minWorth is the least worth used in scores. It prevents starvation of a kind whose worth is 0.
const minWorth = 0.01

// DelayRatio is the head-of-line delay ratio policy. A kind of twice the worth waits half as long, at
// any mix of arrivals. No kind starves, because its score grows with its wait without bound.
type DelayRatio struct{}

// Name implements Policy.
func (DelayRatio) Name() string { return "delay-ratio" }

// Score implements Policy.
func (DelayRatio) Score(l *Lane, now clock.Time) float64 {
	return float64(l.Wait(now)) * max(l.Kind.Worth, minWorth)
}
