// Package condition decides what a VM can carry at present, from how late its timers fire and how
// much of its processor time it uses.
//
// The load that it answers: a VM's processor is slower than its entry says, or its share of busy
// targets is more than it can carry, and all VMs send statements through it all the same. A VM that
// is loaded becomes a gateway less often, and one that yields only where nobody else is.
//
// The backlog of the VM's link is not a sample: without privileges a VM sees only that a write
// blocks, which a peer that does not read causes as well.
//
// The package is pure: it does no I/O.
package condition

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const (
	// window is the time over which samples are judged together.
	window = time.Second
	// minSamples is the number of timers that a window has at least. One late timer, as after a
	// suspension, is never most of them.
	minSamples = 5
	// latenessFraction is the lateness of timers, as a fraction of the shortest objective, from
	// which a VM yields: each statement passes some timers and goroutines of its gateway.
	latenessFraction = 0.1
	// maxBusy is the fraction of the VM's processor time from which it is loaded: waits grow
	// steeply above it.
	maxBusy = 0.8
	// busyWindows is for how many windows in a row the processor is busy before the VM is loaded.
	busyWindows = 2
	// recoveryFraction of a bound must not be exceeded for recoveryTime before the VM recovers.
	recoveryFraction = 0.5
	recoveryTime     = 10 * time.Second
)

// Limits are what the samples are compared with.
type Limits struct {
	// Objective is the shortest latency objective of the routes; 0 if there is none.
	Objective time.Duration
	// Capacity is the processor time available to the VM, in cores; 0 if not known.
	Capacity float64
}

// Sample is one observation of the VM.
type Sample struct {
	// Lateness is by how much a timer fired late.
	Lateness time.Duration
	// Processor is the processor time that the process has used since its start. 0 means that it
	// was not read for this sample.
	Processor time.Duration
}

// Observation is what the last complete window showed.
type Observation struct {
	// Timers is the number of timers, of which Late were later than the bound.
	Timers, Late int
	// MaxLateness is the lateness of the latest one.
	MaxLateness time.Duration
	// Busy is the fraction of the VM's processor time that was used; 0 if not known.
	Busy float64
}

// Monitor follows the condition of one VM. It is not safe for concurrent use.
type Monitor struct {
	begun clock.Time // of the window
	// halfLate counts the timers that were later than the bound for recovery.
	current  Observation
	halfLate int
	last     Observation

	processor   time.Duration // at the last reading
	processorAt clock.Time
	busy        float64

	timers, load trigger
}

// trigger is set while a bound is exceeded, and cleared after recoveryTime without exceeding the
// bound for recovery.
type trigger struct {
	set bool
	// above is the number of windows in a row that exceeded the bound.
	above int
	// exceededAt is when the bound for recovery was last exceeded.
	exceededAt clock.Time
}

func (t *trigger) step(above, aboveHalf bool, windows int, now clock.Time) {
	if aboveHalf {
		t.exceededAt = now
	}
	if !above {
		t.above = 0
		t.set = t.set && now.Sub(t.exceededAt) < recoveryTime
		return
	}
	t.above++
	t.set = t.set || t.above >= windows
}

// Step adds a sample and returns the VM's condition.
func (m *Monitor) Step(s Sample, l Limits, now clock.Time) catalog.Condition {
	m.readProcessor(s.Processor, l.Capacity, now)
	if s.Lateness >= window || m.begun == 0 {
		// The VM was suspended, or has just started.
		m.reset(now)
		return m.condition()
	}
	bound := time.Duration(float64(l.Objective) * latenessFraction)
	m.current.Timers++
	m.current.MaxLateness = max(m.current.MaxLateness, s.Lateness)
	if bound > 0 && s.Lateness > bound {
		m.current.Late++
	}
	if bound > 0 && s.Lateness > time.Duration(float64(bound)*recoveryFraction) {
		m.halfLate++
	}
	if m.current.Timers >= minSamples && now.Sub(m.begun) >= window {
		m.judge(now)
	}
	return m.condition()
}

// readProcessor updates the fraction of the VM's processor time that was used since the last
// reading.
func (m *Monitor) readProcessor(used time.Duration, capacity float64, now clock.Time) {
	if used == 0 || capacity <= 0 {
		return
	}
	if elapsed := now.Sub(m.processorAt); m.processor > 0 && elapsed > 0 {
		m.busy = float64(used-m.processor) / (float64(elapsed) * capacity)
	}
	m.processor, m.processorAt = used, now
}

// judge ends the window.
func (m *Monitor) judge(now clock.Time) {
	m.current.Busy = m.busy
	m.timers.step(2*m.current.Late > m.current.Timers, 2*m.halfLate > m.current.Timers, 1, now)
	m.load.step(m.busy > maxBusy, m.busy > maxBusy*recoveryFraction, busyWindows, now)
	m.last = m.current
	m.reset(now)
}

func (m *Monitor) reset(now clock.Time) {
	m.begun, m.current, m.halfLate = now, Observation{}, 0
}

func (m *Monitor) condition() catalog.Condition {
	switch {
	case m.timers.set:
		return catalog.Yielding
	case m.load.set:
		return catalog.Loaded
	default:
		return catalog.Normal
	}
}

// Last returns what the last complete window showed.
func (m *Monitor) Last() Observation { return m.last }
