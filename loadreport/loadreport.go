// Package loadreport keeps what the VMs that hold connections to a target report of it: how long a
// request waits there, how long the target takes, how many statements get no answer. A VM that sends
// a target less than a statement a second cannot know this from its own.
//
// A report is worth less as it ages: the wait that it states falls to nothing until MaxAge. Ages are
// counted from a time before the report was made, so that no common clock is needed.
//
// Start with Book. The package does no I/O and reads no clock.
package loadreport

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

const (
	// MaxAge is the age from which a report is worth nothing: a queue that was reported is served,
	// or was refused, by then.
	MaxAge = time.Second
	// maxFullAge is how long a target counts as full after it was reported overloaded. It covers
	// two rounds of pulls, the way of a report to most of the fleet.
	maxFullAge = 500 * time.Millisecond
	// maxReporters bounds the reporters of one target whose reports are kept: its gateways, and
	// those that a change of the fleet replaces.
	maxReporters = 4
	// MaxShared bounds the reports that one pull carries.
	MaxShared = 4
	// MaxStatements bounds the statements that a report covers.
	MaxStatements = 32
)

// Report is what a VM has observed of a target.
type Report struct {
	Target target.ID
	// Reporter is the VM that made the report.
	Reporter string
	// Incarnation is the target's; 0 if unknown.
	Incarnation int64
	// At is not later than the report.
	At clock.Time
	// Wait is the expected wait for a connection.
	Wait time.Duration
	// ServiceTime is the average time that the target takes for a statement; 0 if it is usual.
	ServiceTime time.Duration
	// Failed is the fraction of recent statements without a complete answer, and Errored of those that
	// were answered with an error that may be the target's. Reads are placed by the former only: why a
	// statement is an error may lie in the statement.
	Failed, Errored float64
	// Statements is the number of statements that both cover, MaxStatements at most; 0 if the reporter
	// does not count them.
	Statements int
	// Overloaded is set while the reporter refuses requests that would be late.
	Overloaded bool
}

// Calm reports whether the report says no more than a VM without reports assumes.
func (r Report) Calm() bool {
	return r.Wait == 0 && r.ServiceTime == 0 && r.Failed == 0 && r.Errored == 0 && !r.Overloaded
}

// Estimate is what the reports of a target are worth at one time. The zero Estimate says that there
// are none.
type Estimate struct {
	Known             bool
	Wait, ServiceTime time.Duration
	Failed            float64
	// Overloaded is set if the target recently refused requests that would have been late.
	Overloaded bool
}

// Book holds the newest report of each target and reporter. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	reports map[target.ID][]Report
	// newestFailure is the newest time of a report of counted failures.
	newestFailure clock.Time
}

// NewBook returns a Book without reports.
func NewBook() *Book { return &Book{reports: make(map[target.ID][]Report)} }

// Record keeps a report unless the Book has a newer one of the same reporter.
func (b *Book) Record(r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.countsFailures() {
		b.newestFailure = max(b.newestFailure, r.At)
	}
	all := b.reports[r.Target]
	i := slices.IndexFunc(all, func(o Report) bool { return o.Reporter == r.Reporter })
	switch {
	case i >= 0 && !all[i].At.Before(r.At):
	case i >= 0:
		all[i] = r
	case len(all) < maxReporters:
		b.reports[r.Target] = append(all, r)
	default:
		oldest := slices.MinFunc(all, func(x, y Report) int { return cmp.Compare(x.At, y.At) })
		i = slices.IndexFunc(all, func(o Report) bool { return o.Reporter == oldest.Reporter })
		if all[i].At.Before(r.At) {
			all[i] = r
		}
	}
}

// Estimate returns what is known of a target at which this VM's requests wait at the VM via. If
// reports contradict each other, that VM's counts; if it has none, the newest. Reports of another
// incarnation of the target say nothing.
func (b *Book) Estimate(id target.ID, incarnation int64, via string, now clock.Time) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best Report
	for _, r := range b.reports[id] {
		if now.Sub(r.At) >= MaxAge || !sameIncarnation(r.Incarnation, incarnation) {
			continue
		}
		if r.Reporter == via {
			best = r
			break
		}
		if best.At < r.At {
			best = r
		}
	}
	if best.Target == "" {
		return Estimate{}
	}
	age := max(now.Sub(best.At), 0)
	worth := 1 - float64(age)/float64(MaxAge)
	return Estimate{
		Known: true, Wait: time.Duration(worth * float64(best.Wait)), ServiceTime: best.ServiceTime, Failed: worth * best.Failed,
		Overloaded: best.Overloaded && age < maxFullAge,
	}
}

// countsFailures reports whether the report says how many statements its failures are of.
func (r Report) countsFailures() bool { return r.Failed+r.Errored > 0 && r.Statements > 0 }

// queued reports whether requests wait at the target, or are refused.
func (r Report) queued() bool { return r.Wait > 0 || r.Overloaded }

// Failures reports whether any current report counts failures.
func (b *Book) Failures(now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newestFailure != 0 && now.Sub(b.newestFailure) < MaxAge
}

// Failing returns the current reports of a target that count failures.
func (b *Book) Failing(id target.ID, incarnation int64, now clock.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for _, r := range b.reports[id] {
		if r.countsFailures() && now.Sub(r.At) < MaxAge && sameIncarnation(r.Incarnation, incarnation) {
			out = append(out, r)
		}
	}
	return out
}

// sameIncarnation reports whether two incarnations may be the same; 0 is unknown.
func sameIncarnation(x, y int64) bool { return x == 0 || y == 0 || x == y }

// Share returns the reports that are worth passing on to a VM that uses the targets for which
// selected returns true: of each target and reporter the newest that is not calm, those of queues
// and then the newest first, MaxShared at most.
func (b *Book) Share(now clock.Time, selected func(target.ID) bool) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for id, all := range b.reports {
		if !selected(id) {
			continue
		}
		for _, r := range all {
			if !r.Calm() && now.Sub(r.At) < maxFullAge {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(x, y Report) int {
		if x.queued() != y.queued() {
			if x.queued() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.At, x.At), cmp.Compare(y.Wait, x.Wait), cmp.Compare(x.Target, y.Target), cmp.Compare(x.Reporter, y.Reporter))
	})
	return out[:min(len(out), MaxShared)]
}

// Retain drops the reports of targets that were removed, and those of another incarnation than the
// target's.
func (b *Book) Retain(known func(target.ID) (incarnation int64, ok bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, all := range b.reports {
		incarnation, ok := known(id)
		all = slices.DeleteFunc(all, func(r Report) bool {
			return !ok || !sameIncarnation(r.Incarnation, incarnation)
		})
		if b.reports[id] = all; len(all) == 0 {
			delete(b.reports, id)
		}
	}
}
