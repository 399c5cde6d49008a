package reads

import (
	"math/rand/v2"
	"sort"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/experiment/sim"
	"endivemoor.example/endivemoor/timeline"
)

const (
	slots       = 3
	failingTime = 200 * time.Microsecond
)

// fault is the kind of an injected fault of a server.
type fault uint8

const (
	faultNone         fault = iota
	faultSlow               // runs at a tenth of its speed
	faultUnresponsive       // accepts requests but does not reply
	faultFailing            // fails each request at once
)

// server is a fake database server with slots, a queue in order of arrival, and a fault.
type server struct {
	s       *sim.Scheduler
	rnd     *rand.Rand
	running int
	queue   []func()
	fault   fault
	busy    time.Duration
}

// execute runs a statement of the given mean time, and calls at when the statement starts. It calls
// done with the statement's success; an unresponsive server never calls done.
func (s *server) execute(mean time.Duration, at func(), done func(ok bool)) {
	switch s.fault {
	case faultUnresponsive:
		return
	case faultFailing:
		s.s.After(failingTime, func() { done(false) })
		return
	}
	s.queue = append(s.queue, func() {
		at()
		took := time.Duration(s.rnd.ExpFloat64() * float64(mean))
		if s.fault == faultSlow {
			took *= 10
		}
		s.busy += took
		s.s.After(took, func() {
			s.running--
			done(true)
			s.dispatch()
		})
	})
	s.dispatch()
}

func (s *server) dispatch() {
	for s.running < slots && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		f()
	}
}

// log is the primary's log: the time of each commit, indexed by LSN.
type log struct {
	commits []clock.Time
}

func (l *log) append(now clock.Time) timeline.LSN {
	l.commits = append(l.commits, now)
	return timeline.LSN(len(l.commits))
}

// positionAt returns the position of the log at time t.
func (l *log) positionAt(t clock.Time) timeline.LSN {
	return timeline.LSN(sort.Search(len(l.commits), func(i int) bool { return l.commits[i].After(t) }))
}

// age returns the age at now of data at lsn: the time since the first commit that it lacks.
func (l *log) age(lsn timeline.LSN, now clock.Time) time.Duration {
	if int(lsn) >= len(l.commits) {
		return 0
	}
	return now.Sub(l.commits[lsn])
}

const (
	lagStep = 20 * time.Millisecond
	// lagPull is the share of its distance from the mean that the lag loses in each step, and
	// lagNoise the standard deviation of the random change in each step, relative to the mean.
	lagPull  = 0.05
	lagNoise = 0.08
)

// replication is one replica's progress in the log.
type replication struct {
	log     *log
	rnd     *rand.Rand
	mean    time.Duration
	lag     time.Duration
	applied timeline.LSN
}

func (r *replication) step(now clock.Time) {
	pull := lagPull * float64(r.mean-r.lag)
	noise := lagNoise * float64(r.mean) * r.rnd.NormFloat64()
	r.lag = max(r.lag+time.Duration(pull+noise), time.Millisecond)
	r.applied = max(r.applied, r.log.positionAt(now.Add(-r.lag)))
}
