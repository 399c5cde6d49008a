package ratelimit

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const (
	// startFraction is the fraction of the tolerated excess that the owners of a workspace
	// together start with. A quarter leaves room for owners that restart several times in
	// a window.
	startFraction = 0.25
	// minRetryAfter and maxRetryAfter bound the retry-after that a VM receives.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = time.Second
)

// Buckets holds the token buckets of the workspaces that this VM owns a share of. It is not
// safe for concurrent use.
type Buckets struct {
	// Margin is the number of operations beyond the limit that the deployment tolerates
	// in a window.
	Margin  float64
	buckets map[string]*bucket
}

// bucket holds the tokens of one share of a workspace's limit.
type bucket struct {
	level     float64
	updatedAt clock.Time
	// lastRetryAt is the latest time at which a refused VM was asked to retry.
	lastRetryAt clock.Time
}

// NewBuckets returns the Buckets of a VM that has just started.
func NewBuckets(margin float64) *Buckets {
	return &Buckets{Margin: margin, buckets: make(map[string]*bucket)}
}

// Grant takes up to want tokens from the bucket of a share of a workspace's limit. If the
// bucket is empty, it returns 0 and a retry-after.
func (bs *Buckets) Grant(now clock.Time, w *catalog.Workspace, share Share, want int) (tokens int, retryAfter time.Duration) {
	owners := float64(share.Owners)
	rate := w.Rate / owners
	size := max((w.Burst+bs.Margin*startFraction)/owners, 1)
	b := bs.buckets[w.Name]
	if b == nil || b.updatedAt < share.Since {
		b = &bucket{level: bs.Margin * startFraction / owners, updatedAt: share.Since}
		bs.buckets[w.Name] = b
	}
	b.level = min(b.level+rate*now.Sub(b.updatedAt).Seconds(), size)
	b.updatedAt = now
	if b.level < 1 {
		return 0, b.retryAfter(now, rate)
	}
	tokens = min(max(want, 1), int(b.level))
	b.level -= float64(tokens)
	return tokens, 0
}

// retryAfter assigns a different future token to each refused VM, so that they don't all
// retry for the same one.
func (b *bucket) retryAfter(now clock.Time, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	first := now.Add(cappedSeconds((1 - b.level) / rate))
	b.lastRetryAt = max(first, b.lastRetryAt.Add(cappedSeconds(1/rate)))
	b.lastRetryAt = min(b.lastRetryAt, now.Add(maxRetryAfter))
	return max(b.lastRetryAt.Sub(now), minRetryAfter)
}

func cappedSeconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Retain drops the buckets of workspaces that are not in known.
func (bs *Buckets) Retain(known map[string]*catalog.Workspace) {
	for name := range bs.buckets {
		if known[name] == nil {
			delete(bs.buckets, name)
		}
	}
}
