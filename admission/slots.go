package admission

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/profile"
)

const (
	// kindGain is the weight of a new latency in a kind's average.
	kindGain = 0.05
	// kindWarmUp is the number of latencies after which a kind's average is used as its baseline.
	kindWarmUp = 40
	// loadGain is the weight of a new latency ratio in the load.
	loadGain = 0.05
	// baselineRise is the relative increase of a kind's baseline with each latency, so that a target
	// that has become permanently slower is not throttled forever.
	baselineRise = 0.0005
	// maxLoad is the load above which the limit is reduced. The average of forty exponentially
	// distributed latencies occasionally falls to about 0.7 of its mean, so that an idle target
	// shows a load of about 1.4.
	maxLoad = 3
	// shrinkFactor is the factor by which the limit is reduced.
	shrinkFactor = 0.97
	// maxKinds bounds the number of kinds with latency state. When it is exceeded, the state of all
	// kinds is cleared, including that of retired ones.
	maxKinds = 64
)

// Slots is a concurrency limit that adapts to the latency of requests.
//
// The number of the target's slots is known, but the whole fleet shares them and this proxy cannot
// see the load of the others. If that load is high, requests take longer than the baseline of their
// kind, and the limit shrinks, to no less than one. Otherwise, while requests wait, the limit grows
// by one for each limit's worth of answers. It never exceeds the known slots, because further
// requests would wait inside the target in order of arrival, without regard to worth and deadlines.
// It never falls below this proxy's share of the slots among the live VMs, because latency is an
// unreliable signal and an error must not leave slots idle that no other VM uses.
//
// Each latency is compared with the lowest average of its own kind. Otherwise a change of the mix,
// such as from page views by day to purchases by night, would look like a slow target.
type Slots struct {
	limit    float64
	minLimit float64
	maxLimit float64
	// load is the moving average of the ratios of latencies to the baselines of their kinds.
	load  float64
	fixed bool
	kinds map[*profile.Kind]*kindLatency
}

type kindLatency struct {
	mean, baseline float64 // nanoseconds
	samples        int
}

func newSlots(known int, fixed bool) Slots {
	return Slots{
		limit:    float64(known),
		minLimit: float64(known),
		maxLimit: float64(known),
		fixed:    fixed,
		kinds:    make(map[*profile.Kind]*kindLatency),
	}
}

// Limit returns the current number of concurrent requests, at least 1.
func (s *Slots) Limit() int { return int(s.limit) }

// observe records the latency of a finished request. busy reports whether other requests wait.
func (s *Slots) observe(k *profile.Kind, latency time.Duration, busy bool) {
	if latency <= 0 || s.fixed {
		return
	}
	s.load += loadGain * (s.ratio(k, float64(latency)) - s.load)
	switch {
	case s.load > maxLoad:
		s.limit = max(s.minLimit, s.limit*shrinkFactor)
	case busy:
		s.limit = min(s.maxLimit, s.limit+1/s.limit)
	}
}

// ratio adds a latency to the kind's average and returns its ratio to the kind's baseline. During
// warm-up it returns 1.
func (s *Slots) ratio(k *profile.Kind, x float64) float64 {
	l := s.kinds[k]
	if l == nil {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds)
		}
		l = &kindLatency{}
		s.kinds[k] = l
	}
	l.samples++
	l.mean += max(kindGain, 1/float64(l.samples)) * (x - l.mean)
	if l.samples <= kindWarmUp {
		l.baseline = l.mean
		return 1
	}
	l.baseline = min(l.mean, l.baseline*(1+baselineRise))
	return x / l.baseline
}

// share sets the number of live VMs that use the target.
func (s *Slots) share(vms int) {
	s.minLimit = max(1, math.Ceil(s.maxLimit/float64(max(vms, 1))))
	s.limit = max(s.limit, s.minLimit)
}
