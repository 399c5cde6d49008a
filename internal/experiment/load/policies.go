package load

import (
	"time"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/clock"
)

// The policies that the product's was weighed against.

// Policies returns all that are compared.
func Policies() []admission.Policy {
	return []admission.Policy{
		fifo{}, strictPriority{}, queueRatio{}, earliestDeadline{},
		admission.DelayRatio{},
	}
}

// fifo takes the request that came first, of whatever kind.
type fifo struct{}

func (fifo) Name() string { return "fifo" }

func (fifo) Score(l *admission.Lane, now clock.Time) float64 { return float64(l.Wait(now)) }

// strictPriority takes the kind of the highest worth.
type strictPriority struct{}

func (strictPriority) Name() string { return "strict-priority" }

func (strictPriority) Score(l *admission.Lane, _ clock.Time) float64 { return l.Kind.Worth }

// queueRatio keeps the lengths of the queues at fixed ratios, the inverse of
// the worths (FQR).
type queueRatio struct{}

func (queueRatio) Name() string { return "queue-ratio" }

func (queueRatio) Score(l *admission.Lane, _ clock.Time) float64 {
	return float64(l.Len) * l.Kind.Worth
}

// earliestDeadline takes the request whose deadline is nearest.
type earliestDeadline struct{}

func (earliestDeadline) Name() string { return "earliest-deadline" }

func (earliestDeadline) Score(l *admission.Lane, now clock.Time) float64 {
	return -float64(l.HeadDeadline.Sub(now)) / float64(time.Second)
}
