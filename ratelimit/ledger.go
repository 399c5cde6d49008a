package ratelimit

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const (
	// startPart is the part of what is tolerated above the limit with which the owners
	// of a workspace start together. A quarter leaves room for owners that start
	// several times in a window.
	startPart = 0.25
	// minComeBack and maxComeBack bound the time after which a VM should ask again.
	minComeBack = 30 * time.Millisecond
	maxComeBack = time.Second
)

// Ledger keeps the buckets of the workspaces that a VM owns a part of. It is for one
// goroutine at a time.
type Ledger struct {
	// Margin is how many operations beyond the limit the deployment tolerates in a
	// window.
	Margin  float64
	buckets map[string]*bucket
}

// bucket holds the tokens of one part of a workspace's limit.
type bucket struct {
	level float64
	at    clock.Time
	// promised is when the last of those that were told to come back was told to.
	promised clock.Time
}

// NewLedger returns a Ledger of a VM that has just started.
func NewLedger(margin float64) *Ledger {
	return &Ledger{Margin: margin, buckets: make(map[string]*bucket)}
}

// Grant takes tokens of a part of a workspace's limit. If there are none, it says when to
// come back.
func (l *Ledger) Grant(now clock.Time, w *catalog.Workspace, part Part, want int) (tokens int, comeBack time.Duration) {
	parts := float64(part.Of)
	rate := w.Rate / parts
	size := max((w.Burst+l.Margin*startPart)/parts, 1)
	b := l.buckets[w.Name]
	if b == nil || b.at < part.Since {
		b = &bucket{level: l.Margin * startPart / parts, at: part.Since}
		l.buckets[w.Name] = b
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), size)
	b.at = now
	if b.level < 1 {
		return 0, b.comeBack(now, rate)
	}
	tokens = min(max(want, 1), int(b.level))
	b.level -= float64(tokens)
	return tokens, 0
}

// comeBack promises each that asks in vain another token of those to come, so that not
// all return for the same one.
func (b *bucket) comeBack(now clock.Time, rate float64) time.Duration {
	if rate <= 0 {
		return maxComeBack
	}
	first := now.Add(seconds((1 - b.level) / rate))
	b.promised = max(first, b.promised.Add(seconds(1/rate)))
	b.promised = min(b.promised, now.Add(maxComeBack))
	return max(b.promised.Sub(now), minComeBack)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxComeBack.Seconds()) * float64(time.Second))
}

// Keep forgets the workspaces that are gone.
func (l *Ledger) Keep(known map[string]*catalog.Workspace) {
	for name := range l.buckets {
		if known[name] == nil {
			delete(l.buckets, name)
		}
	}
}
