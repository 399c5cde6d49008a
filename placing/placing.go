// Package placing chooses the target of a read. It ranks the candidates by the expected time to the
// answer: the wait that a gateway reported, the target's recent latency, multiplied by the number of
// this VM's requests there, and the cost of crossing zones. Targets that recently failed, were slow
// or lagged are detected from the results of requests alone.
//
// It also bounds how long one try may take; see Bounds.
//
// Start with Tracker: record results with Served, Failed and Lagged, and rank with Choose. The
// package sends no requests, starts no goroutines and reads no clock.
package placing

import (
	"math"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

const (
	// defaultLatency is assumed for a target without measurements: the time of a typical read.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average, which thus covers about
	// the last eight.
	latencyWeight = 0.125
	// latencyDecay is the time constant with which the latency of a target without requests returns
	// to defaultLatency, so that a target that was slow is tried again.
	latencyDecay = 2 * time.Second
	// crossZoneCost is the cost of leaving the availability zone, as an expected time: the round
	// trip and the price of the transferred bytes.
	crossZoneCost = 4 * time.Millisecond
	// primaryCost is added for the primary, because only the primary serves writes and a read there
	// delays them. Without reports the primary is chosen once both replicas have about five of this
	// VM's reads; with them, it takes a part of the reads once the preferred replica has a queue.
	primaryCost = 80 * time.Millisecond
	// failurePause is how long a target that failed remains a last resort.
	failurePause = 500 * time.Millisecond
	// lagPause is how long a replica that lacked the required position is skipped: about a typical
	// replication delay. It doubles each time until the replica serves again, up to maxLagPause:
	// otherwise every VM would send ten reads a second to a replica that is seconds behind.
	lagPause    = 100 * time.Millisecond
	maxLagPause = 800 * time.Millisecond
	// lastResortCost is added for a target that recently failed or lagged.
	lastResortCost = 10 * time.Second
	// avoidedCost is added for a target that fails a part of its statements: more than any wait, so
	// that it serves reads only if the others are full or last resorts.
	avoidedCost = 5 * time.Second
)

type record struct {
	latency      float64 // nanoseconds
	recordedAt   clock.Time
	failedUntil  clock.Time // last resort until then
	laggingUntil clock.Time // skipped until then
	lags         int        // number of lags since it last served
	// incarnation is the target's incarnation at the last Retain; 0 before the first.
	incarnation int64
}

// Tracker tracks the latency, failures and lag of each target, as measured by requests. It is safe
// for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[target.ID]*record
	classes map[uint32]*answerTimes
}

// NewTracker returns a Tracker without measurements.
func NewTracker() *Tracker {
	return &Tracker{records: make(map[target.ID]*record), classes: make(map[uint32]*answerTimes)}
}

// Served records that a target served a statement of a class, and the latency.
func (t *Tracker) Served(id target.ID, class uint32, now clock.Time, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class(class).add(now, took)
	r := t.record(id)
	r.latency = r.decayedLatency(now)*(1-latencyWeight) + float64(took)*latencyWeight
	r.recordedAt = now
	r.failedUntil, r.lags = 0, 0
}

// Failed records that a target broke the connection or did not answer.
func (t *Tracker) Failed(id target.ID, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id).failedUntil = now.Add(failurePause)
}

// Lagged records that a replica lacked the required position.
func (t *Tracker) Lagged(id target.ID, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if now.Before(r.laggingUntil) {
		return
	}
	r.laggingUntil = now.Add(min(lagPause<<r.lags, maxLagPause))
	r.lags = min(r.lags+1, maxLags)
}

// maxLags bounds the count of lags. It is high enough for the pause to reach maxLagPause.
const maxLags = 8

// Retain drops the records of targets that were removed or have restarted. Known returns a target's
// incarnation, and false if it was removed.
func (t *Tracker) Retain(known func(target.ID) (incarnation int64, ok bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropClasses()
	for id, r := range t.records {
		incarnation, ok := known(id)
		if !ok || (r.incarnation != 0 && r.incarnation != incarnation) {
			delete(t.records, id)
			continue
		}
		r.incarnation = incarnation
	}
}

func (t *Tracker) record(id target.ID) *record {
	r := t.records[id]
	if r == nil {
		r = &record{latency: float64(defaultLatency)}
		t.records[id] = r
	}
	return r
}

// decayedLatency returns the latency, decayed towards defaultLatency by its age.
func (r *record) decayedLatency(now clock.Time) float64 {
	return r.latencyTowards(now, defaultLatency)
}

// latencyTowards returns the latency, decayed by its age towards the one that others observe.
func (r *record) latencyTowards(now clock.Time, usual time.Duration) float64 {
	if r.recordedAt == 0 {
		return float64(usual)
	}
	keep := math.Exp(-float64(now.Sub(r.recordedAt)) / float64(latencyDecay))
	return float64(usual) + (r.latency-float64(usual))*keep
}
