package groups

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

// streak is a run of events of one kind, none further from the next than a gap.
type streak struct {
	since, last clock.Time
}

// note records an event.
func (s *streak) note(now clock.Time, gap time.Duration) {
	if s.last == 0 || now.Sub(s.last) > gap {
		s.since = now
	}
	s.last = now
}

// lasts is how long the run has gone on; 0 if it has ended.
func (s *streak) lasts(now clock.Time, gap time.Duration) time.Duration {
	if s.last == 0 || now.Sub(s.last) > gap {
		return 0
	}
	return now.Sub(s.since)
}
