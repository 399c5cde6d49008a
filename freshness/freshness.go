// Package freshness decides which log position a read must see, from evidence of the position of a
// service's primary at a known time. Begin with Tracker and Proof.
//
// Evidence is a sample and a witness. A sample is a position that the primary of a term reported in
// reply to a status query sent at a known time: every commit that it had acknowledged before that
// time is at or below the position. A witness is a replica that, in reply to a later query, still
// followed that term and had not been paused for a later one. A promotion pauses every replica
// first, so no later primary can have acknowledged anything before the witness was queried. Both
// together prove that a log which holds the position lacks no commit acknowledged before the
// sample's query was sent. As a promotion ends the pauses, the word of one replica counts only up to
// a time; see Sufficiency.
//
// A sample alone proves nothing: a superseded primary that is cut off from its peers still answers,
// and a newer primary may have acknowledged commits that it will never receive. Nor is the primary
// of a term ever a witness for that term, even if it reports the role replica after it has stepped
// down: it continues in its own log until it receives from its successor.
//
// The package makes no calls; its caller supplies all observations.
package freshness

import (
	"math"
	"slices"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// maxSamples bounds a service's samples. With sampleInterval they cover the longest age that
	// routes are known to accept, 2.5 s, with a margin.
	maxSamples = 64
	// sampleInterval is the least time between two samples.
	sampleInterval = 50 * time.Millisecond
	// margin is deducted from the accepted age for the time in which the read reaches its target.
	margin = 50 * time.Millisecond
)

type sample struct {
	sent     clock.Time
	position timeline.Position
}

// Tracker holds one service's evidence. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	term      timeline.Term
	leader    target.ID // the primary of term; empty if it is not known
	samples   []sample
	witnessed clock.Time
	reports   map[target.ID]clock.Time // when each replica was last known to follow term
}

// Sample records that the primary of a term reported a position in reply to a status query sent at
// the given time.
func (b *Tracker) Sample(term timeline.Term, leader target.ID, sent clock.Time, p timeline.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.enter(term, leader) || p.IsZero() {
		return
	}
	n := len(b.samples)
	if n > 0 && sent.Sub(b.samples[n-1].sent) < sampleInterval {
		return
	}
	if n == maxSamples {
		copy(b.samples, b.samples[1:])
		b.samples = b.samples[:n-1]
	}
	b.samples = append(b.samples, sample{sent: sent, position: p})
}

// Sufficiency says which reports of replicas prove that the primary has not been replaced.
//
// Failure guarded against: a promotion ends all pauses, and a replica that does not reach the new primary
// continues to report the old term, without a pause. A VM that is cut off takes it for a witness, and
// reads at the old primary what another target has overwritten.
type Sufficiency struct {
	// At is when the report was received.
	At clock.Time
	// Primary is the primary that the records name; empty if they name none, or one that is being replaced.
	// Deposed are those that may be replaced by a known attempt, and After is the latest term that was known
	// before it. The report of one replica proves no other than Primary, none of Deposed, and none of a term
	// up to After.
	Primary target.ID
	Deposed []target.ID
	After   timeline.Term
	// Alone is the time up to which a report of one replica proves it: no promotion can have taken effect
	// before without this VM knowing of it, and so have ended the replica's pause.
	Alone clock.Time
	// Chain is how long after a witness one replica's report proves it as well, whichever source the witness
	// had; 0 if it does not. A promotion takes effect at least that long after the fences of its attempt, and
	// a witness shows that these were not complete. So each report carries the time of the next one on.
	Chain time.Duration
	// Targets are the service's targets. If all of them but the primary have reported, which includes
	// whichever was promoted, that proves it at any time.
	Targets []target.ID
}

// Unlimited is a Sufficiency by which each report proves it.
var Unlimited = Sufficiency{Alone: math.MaxInt64}

// Witness records that a replica, queried at the given time, followed the term and was not paused
// for a later one.
func (b *Tracker) Witness(term timeline.Term, from target.ID, queried clock.Time, rule Sufficiency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.enter(term, "") && b.mayWitness(from) {
		b.report(from, queried, rule)
	}
}

// report records a replica's report as of a time.
func (b *Tracker) report(from target.ID, at clock.Time, rule Sufficiency) {
	if b.reports == nil {
		b.reports = make(map[target.ID]clock.Time)
	}
	b.reports[from] = max(b.reports[from], at)
	if b.mayBeProven(rule) && (rule.At <= rule.Alone || b.chains(rule)) {
		b.witnessed = max(b.witnessed, at)
	}
	b.witnessed = max(b.witnessed, b.reportedByAll(rule.Targets))
}

// mayBeProven reports whether the report of one replica may prove the leader.
func (b *Tracker) mayBeProven(rule Sufficiency) bool {
	return (rule.Primary == "" || rule.Primary == b.leader) && b.term > rule.After && !slices.Contains(rule.Deposed, b.leader)
}

// chains reports whether a report follows the latest witness soon enough.
func (b *Tracker) chains(rule Sufficiency) bool {
	return b.witnessed != 0 && rule.At.Sub(b.witnessed) < rule.Chain
}

