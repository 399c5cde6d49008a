// Package freshness decides which log position a read must see, from evidence
// of where a service's primary stood at a known moment.
//
// Evidence is a sample and a witness. A sample is a position that the primary
// of a term gave in answer to a question sent at some moment: every commit that
// it had acknowledged before that moment is at or below the position. A witness
// is a replica that, asked at a later moment, still followed that term and had
// not been paused for a later one. A promotion pauses every replica first, so
// no later primary can have acknowledged anything before the witness was asked.
// Both together prove that a log which holds the position lacks no commit
// acknowledged before the sample's question was sent.
//
// A sample alone proves nothing: a superseded primary that is cut off from its
// peers still answers, and a newer primary may have acknowledged commits that
// it will never see. Nor is the primary of a term ever a witness for it, also
// not when it calls itself a replica, having stepped down: it goes on in its
// own log until it meets its successor.
//
// The package is pure.
package freshness

import (
	"slices"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// maxSamples bounds a service's samples. With sampleEvery they span the
	// longest age that routes are known to accept, 2.5 s, and some more.
	maxSamples = 64
	// sampleEvery is the least time between two samples.
	sampleEvery = 50 * time.Millisecond
	// margin is taken off the accepted age: the read's own way to the target.
	margin = 50 * time.Millisecond
)

type sample struct {
	sent     clock.Time
	position timeline.Position
}

// Board keeps one service's evidence. It is safe for concurrent use.
type Board struct {
	mu        sync.Mutex
	term      timeline.Term
	leader    target.ID // the primary of term; empty if it is not known
	samples   []sample
	witnessed clock.Time
}

// Sample records that the primary of a term stood at a position when it
// answered a question sent at the given moment.
func (b *Board) Sample(term timeline.Term, leader target.ID, sent clock.Time, p timeline.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.enter(term, leader) || p.IsZero() {
		return
	}
	n := len(b.samples)
	if n > 0 && sent.Sub(b.samples[n-1].sent) < sampleEvery {
		return
	}
	if n == maxSamples {
		copy(b.samples, b.samples[1:])
		b.samples = b.samples[:n-1]
	}
	b.samples = append(b.samples, sample{sent: sent, position: p})
}

// Witness records that a replica, asked at the given moment, followed the term
// and was not paused for a later one.
func (b *Board) Witness(term timeline.Term, from target.ID, asked clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.enter(term, "") && b.mayWitness(from) && asked.After(b.witnessed) {
		b.witnessed = asked
	}
}

// WitnessByRecord records that the store, asked at the given moment, had no
// record of a promotion after that of the term's leader.
func (b *Board) WitnessByRecord(term timeline.Term, leader target.ID, asked clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.enter(term, leader) && asked.After(b.witnessed) {
		b.witnessed = asked
	}
}

// mayWitness reports whether a target's word counts for the present term.
func (b *Board) mayWitness(from target.ID) bool { return b.leader != "" && from != b.leader }

// Seen records that a replica's log stood at a position of the term. It is a
// witness for every sample below: what lies beyond the sample was committed
// after the primary had answered, and a paused replica would not have received
// it. Reads at replicas so renew the evidence without a question of our own.
func (b *Board) Seen(from target.ID, p timeline.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Term != b.term || !b.mayWitness(from) {
		return
	}
	for i := len(b.samples) - 1; i >= 0; i-- {
		s := &b.samples[i]
		if s.position.Term == p.Term && s.position.LSN < p.LSN {
			if s.sent.After(b.witnessed) {
				b.witnessed = s.sent
			}
			return
		}
	}
}

// enter moves on to a later term, whose evidence starts anew. It reports
// whether evidence of the given term counts. An empty leader is not known.
func (b *Board) enter(term timeline.Term, leader target.ID) bool {
	if term > b.term {
		b.term, b.leader, b.samples, b.witnessed = term, "", b.samples[:0], 0
	}
	if term == b.term && b.leader == "" {
		b.leader = leader
	}
	return term == b.term
}

// Floor returns the lowest position that proves an age of at most maxAge. The
// oldest sample that is young enough is taken: replicas most likely hold it.
func (b *Board) Floor(now clock.Time, maxAge time.Duration) (timeline.Position, bool) {
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

// Sampled returns when the newest sample of a term was asked for; zero if there is
// none.
func (b *Board) Sampled(term timeline.Term) clock.Time {
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
	// Witnessed is when the latest witness of the term was asked; zero is not before At.
	Witnessed clock.Time
}

// Stood returns the position that the leader of a term told last; the zero one if
// it has told none.
//
// Failure guarded against: the primary starts again, empty, and a read that must
// see everything is sent there before anybody has noticed. It is answered from
// nothing. A log holds what its own target has told in the same term, unless it is
// another log: asked for this position, such a target refuses the read.
func (b *Board) Stood(term timeline.Term, leader target.ID) timeline.Position {
	b.mu.Lock()
	defer b.mu.Unlock()
	if term != b.term || leader != b.leader || len(b.samples) == 0 {
		return timeline.Position{}
	}
	return b.samples[len(b.samples)-1].position
}

// Newest returns the newest proof; false if there is none.
func (b *Board) Newest() (Proof, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.samples) - 1; i >= 0; i-- {
		if s := b.samples[i]; !s.sent.After(b.witnessed) {
			return Proof{Term: b.term, Leader: b.leader, At: s.sent, Position: s.position, Witnessed: b.witnessed}, true
		}
	}
	return Proof{}, false
}

// Relay takes over another VM's proof, with its moment on this VM's clock.
func (b *Board) Relay(p Proof) {
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
	if i > 0 && p.At.Sub(b.samples[i-1].sent) < sampleEvery {
		return
	}
	b.samples = slices.Insert(b.samples, i, sample{sent: p.At, position: p.Position})
	if len(b.samples) > maxSamples {
		b.samples = slices.Delete(b.samples, 0, 1)
	}
}

// WitnessedSince reports whether a witness of the term was asked at or after a
// moment.
func (b *Board) WitnessedSince(term timeline.Term, since clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return term == b.term && b.witnessed != 0 && !b.witnessed.Before(since)
}
