package load

import (
	"time"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/clock"
)

// Policies returns the compared policies, the product's last.
func Policies() []admission.Policy {
	return []admission.Policy{
		fifo{}, strictPriority{}, queueRatio{}, earliestDeadline{},
		admission.DelayRatio{},
	}
}

// fifo selects the request that arrived first, whatever its kind.
type fifo struct{}

func (fifo) Name() string { return "fifo" }

func (fifo) Score(l *admission.Lane, now clock.Time) float64 { return float64(l.Wait(now)) }

// strictPriority selects the kind with the highest worth.
type strictPriority struct{}

func (strictPriority) Name() string { return "strict-priority" }

func (strictPriority) Score(l *admission.Lane, _ clock.Time) float64 { return l.Kind.Worth }

// queueRatio keeps the queue lengths of the kinds at fixed ratios, the inverse of their worths
// (fixed queue ratio, FQR).
type queueRatio struct{}

func (queueRatio) Name() string { return "queue-ratio" }

func (queueRatio) Score(l *admission.Lane, _ clock.Time) float64 {
	return float64(l.Len) * l.Kind.Worth
}

// earliestDeadline selects the request with the earliest deadline.
type earliestDeadline struct{}

func (earliestDeadline) Name() string { return "earliest-deadline" }

func (earliestDeadline) Score(l *admission.Lane, now clock.Time) float64 {
	return -float64(l.HeadDeadline.Sub(now)) / float64(time.Second)
}
