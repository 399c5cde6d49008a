package lane

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// averageWeight and classWeight are the weights of a new service time in the moving averages
	// over all statements and over those of one class, which are fewer.
	averageWeight = 1.0 / 16
	classWeight   = 1.0 / 8
	// outlierFactor bounds the effect of one service time on an average, to this multiple of it.
	outlierFactor = overdueFactor
	// minSamples is the number of service times from which an average is used.
	minSamples = 8
	// classMemory is how long after its last sample a class has fully decayed to the average of all.
	classMemory = 30 * time.Second
	// maxClasses bounds the classes of a lane; statements of others count as of the average.
	maxClasses = 64
)

// estimate is a moving average of service times, with the mean deviation from it.
type estimate struct {
	mean, deviation time.Duration
	samples         int
	updated         clock.Time
}

// record adds a service time.
//
// Failure guarded against: the answer to one statement comes after seconds, because the target
// hung, and for the next second every request is expected to take as long and refused. A target
// that has become slower is still followed, because each sample may exceed the average.
func (e *estimate) record(now clock.Time, d time.Duration, weight float64) {
	if e.samples >= minSamples {
		d = min(d, outlierFactor*e.mean)
	}
	e.samples++
	weight = max(weight, 1/float64(e.samples))
	e.deviation += time.Duration(weight * float64((d-e.mean).Abs()-e.deviation))
	if e.samples == 1 {
		e.deviation = 0
	}
	e.mean += time.Duration(weight * float64(d-e.mean))
	e.updated = now
}

// serviceTimes estimates how long statements hold a slot of a target, by class.
type serviceTimes struct {
	average estimate
	classes map[uint32]*estimate
}

// record adds the service time of a statement of a class.
func (s *serviceTimes) record(now clock.Time, class uint32, d time.Duration) {
	s.average.record(now, d, averageWeight)
	if class == 0 {
		return
	}
	e := s.classes[class]
	if e == nil {
		if e = s.add(now, class); e == nil {
			return
		}
	}
	e.record(now, d, classWeight)
}

// add adds a class, in place of one that has decayed if there are too many; nil if there is none.
func (s *serviceTimes) add(now clock.Time, class uint32) *estimate {
	if s.classes == nil {
		s.classes = make(map[uint32]*estimate)
	}
	if len(s.classes) >= maxClasses {
		for old, e := range s.classes {
			if now.Sub(e.updated) > classMemory {
				delete(s.classes, old)
			}
		}
	}
	if len(s.classes) >= maxClasses {
		return nil
	}
	e := &estimate{}
	s.classes[class] = e
	return e
}

// known reports whether enough statements were measured to refuse requests by their average.
func (s *serviceTimes) known() bool { return s.average.samples >= 2*minSamples }

// of returns the expected service time of a statement of a class and the mean deviation from it.
func (s *serviceTimes) of(now clock.Time, class uint32) (mean, deviation time.Duration) {
	a, e := s.average, s.classes[class]
	if e == nil || e.samples < minSamples {
		return a.mean, a.deviation
	}
	kept := max(0, 1-float64(now.Sub(e.updated))/float64(classMemory))
	return a.mean + time.Duration(kept*float64(e.mean-a.mean)), a.deviation + time.Duration(kept*float64(e.deviation-a.deviation))
}
