package outlier

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/target"
)

const (
	// window is the number of statements that a fraction covers.
	window = loadreport.MaxStatements
	// minReported is the smallest fraction of lost answers that is reported to those who place reads.
	minReported = 0.02
	// minShared is the smallest fraction that is passed on. It bounds what the least outlier exceeds:
	// siblings of which nothing is reported may fail as much.
	minShared = minFailed / siblingFactor
	// maxGap is the time without statements after which the number covered starts again: a target
	// that reads avoid is judged by what it does once they return.
	maxGap = time.Second
	// slice is half of the longest time for which a failure counts.
	slice = 500 * time.Millisecond
)

// Outcome is how a statement ended at a target.
type Outcome uint8

// Outcomes.
const (
	// Answered: with a result, or with an error that is not the target's.
	Answered Outcome = iota
	// Errored: answered with an error that may be the target's.
	Errored
	// Lost: no complete answer.
	Lost
)

// Counter counts the outcomes of the statements that a VM has run at targets. Targets without
// failures are left out, so that its size is that of the trouble. It is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	byTarget map[target.ID]*count
}

type count struct {
	service string
	// failed and lost are moving averages over the window; lost is the part of failed without an
	// answer.
	failed, lost float64
	// statements and failures are counted since the latest gap, and halved to bound them.
	statements, failures int
	last                 clock.Time
	// recent and before count the slice of time that began at since, and the one before it.
	recent, before tally
	since          clock.Time
	// incarnation is the target's at the last Retain; 0 before the first.
	incarnation int64
}

type tally struct{ statements, failed, lost int }

// advance begins another slice if the latest has ended.
func (n *count) advance(now clock.Time) {
	switch age := now.Sub(n.since); {
	case age >= 2*slice:
		n.before, n.recent, n.since = tally{}, tally{}, now
	case age >= slice:
		n.before, n.recent, n.since = n.recent, tally{}, n.since.Add(slice)
	}
}

// confirmed reports whether the latest slices bear a fraction out: a hiccup that is over counts no
// longer, however few statements have come since.
func (n *count) confirmed(now clock.Time, fraction float64, failures func(tally) int) bool {
	n.advance(now)
	statements := n.recent.statements + n.before.statements
	return statements > 0 && float64(failures(n.recent)+failures(n.before)) >= fraction/2*float64(statements)
}

// Record counts a statement at a target of a service.
func (c *Counter) Record(now clock.Time, service string, id target.ID, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byTarget[id]
	if n == nil {
		if o == Answered {
			return
		}
		n = &count{service: service, last: now}
		if c.byTarget == nil {
			c.byTarget = make(map[target.ID]*count)
		}
		c.byTarget[id] = n
	}
	if now.Sub(n.last) > maxGap {
		n.statements, n.failures = 0, 0
	}
	n.last = now
	n.advance(now)
	n.recent.statements++
	if n.statements++; o != Answered {
		n.failures++
		n.recent.failed++
	}
	if o == Lost {
		n.recent.lost++
	}
	if n.statements == 2*window {
		n.statements, n.failures = n.statements/2, n.failures/2
	}
	n.failed, n.lost = average(n.failed, o != Answered), average(n.lost, o == Lost)
	if n.failed < minReported/2 {
		delete(c.byTarget, id)
	}
}

func average(fraction float64, set bool) float64 {
	fraction *= 1 - 1.0/window
	if set {
		fraction += 1.0 / window
	}
	return fraction
}

// Fraction is the part of the recent statements at a target that failed.
type Fraction struct {
	// Lost is the part without an answer, and Errored that with an error that may be the target's.
	Lost, Errored float64
	// Statements is how many statements they cover: 1 if the latest ones do not bear them out, and 0
	// if they say nothing of the target.
	Statements int
}

// Fraction returns the fraction at a target. It covers nothing if it comes from before a gap, is too
// small to matter, or if this VM suspects its own link, because it loses answers at targets of several
// services.
func (c *Counter) Fraction(now clock.Time, id target.ID) (f Fraction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byTarget[id]
	if n == nil {
		return f
	}
	if n.lost >= minReported {
		f.Lost = n.lost
	}
	fromBefore := float64(n.failures) < n.failed/2*float64(n.statements)
	if !n.matters(now) || fromBefore || c.suspectsLink(now) {
		return f
	}
	f.Lost, f.Errored, f.Statements = n.lost, n.failed-n.lost, 1
	if n.confirmed(now, n.failed, func(t tally) int { return t.failed }) {
		f.Statements = min(n.statements, window)
	}
	return f
}

// matters reports whether the fraction may set the target, or keep a sibling from being set, aside.
func (n *count) matters(now clock.Time) bool {
	return n.failed >= minShared && now.Sub(n.last) <= maxGap
}

// suspectsLink reports whether answers are lost at targets of several services.
func (c *Counter) suspectsLink(now clock.Time) bool {
	service := ""
	for _, n := range c.byTarget {
		switch {
		case n.lost < minFailed || n.service == service || !n.confirmed(now, n.lost, func(t tally) int { return t.lost }):
		case service == "":
			service = n.service
		default:
			return true
		}
	}
	return false
}

// Failing returns the targets of which a fraction is worth passing on. Failure guarded against: a
// target without statements is reported again and again as it was, and never gets another.
func (c *Counter) Failing(now clock.Time) (out []target.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.byTarget {
		if n.matters(now) {
			out = append(out, id)
		}
	}
	return out
}

// Reset forgets all counts: what a VM's own state explains is no target's failure.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.byTarget)
}

// Retain drops the counts of targets that were removed or have restarted, or have run nothing of late.
func (c *Counter) Retain(now clock.Time, known func(target.ID) (incarnation int64, ok bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.byTarget {
		incarnation, ok := known(id)
		if !ok || now.Sub(n.last) > ownTTL || (n.incarnation != 0 && n.incarnation != incarnation) {
			delete(c.byTarget, id)
			continue
		}
		n.incarnation = incarnation
	}
}
