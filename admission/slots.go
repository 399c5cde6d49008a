package admission

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/profile"
)

const (
	// kindGain is the weight of a new latency in a kind's average, and
	// kindWarm how many are seen before the average is taken as a base.
	kindGain = 0.05
	kindWarm = 40
	// loadGain is the weight of a new ratio in the load.
	loadGain = 0.05
	// baseRise lets a kind's lowest average creep up, so that a target that has
	// become slower for good is not throttled for ever.
	baseRise = 0.0005
	// tolerance is the load above which the limit falls. The average of forty
	// exponential times falls to about 0.7 of its mean now and then, so that an
	// idle target shows a load of about 1.4.
	tolerance = 3
	// shrink is the factor of a fall.
	shrink = 0.97
	// maxKinds bounds the kinds that are remembered; retired ones go with all
	// others when it is passed.
	maxKinds = 64
)

// Slots is a limit of requests at once that adapts to the latency they show.
//
// The target's slots are known but shared by the whole fleet, and this proxy
// cannot see what the others send. When they send much, requests take longer
// than their kind does at best, and the limit falls, to no less than one; when
// they do not, and others wait, it grows again by one for each limit's worth of
// answers. It never passes the known slots: beyond them requests would wait in
// the target, in order of arrival, where worth and deadlines count for nothing.
// It never falls below this proxy's share of them among the live VMs: latency
// is a poor witness, and an error must not leave slots idle that nobody uses.
//
// Each latency is taken as a ratio to the lowest average of its own kind.
// Without that a change of the mix, such as from page views by day to purchases
// by night, looks like a target that has become slow.
type Slots struct {
	limit float64
	least float64
	most  float64
	load  float64
	fixed bool
	kinds map[*profile.Kind]*kindLatency
}

type kindLatency struct {
	mean, base float64 // nanoseconds
	seen       int
}

func newSlots(known int, fixed bool) Slots {
	return Slots{
		limit: float64(known),
		least: float64(known),
		most:  float64(known),
		fixed: fixed,
		kinds: make(map[*profile.Kind]*kindLatency),
	}
}

// Limit is the present number of requests at once, at least 1.
func (s *Slots) Limit() int { return int(s.limit) }

// observe takes the latency of a finished request; busy says that others wait.
func (s *Slots) observe(k *profile.Kind, latency time.Duration, busy bool) {
	if latency <= 0 || s.fixed {
		return
	}
	s.load += loadGain * (s.ratio(k, float64(latency)) - s.load)
	switch {
	case s.load > tolerance:
		s.limit = max(s.least, s.limit*shrink)
	case busy:
		s.limit = min(s.most, s.limit+1/s.limit)
	}
}

// ratio rates a latency against the kind's lowest average.
func (s *Slots) ratio(k *profile.Kind, x float64) float64 {
	l := s.kinds[k]
	if l == nil {
		if len(s.kinds) >= maxKinds {
			clear(s.kinds)
		}
		l = &kindLatency{}
		s.kinds[k] = l
	}
	l.seen++
	l.mean += max(kindGain, 1/float64(l.seen)) * (x - l.mean)
	if l.seen <= kindWarm {
		l.base = l.mean
		return 1
	}
	l.base = min(l.mean, l.base*(1+baseRise))
	return x / l.base
}

// share sets the number of live VMs that use the target.
func (s *Slots) share(vms int) {
	s.least = max(1, math.Ceil(s.most/float64(max(vms, 1))))
	s.limit = max(s.limit, s.least)
}
