// Package outlier decides which targets reads avoid because they fail a part of their statements
// while their health checks succeed.
//
// Each VM meets too few of a target's failures to know. Its gateways run the statements of many VMs
// and report the fraction that failed, which a Counter counts. A Detector compares the reports of a
// service's targets with each other and with this VM's own failures. Two sources must agree before
// reads avoid a target; errors that all targets give alike are the statements' own.
//
// A target is set aside for a time that doubles, and then gets a growing share of the reads. The
// package does no I/O and reads no clock.
package outlier

import (
	"math/bits"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/target"
)

const (
	// minFailed is the smallest fraction that sets a target aside. Below it a read that fails and is
	// repeated at a sibling costs callers less on average than a sibling that has more to do.
	minFailed = 0.15
	// minStatements is the number of statements that a fraction must cover.
	minStatements = 8
	// siblingFactor and siblingMargin say how far above the worst of its siblings a target must be. An
	// average would count a primary that serves no reads as a sibling without failures.
	siblingFactor, siblingMargin = 2, 0.1
	// minSources is the number of sources that must agree.
	minSources = 2
	// ownWindow is the number of this VM's own statements that count at a target that has failed,
	// minOwnFailures how many of them must have failed, and ownTTL how long they count.
	ownWindow      = 8
	minOwnFailures = 2
	ownTTL         = 10 * time.Second
	// firstPause is how long a target is set aside at first, and maxPause the longest time.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// A target that returns gets firstShare of the reads that it would get otherwise, twice as many
	// after each returnStep.
	firstShare  = 1.0 / 8
	returnStep  = time.Second
	returnSteps = 3
	// maxPart is the part of a service's targets that may be set aside: one in maxPart.
	maxPart = 3
)

// Target is one target of a service, as this VM sees it.
type Target struct {
	ID          target.ID
	Incarnation int64
	// Reports are the current reports of the target that say that it fails, one of each VM.
	Reports []loadreport.Report
	// Overloaded is set if the target refuses requests that would be late.
	Overloaded bool
	// Down is set if the target is unreachable.
	Down bool
}

// Outcomes of a Change.
const (
	// SetAside: reads avoid the target.
	SetAside = "set-aside"
	// Returned: the target gets all of its reads again.
	Returned = "returned"
	// ProbeServed and ProbeFailed are outcomes of statements at a target that returns.
	ProbeServed = "probe-served"
	ProbeFailed = "probe-failed"
)

// Change is a decision about a target.
type Change struct {
	Target  target.ID
	Outcome string
	// For is how long the target is set aside, and Times how often it has been.
	For   time.Duration
	Times int
}

// Detector holds what this VM knows of the targets that fail. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	records map[target.ID]*record
}

type record struct {
	incarnation int64
	// own holds this VM's latest outcomes, one bit each, set for a failure.
	own     uint8
	ownLast clock.Time
	// times is how often the target was set aside, less what it was forgiven; until is the end of
	// the latest time. until is 0 if it never was.
	times int
	until clock.Time
	// probes is the number of reads that may have been sent to the target since it returns, and whose
	// outcome is not known.
	probes int
	// forgiven is up to when it was forgiven, and returned is set once the return was told.
	forgiven clock.Time
	returned bool
}

// NewDetector returns a Detector that knows of no target.
func NewDetector() *Detector { return &Detector{records: make(map[target.ID]*record)} }

// Idle reports whether nothing is known of any target.
func (d *Detector) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records) == 0
}

// Knows reports whether anything is known of a target.
func (d *Detector) Knows(id target.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[id] != nil
}

