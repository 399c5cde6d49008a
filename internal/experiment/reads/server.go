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

// fault is what is wrong with a server for a time.
type fault uint8

const (
	faultNone    fault = iota
	faultSlow          // a tenth of the speed
	faultSilent        // takes requests and answers none
	faultFailing       // refuses at once
)

// server is a fake of one database server: slots, a queue in order of arrival
// and a fault.
type server struct {
	s       *sim.Scheduler
	rnd     *rand.Rand
	running int
	queue   []func()
	fault   fault
	busy    time.Duration
}

// do runs a statement of the given mean time; done is told if it was answered
// well, and is never called by a silent server.
func (s *server) do(mean time.Duration, at func(), done func(ok bool)) {
	switch s.fault {
	case faultSilent:
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
			s.next()
		})
	})
	s.next()
}

func (s *server) next() {
	for s.running < slots && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		f()
	}
}

// log is the primary's log: the instant of each commit, by LSN.
type log struct {
	commits []clock.Time
}

func (l *log) append(now clock.Time) timeline.LSN {
	l.commits = append(l.commits, now)
	return timeline.LSN(len(l.commits))
}

// at returns the position that the log had at an instant.
func (l *log) at(t clock.Time) timeline.LSN {
	return timeline.LSN(sort.Search(len(l.commits), func(i int) bool { return l.commits[i].After(t) }))
}

// age returns how old data at lsn is at now: the time since the first commit
// that it lacks.
func (l *log) age(lsn timeline.LSN, now clock.Time) time.Duration {
	if int(lsn) >= len(l.commits) {
		return 0
	}
	return now.Sub(l.commits[lsn])
}

const (
	lagStep = 20 * time.Millisecond
	// lagPull draws the lag back to its mean, lagNoise moves it.
	lagPull  = 0.05
	lagNoise = 0.08
)

// replication is one replica's progress through the log.
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
	r.applied = max(r.applied, r.log.at(now.Add(-r.lag)))
}
