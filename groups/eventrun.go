package groups

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

// eventRun is a run of events in which no two successive events are further apart than a gap.
type eventRun struct {
	since, last clock.Time
}

// record records an event.
func (s *eventRun) record(now clock.Time, gap time.Duration) { s.recordSince(now, now, gap) }

// recordSince records an event that began some time ago. If it is the first one of a run, the run
// began then.
func (s *eventRun) recordSince(since, now clock.Time, gap time.Duration) {
	if s.last == 0 || now.Sub(s.last) > gap {
		s.since = since
	}
	s.last = now
}

// duration returns how long the run has lasted; 0 if it has ended.
func (s *eventRun) duration(now clock.Time, gap time.Duration) time.Duration {
	if s.last == 0 || now.Sub(s.last) > gap {
		return 0
	}
	return now.Sub(s.since)
}