// Record records the outcome of a statement of this VM; read is set for a read. At a target that is
// set aside or returns, only reads that Avoided let through count.
func (d *Detector) Record(now clock.Time, id target.ID, incarnation int64, o Outcome, read bool) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.current(id, incarnation)
	if r == nil {
		if o == Answered {
			return nil
		}
		r = d.create(id, incarnation)
	}
	share := r.share(now)
	if share < 1 {
		if !read || r.probes == 0 {
			return nil
		}
		r.probes--
	}
	if now.Sub(r.ownLast) > ownTTL {
		r.own = 0
	}
	r.own, r.ownLast = r.own<<1, now
	if o != Answered {
		r.own |= 1
	}
	switch {
	case share == 0 || share == 1:
		return nil
	case o == Answered:
		return []Change{{Target: id, Outcome: ProbeServed, Times: r.times}}
	default:
		return []Change{{Target: id, Outcome: ProbeFailed, Times: r.times}}
	}
}

// Avoided returns for each target of a service whether a read goes elsewhere if it can. Draw is a
// random number in [0, 1) that decides whether the read probes a target that returns; mayProbe is
// set if it may be repeated.
func (d *Detector) Avoided(now clock.Time, all []Target, mayProbe bool, draw float64) (avoided []bool, changes []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes = d.update(now, all)
	avoided = make([]bool, len(all))
	left := len(all) / maxPart
	for i := range all {
		r := d.current(all[i].ID, all[i].Incarnation)
		if r == nil || left == 0 {
			continue
		}
		if share := r.share(now); share < 1 {
			avoided[i] = !mayProbe || draw >= share
			left--
			if !avoided[i] {
				r.probes++
			}
		}
	}
	return avoided, changes
}

// Returning reports whether a target was set aside, gets reads again and is not forgiven yet.
func (d *Detector) Returning(now clock.Time, id target.ID, incarnation int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.current(id, incarnation)
	return r != nil && r.times > 0 && r.share(now) > 0
}

// update tells which targets have returned, forgives, and sets the worst outlier aside. A target that
// is overloaded stays: its late answers are its load's.
func (d *Detector) update(now clock.Time, all []Target) (changes []Change) {
	aside, worst, most := 0, -1, 0.0
	for i := range all {
		r := d.current(all[i].ID, all[i].Incarnation)
		if r != nil && r.share(now) == 1 {
			if r.until != 0 && !r.returned {
				r.returned = true
				changes = append(changes, Change{Target: all[i].ID, Outcome: Returned, Times: r.times})
			}
			if r.forgive(now); r.times == 0 && now.Sub(r.ownLast) > ownTTL {
				delete(d.records, all[i].ID)
			}
		}
		if r != nil && r.share(now) < 1 {
			aside++
			if now.Before(r.until) {
				continue
			}
		}
		if rate, ok := d.believed(now, all, i); ok && rate > most && !all[i].Overloaded {
			worst, most = i, rate
		}
	}
	if worst < 0 {
		return changes
	}
	r := d.current(all[worst].ID, all[worst].Incarnation)
	returning := r != nil && r.share(now) < 1
	if !returning && (aside >= len(all)/maxPart || !othersHaveRoom(all, worst)) {
		return changes
	}
	if r == nil {
		r = d.create(all[worst].ID, all[worst].Incarnation)
	}
	return append(changes, r.setAside(now, all[worst].ID))
}

// othersHaveRoom reports whether a target's reads can be served by the others: a target that fails a
// part of them is better than a queue in which they are late.
func othersHaveRoom(all []Target, i int) bool {
	usable := 0
	for j := range all {
		switch {
		case j == i || all[j].Down:
		case all[j].Overloaded:
			return false
		default:
			usable++
		}
	}
	return usable > 0
}

// believed reports whether enough sources say that a target fails far more than its siblings, and
// the largest fraction that one of them states. What this VM has met itself is one of them, also
// where it reports the target: whatever lies between the two, its own reads had better go elsewhere.
// For a target that returns, one failure of a probe is such a source, and two are enough alone.
func (d *Detector) believed(now clock.Time, all []Target, i int) (rate float64, ok bool) {
	sources, rate := reporters(all, i)
	own := d.ownRate(now, all[i])
	if own == 0 || !exceeds(own, all, i, func(t Target) float64 { return d.ownRate(now, t) }) {
		return rate, sources >= minSources
	}
	r := d.current(all[i].ID, all[i].Incarnation)
	returning, enough := r.share(now) < 1, own >= float64(minOwnFailures)/ownWindow
	if enough || returning {
		sources++
		rate = max(rate, own)
	}
	return rate, sources >= minSources || (returning && enough)
}

