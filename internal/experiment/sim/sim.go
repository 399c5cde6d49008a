// Package sim runs events in virtual time for the measurements. It is a queue
// of functions and nothing more: the servers, callers and faults of an
// experiment are small fakes in the experiment's own package.
package sim

import (
	"container/heap"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Start is the first instant: it is not zero, which some of the core takes for
// "never".
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

// Scheduler holds what is to happen. Events of one instant run in the order in
// which they were added, so that a seed gives one trace.
type Scheduler struct {
	now   clock.Time
	seq   uint64
	queue events
}

// New returns a Scheduler at Start.
func New() *Scheduler { return &Scheduler{now: Start} }

// Now returns the virtual time.
func (s *Scheduler) Now() clock.Time { return s.now }

// After runs f when d has passed.
func (s *Scheduler) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: f})
}

// Every runs f each period until the run ends.
func (s *Scheduler) Every(period time.Duration, f func()) {
	s.After(period, func() {
		f()
		s.Every(period, f)
	})
}

// Run runs what is due within the next d.
func (s *Scheduler) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}
