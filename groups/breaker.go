package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Cause is why no request that needs a service's primary is served.
type Cause uint8

const (
	// NoCause means that requests are served, as far as is known.
	NoCause Cause = iota
	// NoPrimary: no target is known to lead, or the one that led is being replaced.
	NoPrimary
	// Unproven: the primary answers, and nothing proves that it still leads.
	Unproven
	// Unresponsive: the primary does not answer.
	Unresponsive
	// Stalled: the primary confirms no write.
	Stalled
	// NoEvidence: nothing shows how fresh the replicas are.
	NoEvidence
	causes
)

var causeNames = [causes]string{"none", "no-primary", "unproven", "unresponsive", "stalled", "no-evidence"}

// String returns the cause's name in logs.
func (c Cause) String() string { return causeNames[c] }

// Need is what a request needs of a service.
type Need uint8

const (
	// Evidence is what bounded-staleness reads need.
	Evidence Need = iota
	// ExactRead is an answer of the primary, and a proof that it leads.
	ExactRead
	// Write is all that an exact read needs, and a confirmation.
	Write
)

const (
	// usualOutage is how long an outage usually lasts, until one was measured: about the time in which
	// a dead primary is detected and another one leads.
	usualOutage = 700 * time.Millisecond
	// minUsualOutage and maxUsualOutage bound what is learned. An outage that outlasts maxUsualOutage
	// outlasts its callers too, and does not show how long it is worth waiting.
	minUsualOutage = 300 * time.Millisecond
	maxUsualOutage = 2 * time.Second
	// outageWeight is the weight of the latest outage in the mean.
	outageWeight = 0.25
	// minProbeInterval and maxProbeInterval bound how often one request is admitted during an outage, to
	// detect that it has ended. A VM of a large fleet has about one request a second for a service:
	// with the shortest interval it would admit all of them.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = time.Second
	// probeFraction is the fraction of an outage's duration after which the next request is admitted:
	// its end is detected late by no more than this fraction.
	probeFraction = 0.25
	// failureGap is the time without a failure after which a run of failures has ended. A request
	// that is admitted as a probe fails after 1 to 2 s, its statement timeout.
	failureGap = 2500 * time.Millisecond
)

// Need returns what requests that meet the cause need.
func (c Cause) Need() Need {
	switch c {
	case NoEvidence:
		return Evidence
	case Stalled:
		return Write
	default:
		return ExactRead
	}
}

// concerns reports whether a cause keeps a request from what it needs.
func (c Cause) concerns(n Need) bool {
	return c.Need() == n || (n == Write && c.Need() == ExactRead)
}

// outage is what is known of one cause. The zero value is ready to use.
type outage struct {
	failures eventRun
	// measured is set if a failure has told when its request began to wait.
	measured bool
	// usual is the mean duration of earlier outages; 0 until one was measured.
	usual time.Duration
	// returns assigns the return times of callers refused for this cause.
	returns Returns
}

func (o *outage) usualDuration() time.Duration {
	if o.usual == 0 {
		return usualOutage
	}
	return o.usual
}

// isActive reports whether the outage lasts.
func (o *outage) isActive(now clock.Time) bool {
	return o.failures.last != 0 && now.Sub(o.failures.last) <= failureGap
}

// probeInterval returns how often one request is admitted. If it is not known when the outage began,
// the interval is the shortest.
func (o *outage) probeInterval(lasted time.Duration) time.Duration {
	if !o.measured {
		return minProbeInterval
	}
	return min(max(time.Duration(probeFraction*float64(lasted)), minProbeInterval), maxProbeInterval)
}

// end ends the outage and learns from its duration, if its beginning is known.
func (o *outage) end(now clock.Time) {
	lasted, measured := o.failures.duration(now, failureGap), o.measured
	o.failures, o.measured = eventRun{}, false
	if !measured || lasted < minUsualOutage || lasted > maxUsualOutage {
		return
	}
	usual := o.usualDuration()
	o.usual = usual + time.Duration(outageWeight*float64(lasted-usual))
}

// Breaker decides whether requests should wait for a service's primary, from this VM's own
// observations, which it keeps by cause. It is safe for concurrent use.
//
// Failure guarded against: a network partition leaves a VM on one side with a primary that can
// confirm nothing. Every request waits there until its statement timeout and then has no time left
// for another VM, which may reach the current primary.
type Breaker struct {
	mu      sync.Mutex
	outages [causes]outage
	// probedPrimary and probedEvidence are when a request was last admitted in an outage.
	probedPrimary, probedEvidence clock.Time
}

// Failed records that a request that began to wait at some time was not served for a cause.
func (b *Breaker) Failed(now, since clock.Time, c Cause) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := &b.outages[c]
	o.failures.recordSince(since, now, failureGap)
	o.measured = o.measured || since.Before(now)
}

// Served records that a request got what it needed. What serves a write serves exact reads as well,
// and with these comes evidence.
func (b *Breaker) Served(now clock.Time, n Need) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range causes {
		for served := Evidence; served <= n; served++ {
			if c.concerns(served) {
				b.outages[c].end(now)
			}
		}
	}
}

// Admits reports whether a request should be tried rather than refused at once, and the cause for
// which it is refused. Causes that follow one another, as in a change of primary, are one outage.
func (b *Breaker) Admits(now clock.Time, n Need) (Cause, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := b.since(now, n)
	for c := range causes {
		o := &b.outages[c]
		if !c.concerns(n) || !o.isActive(now) || now.Sub(since) < o.usualDuration() {
			continue
		}
		probed := &b.probedPrimary
		if n == Evidence {
			probed = &b.probedEvidence
		}
		if now.Sub(*probed) < o.probeInterval(now.Sub(since)) {
			return c, false
		}
		*probed = now
		break
	}
	return NoCause, true
}

// Since returns when the present outage began that concerns a need; 0 if there is none.
func (b *Breaker) Since(now clock.Time, n Need) clock.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since(now, n)
}

func (b *Breaker) since(now clock.Time, n Need) clock.Time {
	var oldest clock.Time
	for c := range causes {
		o := &b.outages[c]
		if c.concerns(n) && o.isActive(now) && (oldest == 0 || o.failures.since.Before(oldest)) {
			oldest = o.failures.since
		}
	}
	return oldest
}

// Usual returns how long an outage of a cause usually lasts.
func (b *Breaker) Usual(c Cause) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outages[c].usualDuration()
}

// RetryAfter returns the retry-after of one more caller that is refused for a cause, and has the
// given time left; 0 if the outage is not expected to end in that time.
func (b *Breaker) RetryAfter(now clock.Time, c Cause, priority int, left time.Duration, jitter float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := &b.outages[c]
	remaining := o.usualDuration() - o.failures.duration(now, failureGap)
	return o.returns.Next(now, priority, remaining, left, jitter)
}