// reportedByAll returns the time as of which all targets but the primary have reported; 0 if one has not, or
// if there are too few of them for a promotion.
func (b *Tracker) reportedByAll(targets []target.ID) clock.Time {
	others, earliest := 0, clock.Time(math.MaxInt64)
	for _, id := range targets {
		if id != b.leader {
			others++
			earliest = min(earliest, b.reports[id])
		}
	}
	if others < takeover.RequiredFenced {
		return 0
	}
	return earliest
}

// Leads records which target is the primary of a term.
func (b *Tracker) Leads(term timeline.Term, leader target.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enter(term, leader)
}

// WitnessByRecord records that the store, queried at the given time, had no record of a promotion
// after that of the term's leader.
func (b *Tracker) WitnessByRecord(term timeline.Term, leader target.ID, queried clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.enter(term, leader) && queried.After(b.witnessed) {
		b.witnessed = queried
	}
}

// mayWitness reports whether a target's status can be a witness for the current term.
func (b *Tracker) mayWitness(from target.ID) bool { return b.leader != "" && from != b.leader }

// Seen records that a replica's log was at a position of the term. It is a witness for every sample
// below that position: what lies beyond the sample was committed after the primary had replied, and
// a paused replica would not have received it. Reads at replicas thereby renew the evidence without
// a status query.
func (b *Tracker) Seen(from target.ID, p timeline.Position, rule Sufficiency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Term != b.term || !b.mayWitness(from) {
		return
	}
	for i := len(b.samples) - 1; i >= 0; i-- {
		s := &b.samples[i]
		if s.position.Term == p.Term && s.position.LSN < p.LSN {
			b.report(from, s.sent, rule)
			return
		}
	}
}

// enter starts a later term, with no evidence yet, and reports whether evidence of the given term
// counts. An empty leader means that it is not known.
func (b *Tracker) enter(term timeline.Term, leader target.ID) bool {
	if term > b.term {
		b.term, b.leader, b.samples, b.witnessed = term, "", b.samples[:0], 0
		clear(b.reports)
	}
	if term == b.term && b.leader == "" {
		b.leader = leader
	}
	return term == b.term
}

// Floor returns the lowest position that proves an age of at most maxAge. It uses the oldest sample
// that is recent enough, since replicas are the most likely to hold it.
func (b *Tracker) Floor(now clock.Time, maxAge time.Duration) (timeline.Position, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := now.Add(margin - maxAge)
	for _, s := range b.samples {
		if s.sent.Before(oldest) {
			continue
		}
		if s.sent.After(b.witnessed) {
			break
		}
		return s.position, true
	}
	return timeline.Position{}, false
}

// Sampled returns when the query for the newest sample of a term was sent; zero if there is no
// sample.
func (b *Tracker) Sampled(term timeline.Term) clock.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if term != b.term || len(b.samples) == 0 {
		return 0
	}
	return b.samples[len(b.samples)-1].sent
}

// Proof is a proven sample: a log that holds Position lacks no commit
// acknowledged before At.
type Proof struct {
	Term     timeline.Term
	Leader   target.ID
	At       clock.Time
	Position timeline.Position
	// Witnessed is when the latest witness of the term was queried; zero stands for At.
	Witnessed clock.Time
}

// LastPosition returns the position that the leader of a term reported last; zero if it has
// reported none.
//
// Failure guarded against: the primary restarts with an empty log, and a read that must see
// everything is sent there before any VM has detected the restart, and is answered from the empty
// log. A log holds every position that its own target has reported in the same term, unless it is
// another log: required to hold this position, such a target refuses the read.
func (b *Tracker) LastPosition(term timeline.Term, leader target.ID) timeline.Position {
	b.mu.Lock()
	defer b.mu.Unlock()
	if term != b.term || leader != b.leader || len(b.samples) == 0 {
		return timeline.Position{}
	}
	return b.samples[len(b.samples)-1].position
}

// Newest returns the newest proof; false if there is none.
func (b *Tracker) Newest() (Proof, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.samples) - 1; i >= 0; i-- {
		if s := b.samples[i]; !s.sent.After(b.witnessed) {
			return Proof{Term: b.term, Leader: b.leader, At: s.sent, Position: s.position, Witnessed: b.witnessed}, true
		}
	}
	return Proof{}, false
}

// MergeProof merges another VM's proof, whose times are converted to this VM's clock.
func (b *Tracker) MergeProof(p Proof) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.enter(p.Term, p.Leader) {
		return
	}
	b.witnessed = max(b.witnessed, p.At, p.Witnessed)
	i := len(b.samples)
	for i > 0 && b.samples[i-1].sent.After(p.At) {
		i--
	}
	if i > 0 && p.At.Sub(b.samples[i-1].sent) < sampleInterval {
		return
	}
	b.samples = slices.Insert(b.samples, i, sample{sent: p.At, position: p.Position})
	if len(b.samples) > maxSamples {
		b.samples = slices.Delete(b.samples, 0, 1)
	}
}

// WitnessedSince reports whether a witness of the term was queried at or after a time.
func (b *Tracker) WitnessedSince(term timeline.Term, since clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return term == b.term && b.witnessed != 0 && !b.witnessed.Before(since)
}
