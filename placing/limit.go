package placing

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

const (
	// minSamples is the number of answers from which a class's quantiles are used.
	minSamples = 32
	// maxSamples is the number of answers after which the counts of a class are halved, so that old
	// ones lose their weight.
	maxSamples = 1024
	// maxClasses bounds the classes that are told apart; the answers of all others are counted
	// together, as class 0.
	maxClasses = 256
	// halfLife is how long it takes at most until old answer times have half of their weight, so that an
	// outage in which all answers were lost does not determine the limit for long.
	halfLife = 30 * time.Second
	// classTTL is how long a class without answers is kept.
	classTTL = time.Minute
	// tailMargin is applied to the 99th percentile: a few hundred answers show little beyond it.
	tailMargin = 1.5
	// overloadFactor times a target's recent latency is waited before an answer counts as lost.
	// While a target's own queue grows, so does the limit, or every read would be sent twice.
	overloadFactor = 8
)

// answerTimes is a histogram of the times to the answer of one class of statements. The buckets
// grow by bucketsPerOctave-th powers of two, from a millisecond up.
type answerTimes struct {
	counts [buckets]uint16
	total  int
	last   clock.Time
	halved clock.Time
}

const (
	bucketsPerOctave = 4
	buckets          = 13*bucketsPerOctave + 1
)

func (a *answerTimes) add(now clock.Time, d time.Duration) {
	i := 0
	if d > time.Millisecond {
		i = min(int(math.Ceil(bucketsPerOctave*math.Log2(float64(d)/float64(time.Millisecond)))), buckets-1)
	}
	a.counts[i]++
	a.total++
	a.last = now
	if a.halved == 0 {
		a.halved = now
	}
	if a.total < maxSamples && now.Sub(a.halved) < halfLife {
		return
	}
	a.total, a.halved = 0, now
	for i := range a.counts {
		a.counts[i] /= 2
		a.total += int(a.counts[i])
	}
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (a *answerTimes) quantile(q float64) time.Duration {
	rank, seen := int(math.Ceil(q*float64(a.total))), 0
	for i, n := range a.counts {
		if seen += int(n); seen >= rank {
			return time.Duration(float64(time.Millisecond) * math.Exp2(float64(i)/bucketsPerOctave))
		}
	}
	return 0
}

// Bounds is what a caller allows for a statement.
type Bounds struct {
	// Class identifies statements of similar work.
	Class uint32
	// Objective is the route's latency objective, and Elapsed how much of it has passed.
	Objective, Elapsed time.Duration
	// Left is the time after which the answer is of no use to the caller.
	Left time.Duration
}

// TryTimeout returns how long a statement that may be repeated waits for the answer of one target.
//
// A lost answer must be found out while another try can still meet the objective; a statement that
// merely takes long must not be cut, since it would start again from nothing. So the limit leaves
// time for one more try, and is not below what nearly all statements of the class take.
func (t *Tracker) TryTimeout(id target.ID, now clock.Time, b Bounds) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	objective := b.Objective
	if objective <= 0 {
		objective = b.Left
	}
	again := 2 * defaultLatency
	a := t.classes[t.classKey(b.Class)]
	known := a != nil && a.total >= minSamples
	if known {
		again = 2 * a.quantile(.9)
	}
	least := objective - again
	if known {
		least = min(time.Duration(tailMargin*float64(a.quantile(.99))), max(objective, again))
	}
	overload := min(time.Duration(overloadFactor*t.record(id).decayedLatency(now)), objective)
	limit := max(objective-b.Elapsed-again, least, overload)
	return min(limit, max(b.Left-again, b.Left/2))
}

// QueueTimeout returns how long a read waits for a connection to one target while it has another
// choice: half of its objective, so that it can still be answered there in time. Where a wait was
// reported, which the choice has weighed, the read leaves the queue only if it proves much longer.
func (b Bounds) QueueTimeout(reported time.Duration) time.Duration {
	if b.Objective <= 0 {
		return b.Left / 2
	}
	return min(max(b.Objective/2, 2*defaultLatency, 2*reported), b.Left)
}

// TransactionTimeout returns how long a statement of an open transaction waits for its answer. It
// cannot be repeated elsewhere: it is given up only once it has missed the objective and takes
// longer than any of its class, so that the caller can repeat the transaction in the time left.
func (t *Tracker) TransactionTimeout(b Bounds) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.classes[t.classKey(b.Class)]
	if a == nil || a.total < minSamples {
		return b.Left
	}
	return min(max(2*a.quantile(.99), b.Objective-b.Elapsed), b.Left)
}

// TimedOut records that a statement was given up after the limit. It may have taken any longer
// time; counted as twice the limit, it raises the limit if that cuts more than a few.
func (t *Tracker) TimedOut(class uint32, now clock.Time, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(class).add(now, 2*limit)
}

// class returns the answer times of a class, which is added if there is room for it.
func (t *Tracker) class(class uint32) *answerTimes {
	if len(t.classes) >= maxClasses {
		class = t.classKey(class)
	}
	if t.classes[class] == nil {
		t.classes[class] = &answerTimes{}
	}
	return t.classes[class]
}

// classKey returns the key under which a class is counted.
func (t *Tracker) classKey(class uint32) uint32 {
	if t.classes[class] == nil {
		return 0
	}
	return class
}

// dropClasses drops the classes that are no longer in use.
func (t *Tracker) dropClasses() {
	var latest clock.Time
	for _, a := range t.classes {
		latest = max(latest, a.last)
	}
	for class, a := range t.classes {
		if latest.Sub(a.last) > classTTL {
			delete(t.classes, class)
		}
	}
}
