// Package condition decides whether a VM is slow, from how late its timers fire.
//
// The load that it answers: a VM's processor is slower than its entry says, and all VMs send
// statements through it all the same. One that yields is the gateway of few targets.
//
// The backlog of the VM's link is not a sample: without privileges a VM sees only that a write
// blocks, which a peer that does not read causes as well. Neither is the processor time in use: a
// burst makes all VMs busy, and gateways that move then end where they began.
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
	// minLateness is the least such lateness: timers are a few milliseconds late on any busy VM.
	minLateness = 5 * time.Millisecond
	// recoveryFraction of the bound must not be exceeded for the recovery time before the VM recovers.
	recoveryFraction = 0.5
	// minRecoveryTime is doubled, up to maxRecoveryTime, with each time that the VM yields again
	// before it was calm for as long as the last recovery took.
	minRecoveryTime = 10 * time.Second
	maxRecoveryTime = 160 * time.Second
	// pausesInARow is how many timers in a row are late by a whole window before they are no
	// suspensions, which come one at a time.
	pausesInARow = 3
)

// Observation is what the last judged samples showed.
type Observation struct {
	// Timers is the number of timers, of which Late were later than the bound.
	Timers, Late int
	// MaxLateness is the lateness of the latest one.
	MaxLateness time.Duration
}

// Monitor follows the condition of one VM. It is not safe for concurrent use.
type Monitor struct {
	begun clock.Time // of the window
	// halfLate counts the timers that were later than the bound for recovery.
	current  Observation
	halfLate int
	last     Observation
	pauses   Observation // the pauses in a row

	yields bool
	// exceededAt is when the bound for recovery was last exceeded.
	exceededAt   clock.Time
	recoveryTime time.Duration
	recoveredAt  clock.Time // 0 if the VM has not yielded yet
}

// Step adds a sample, by how much a timer fired late, and returns the VM's condition. The objective
// is the shortest latency objective of the routes; 0 if there is none.
func (m *Monitor) Step(lateness, objective time.Duration, now clock.Time) catalog.Condition {
	bound := max(time.Duration(float64(objective)*latenessFraction), minLateness)
	switch {
	case m.begun == 0:
		m.reset(now)
	case lateness >= window:
		m.addPause(lateness, objective, now)
	default:
		m.pauses = Observation{}
		m.current.add(lateness, objective > 0 && lateness > bound)
		if objective > 0 && lateness > time.Duration(float64(bound)*recoveryFraction) {
			m.halfLate++
		}
		if m.current.Timers >= minSamples && now.Sub(m.begun) >= window {
			m.judge(2*m.current.Late > m.current.Timers, 2*m.halfLate > m.current.Timers, m.current, now)
		}
	}
	if m.yields {
		return catalog.Yielding
	}
	return catalog.Normal
}

// addPause adds a timer that was late by a whole window: the VM was suspended, which is neither
// lateness nor calm time, or it is so slow that all of its timers are this late.
func (m *Monitor) addPause(lateness, objective time.Duration, now clock.Time) {
	m.pauses.add(lateness, objective > 0)
	if objective > 0 && m.pauses.Timers >= pausesInARow {
		m.judge(true, true, m.pauses, now)
		return
	}
	m.exceededAt = m.exceededAt.Add(lateness)
	if m.recoveredAt != 0 {
		m.recoveredAt = m.recoveredAt.Add(lateness)
	}
	m.reset(now)
}

// judge ends the window.
func (m *Monitor) judge(above, aboveHalf bool, seen Observation, now clock.Time) {
	m.last = seen
	m.reset(now)
	if aboveHalf {
		m.exceededAt = now
	}
	switch {
	case above && !m.yields:
		m.yields = true
		m.recoveryTime = m.nextRecoveryTime(now)
	case m.yields && now.Sub(m.exceededAt) >= m.recoveryTime:
		m.yields, m.recoveredAt = false, now
	}
}

// nextRecoveryTime returns for how long a VM that yields now must be calm.
//
// Failure guarded against: a VM that is only calm without its load yields every few seconds, and its
// targets move to and fro.
func (m *Monitor) nextRecoveryTime(now clock.Time) time.Duration {
	if m.recoveredAt == 0 || now.Sub(m.recoveredAt) >= 2*m.recoveryTime {
		return minRecoveryTime
	}
	return min(2*m.recoveryTime, maxRecoveryTime)
}

func (m *Monitor) reset(now clock.Time) {
	m.begun, m.current, m.halfLate = now, Observation{}, 0
}

func (o *Observation) add(lateness time.Duration, late bool) {
	o.Timers++
	o.MaxLateness = max(o.MaxLateness, lateness)
	if late {
		o.Late++
	}
}

// Last returns what the last judged samples showed.
func (m *Monitor) Last() Observation { return m.last }
