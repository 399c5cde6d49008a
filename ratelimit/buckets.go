package ratelimit

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/retryafter"
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
	pressure  pressure
	// returns assigns a different future token to each refused VM, so that they don't all retry
	// for the same one.
	returns retryafter.Schedule
}

// Request is a VM's request for tokens.
type Request struct {
	// Want is how many tokens to grant while the workspace is within its limit.
	Want int
	// Priority is that of the operations that need tokens now, and Operations is their number.
	// Beyond the limit, no more than Operations are granted.
	Priority, Operations int
}

// Reply is an owner's reply to a Request.
type Reply struct {
	Tokens int
	// RetryAfter is when a token is likely; 0 if some were granted.
	RetryAfter time.Duration
	// Interval is the time between two tokens for this priority while the workspace is beyond its
	// limit; 0 if it is not.
	Interval time.Duration
	// Reserved is set if there were tokens, but only for more urgent operations.
	Reserved bool
}

// Bounded returns the Reply with what no owner replies to a Request replaced by the nearest that one
// does.
func (r Reply) Bounded(to Request) Reply {
	r.Tokens = min(r.Tokens, max(to.Want, to.Operations, 1))
	r.RetryAfter = min(max(r.RetryAfter, 0), maxRetryAfter)
	r.Interval = min(max(r.Interval, 0), maxRetryAfter)
	return r
}

// NewBuckets returns the Buckets of a VM that has just started.
func NewBuckets(margin float64) *Buckets {
	return &Buckets{Margin: margin, buckets: make(map[string]*bucket)}
}

// Grant takes tokens from the bucket of a share of a workspace's limit. If there are none for the
// request, it returns a retry-after.
func (bs *Buckets) Grant(now clock.Time, w *catalog.Workspace, share Share, r Request) Reply {
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
	priority := clampPriority(r.Priority)
	b.pressure.asked.record(now, 1, demandWindow)
	want := max(r.Want, 1)
	if b.pressure.active(now) && r.Operations > 0 {
		want = r.Operations
	}
	reserve := b.pressure.reserve(now, priority, rate, size)
	tokens := min(want, maxTokensPerRequest, int(b.level-reserve))
	if tokens < 1 {
		b.pressure.refused(now, priority, b.level < 1, rate)
		return b.refuse(now, priority, rate, reserve)
	}
	b.level -= float64(tokens)
	b.pressure.spent[priority].record(now, tokens, urgentWindow)
	out := Reply{Tokens: tokens}
	if b.pressure.active(now) {
		out.Interval = interval(rate - b.pressure.urgentRate(now, priority))
	}
	return out
}

// refuse returns a refusal with the time of a future token that was assigned to nobody else.
func (b *bucket) refuse(now clock.Time, priority int, rate, reserve float64) Reply {
	left := rate - b.pressure.urgentRate(now, priority)
	every := interval(left)
	terms := retryafter.Terms{First: cappedSeconds((reserve + 1 - b.level) / max(left, 0)), Interval: every, Max: maxRetryAfter}
	return Reply{RetryAfter: max(b.returns.Next(now, priority, terms), minRetryAfter), Interval: every, Reserved: b.level >= 1}
}

// interval returns the time between two tokens at a rate.
func interval(rate float64) time.Duration { return cappedSeconds(1 / max(rate, 0)) }

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
