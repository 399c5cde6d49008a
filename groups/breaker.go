package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

const (
	// openAfter is how long no request that needs the primary must have been served before requests
	// are refused at once: about the time in which a dead primary is detected and another one
	// leads.
	openAfter = 700 * time.Millisecond
	// probeInterval is how often one request is admitted meanwhile, to detect that the failure has
	// ended.
	probeInterval = 200 * time.Millisecond
	// failureGap is the time without a failure after which a run of failures has ended. A request
	// that is admitted as a probe fails after 1 to 2 s, its statement timeout.
	failureGap = 2500 * time.Millisecond
)

// Breaker decides whether requests should wait for a service's primary, from this VM's own
// observations. It is safe for concurrent use.
//
// Failure guarded against: a network partition leaves a VM on one side with a primary that can
// confirm nothing. Every request waits there until its statement timeout and then has no time left
// for another VM, which may reach the current primary.
type Breaker struct {
	mu       sync.Mutex
	failures eventRun
	probed   clock.Time
}

// Failed records that the primary was unknown, did not answer, confirmed nothing or could not be
// proven to lead.
func (b *Breaker) Failed(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures.record(now, failureGap)
}

// Served records that a request that needed the primary was served, or that another target became
// the primary.
func (b *Breaker) Served() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = eventRun{}
}

// Admits reports whether a request that needs the primary should be tried rather than refused at
// once.
func (b *Breaker) Admits(now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures.duration(now, failureGap) < openAfter {
		return true
	}
	if now.Sub(b.probed) < probeInterval {
		return false
	}
	b.probed = now
	return true
}
