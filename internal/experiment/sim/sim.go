// Package sim runs events in virtual time for the measurements. A Scheduler is a queue of functions
// only: each experiment's own package implements the fakes of its servers, callers and faults.
package sim

import (
	"container/heap"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Start is the virtual time at which a run starts. It is not zero, because parts of the core read
// zero as "never".
const Start = clock.Time(time.Hour)

type event struct {
	at  clock.Time
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Scheduler runs events in the order of their times. Events with equal times run in the order in
// which they were added, so that a seed always gives the same trace.
type Scheduler struct {
	now   clock.Time
	seq   uint64
	queue events
}

// New returns a Scheduler at Start.
func New() *Scheduler { return &Scheduler{now: Start} }

// Now returns the virtual time.
func (s *Scheduler) Now() clock.Time { return s.now }

// After schedules f to run once d has passed.
func (s *Scheduler) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: f})
}

// Every schedules f to run every period until the run ends.
func (s *Scheduler) Every(period time.Duration, f func()) {
	s.After(period, func() {
		f()
		s.Every(period, f)
	})
}

// Run runs the events that are due within the next d and advances the clock by d.
func (s *Scheduler) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}
