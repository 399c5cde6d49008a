// Package placing chooses which target a read goes to. It ranks those that may
// serve it by the time that the answer is expected to take: the target's recent
// latency, times what this VM already has there, plus the way. Targets that
// failed, were slow or lagged just now are found from requests alone.
//
// The package is pure.
package placing

import (
	"math"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

const (
	// usualLatency is assumed of a target that nothing is known of: the work of a
	// usual read.
	usualLatency = 20 * time.Millisecond
	// weight of a new latency in the moving average: about the last eight count.
	weight = 0.125
	// forget is how fast what was seen of a target fades when no request goes
	// there, so that one which was slow is tried again.
	forget = 2 * time.Second
	// crossZone is the cost of leaving the availability zone, in expected time:
	// the way there and back, and the price of the bytes.
	crossZone = 4 * time.Millisecond
	// primaryCost is added for the primary: it alone serves writes, and a read
	// there delays them. It helps out once both replicas have some five of this
	// VM's reads.
	primaryCost = 80 * time.Millisecond
	// failurePause is how long a target that failed is a last resort.
	failurePause = 500 * time.Millisecond
	// lagPause is how long a replica that lacked the wanted position is passed
	// over: about a usual replication delay. It doubles
	// each time until the replica serves again, up to maxLagPause: one that is
	// seconds behind would otherwise be asked ten times a second by every VM.
	lagPause    = 100 * time.Millisecond
	maxLagPause = 800 * time.Millisecond
	// lastResort is added for a target that failed or lagged just now.
	lastResort = 10 * time.Second
)

type record struct {
	latency float64 // nanoseconds
	at      clock.Time
	failed  clock.Time // last resort until then
	lagging clock.Time // passed over until then
	lags    int        // how often it lagged since it last served
	// incarnation is that of the target when it was last looked up; 0 before.
	incarnation int64
}

// Board keeps what requests have shown of each target. It is safe for
// concurrent use.
type Board struct {
	mu      sync.Mutex
	records map[target.ID]*record
}

// NewBoard returns a Board that knows nothing.
func NewBoard() *Board { return &Board{records: make(map[target.ID]*record)} }

// Served records a statement's latency at a target.
func (b *Board) Served(id target.ID, now clock.Time, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(id)
	r.latency = r.faded(now)*(1-weight) + float64(took)*weight
	r.at = now
	r.failed, r.lags = 0, 0
}

// Failed records that a target broke off or did not answer.
func (b *Board) Failed(id target.ID, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(id).failed = now.Add(failurePause)
}

// Lagged records that a replica lacked the wanted position.
func (b *Board) Lagged(id target.ID, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(id)
	if now.Before(r.lagging) {
		return
	}
	r.lagging = now.Add(min(lagPause<<r.lags, maxLagPause))
	r.lags = min(r.lags+1, maxLags)
}

// maxLags bounds the count of lags: more double the pause beyond its bound.
const maxLags = 8

const (
	// patienceTimes the recent latency is how long one try may take before its
	// answer is taken for lost, within these bounds. The lower one is above the
	// longest work of a read on the users' sheets, 220 ms; under overload the
	// latency, and so the patience, grows before answers are given up on.
	patienceTimes = 8
	minPatience   = 250 * time.Millisecond
	maxPatience   = 600 * time.Millisecond
)

// Patience is how long a try at a target may take while it can still be
// repeated. An answer that is lost on the way would otherwise hold its consumer
// and a connection until the statement's own time-out.
func (b *Board) Patience(id target.ID, now clock.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	usual := time.Duration(b.record(id).faded(now))
	return min(max(patienceTimes*usual, minPatience), maxPatience)
}

// Keep forgets the targets that are not known any more, and what was seen of a
// target before it started again. Known returns a target's incarnation.
func (b *Board) Keep(known func(target.ID) (incarnation int64, is bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.records {
		incarnation, is := known(id)
		if !is || (r.incarnation != 0 && r.incarnation != incarnation) {
			delete(b.records, id)
			continue
		}
		r.incarnation = incarnation
	}
}

func (b *Board) record(id target.ID) *record {
	r := b.records[id]
	if r == nil {
		r = &record{latency: float64(usualLatency)}
		b.records[id] = r
	}
	return r
}

// faded is the latency, drawn to the usual one by the time since it was seen.
func (r *record) faded(now clock.Time) float64 {
	if r.at == 0 {
		return float64(usualLatency)
	}
	keep := math.Exp(-float64(now.Sub(r.at)) / float64(forget))
	return float64(usualLatency) + (r.latency-float64(usualLatency))*keep
}

// Candidate is a target that may serve a read.
type Candidate struct {
	ID target.ID
	// Near is set if the target is in this VM's availability zone.
	Near bool
	// Primary is set for the one that also serves writes.
	Primary bool
	// Down is set if no connection could be opened just now.
	Down bool
	// Waiting is how many of this VM's requests the target has, and how many
	// wait for a connection to it.
	Waiting int
}

// Choose returns the index of the best candidate, or -1 if there is none, and
// whether it is the only one that is no last resort.
//
// A read that has another choice leaves the queue to a target after its patience
// and tries that one. Where there is none, as when both replicas lag, leaving it
// would only cost the read its place.
func (b *Board) Choose(now clock.Time, candidates []Candidate) (best int, alone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best = -1
	least, second := math.Inf(1), math.Inf(1)
	for i := range candidates {
		cost := b.cost(now, &candidates[i])
		if cost < least {
			best, least, second = i, cost, least
		} else {
			second = min(second, cost)
		}
	}
	return best, len(candidates) == 1 || (least < float64(lastResort) && second >= float64(lastResort))
}

func (b *Board) cost(now clock.Time, c *Candidate) float64 {
	r := b.record(c.ID)
	cost := r.faded(now) * float64(1+c.Waiting)
	if !c.Near {
		cost += float64(crossZone)
	}
	if c.Primary {
		cost += float64(primaryCost)
	}
	if c.Down || now.Before(r.failed) || now.Before(r.lagging) {
		cost += float64(lastResort)
	}
	return cost
}
