package admission

import "time"

const (
	// latencyGain is the weight of a new latency in the average.
	latencyGain = 0.1
	// baseRise lets the lowest average creep up, so that a target that has
	// become slower for good is not throttled for ever.
	baseRise = 0.001
	// tolerance is how far the average may be above its lowest value before the
	// limit falls. Statements differ: the average of ten exponential ones falls
	// to about half its mean now and then.
	tolerance = 2.5
	// shrink is the factor of a fall.
	shrink = 0.95
)

// Slots is a limit of requests at once that adapts to the latency they show.
//
// The target's slots are known but shared by the whole fleet, and this proxy
// cannot see what the others send. When they send much, latency rises here and
// the limit falls, to no less than one; when latency is near its lowest and the
// limit is used up, it grows again by one for each limit's worth of answers. It
// never passes the known slots: beyond them requests would wait in the target,
// in order of arrival, where worth and deadlines count for nothing.
type Slots struct {
	limit float64
	most  float64
	base  float64 // lowest value of mean, in nanoseconds
	mean  float64
}

func newSlots(known int) Slots {
	return Slots{limit: float64(known), most: float64(known)}
}

// Limit is the present number of requests at once, at least 1.
func (s *Slots) Limit() int { return int(s.limit) }

// observe takes the latency of a finished request; busy says that others wait.
func (s *Slots) observe(latency time.Duration, busy bool) {
	if latency <= 0 {
		return
	}
	x := float64(latency)
	if s.base == 0 {
		s.base, s.mean = x, x
		return
	}
	s.mean += latencyGain * (x - s.mean)
	s.base = min(s.mean, s.base*(1+baseRise))
	switch {
	case s.mean > tolerance*s.base:
		s.limit = max(1, s.limit*shrink)
	case busy:
		s.limit = min(s.most, s.limit+1/s.limit)
	}
}