// reporters returns how many VMs report that all[i] fails far more than its siblings, and the largest
// fraction.
func reporters(all []Target, i int) (n int, rate float64) {
	for _, r := range all[i].Reports {
		if f := r.Failed + r.Errored; r.Statements >= minStatements && f >= minFailed && exceeds(f, all, i, reportedRate) {
			n++
			rate = max(rate, f)
		}
	}
	return n, rate
}

// exceeds reports whether a rate of all[i] is far above that of each sibling.
func exceeds(rate float64, all []Target, i int, rateOf func(Target) float64) bool {
	for j := range all {
		if j != i && rate < siblingFactor*rateOf(all[j])+siblingMargin {
			return false
		}
	}
	return true
}

// reportedRate returns the largest fraction that is reported of a sibling, or what goes unreported. The
// fraction begins at 0 and nears its value while it covers more statements; it is taken for that
// value, as errors of all targets alike show at a busy one first.
func reportedRate(t Target) float64 {
	rate := minShared
	for _, r := range t.Reports {
		f := r.Failed + r.Errored
		if r.Statements >= minStatements {
			f = min(f*window/float64(r.Statements), 1)
		}
		rate = max(rate, f)
	}
	return rate
}

func (d *Detector) ownRate(now clock.Time, t Target) float64 {
	r := d.current(t.ID, t.Incarnation)
	if r == nil || now.Sub(r.ownLast) > ownTTL {
		return 0
	}
	return float64(bits.OnesCount8(r.own)) / ownWindow
}

// current returns the record of a target; nil if there is none of this incarnation.
func (d *Detector) current(id target.ID, incarnation int64) *record {
	r := d.records[id]
	if r != nil && r.incarnation != incarnation {
		delete(d.records, id)
		return nil
	}
	return r
}

func (d *Detector) create(id target.ID, incarnation int64) *record {
	r := &record{incarnation: incarnation}
	d.records[id] = r
	return r
}

// share returns the part of its usual reads that a target gets.
func (r *record) share(now clock.Time) float64 {
	if r.until == 0 {
		return 1
	}
	if now.Before(r.until) {
		return 0
	}
	steps := now.Sub(r.until) / returnStep
	if steps >= returnSteps {
		return 1
	}
	return firstShare * float64(int(1)<<steps)
}

func (r *record) setAside(now clock.Time, id target.ID) Change {
	pause := min(firstPause<<r.times, maxPause)
	if pause < maxPause {
		r.times++
	}
	r.until, r.forgiven, r.returned = now.Add(pause), now.Add(pause), false
	r.own, r.probes = 0, 0
	return Change{Target: id, Outcome: SetAside, For: pause, Times: r.times}
}

// forgive makes the next time shorter by one step for each maxPause in which the target has served.
func (r *record) forgive(now clock.Time) {
	for r.times > 0 && now.Sub(r.forgiven) >= maxPause {
		r.times--
		r.forgiven = r.forgiven.Add(maxPause)
	}
}

// Reset forgets all targets, those that are set aside included: what a VM's own state explains is no
// target's failure.
func (d *Detector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.records)
}

// Retain drops what is known of targets that were removed or have restarted, and of those that were
// never set aside and have not failed of late.
func (d *Detector) Retain(now clock.Time, known func(target.ID) (incarnation int64, ok bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records {
		if incarnation, ok := known(id); !ok || incarnation != r.incarnation || (r.times == 0 && r.share(now) == 1 && now.Sub(r.ownLast) > ownTTL) {
			delete(d.records, id)
		}
	}
}
