package placing

import (
	"math"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

// Candidate is a target that may serve a read.
type Candidate struct {
	ID target.ID
	// SameZone is set if the target is in this VM's availability zone.
	SameZone bool
	// Primary is set for the target that also serves writes.
	Primary bool
	// Down is set if the target is currently unreachable.
	Down bool
	// Pending is the number of this VM's requests that are running at the target or wait for a
	// connection to it.
	Pending int
	// Wait, ServiceTime and Failed are what the VM that holds the connections reported, for what
	// its age makes it worth: the wait for a connection, the time of a statement, and the fraction
	// of statements without an answer. They are 0 without a report.
	Wait, ServiceTime time.Duration
	Failed            float64
	// Full is set if the read would be refused there, according to the report.
	Full bool
	// Avoided is set if the target fails so many of its statements that reads go elsewhere while
	// another target can serve them in time.
	Avoided bool
	// Returning is set for a target that was avoided of late: what was measured of it is old.
	Returning bool
	// Away is the candidate's rank in the order of the workspace's replicas, 0 for its home.
	Away      int
	homeScore uint64
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the candidate; -1 if there is none.
	Index int
	// Only is set if every other candidate is a last resort.
	//
	// A read that has another choice leaves the queue for a target after some time and tries the
	// other one. Where there is none, such as when both replicas lag, leaving the queue would only
	// lose the read its place.
	Only bool
	// OthersFull is set if every other candidate is a last resort or full.
	OthersFull bool
	// Full is set if all candidates are full, the chosen one included.
	Full bool
	// Wait is the wait that was reported for the chosen candidate.
	Wait time.Duration
	// Diverted is set if a reported wait moved the read from the candidate that it prefers.
	Diverted bool
}

// Choose returns the best candidate for a read of the given objective. Draw is a random number in
// [0, 1).
//
// Load: all VMs know from the same reports that one target has a queue. Where the preferred
// candidate has one, the read therefore draws among those that are not full, by the inverse of the
// expected time: if all chose the best one, it would have the queue by the next report.
func (t *Tracker) Choose(now clock.Time, candidates []Candidate, objective time.Duration, draw float64) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	costs := make([]float64, len(candidates))
	c := Choice{Index: -1, Full: len(candidates) > 0}
	preferred, least := -1, math.Inf(1)
	t.expectUsual(now, candidates)
	usable, open := 0, 0
	for i := range candidates {
		unloaded := t.cost(now, &candidates[i])
		costs[i] = unloaded + float64(candidates[i].Wait) + candidates[i].Failed*float64(objective)
		if unloaded < least {
			preferred, least = i, unloaded
		}
		if costs[i] >= float64(lastResortCost) {
			continue
		}
		usable++
		if !candidates[i].Full {
			open++
			c.Full = false
		}
	}
	if preferred < 0 {
		return c
	}
	c.Index = t.draw(now, candidates, costs, preferred, open > 0, draw)
	chosen := &candidates[c.Index]
	c.Wait = chosen.Wait
	lastResort := costs[c.Index] >= float64(lastResortCost)
	c.Only = len(candidates) == 1 || (!lastResort && usable == 1)
	c.OthersFull = c.Only || (!lastResort && !chosen.Full && open == 1)
	c.Full = c.Full && usable > 0
	c.Diverted = c.Index != preferred && candidates[preferred].Wait > 0
	return c
}

// expectUsual takes a returning target without recent measurements to be as fast as the fastest other.
// At defaultLatency it would get no read while the others are faster, and never be measured again.
func (t *Tracker) expectUsual(now clock.Time, candidates []Candidate) {
	for i := range candidates {
		r := t.record(candidates[i].ID)
		if !candidates[i].Returning || now.Sub(r.recordedAt) < latencyDecay {
			continue
		}
		latency := r.latencyTowards(now, candidates[i].usual())
		for j := range candidates {
			if o := &candidates[j]; j != i && !o.Down {
				latency = min(latency, t.record(o.ID).latencyTowards(now, o.usual()))
			}
		}
		r.latency, r.recordedAt = latency, now
	}
}

// draw returns the cheapest candidate, or one drawn by cost if the preferred one has a queue. Full
// candidates are left out if others are open.
func (t *Tracker) draw(now clock.Time, candidates []Candidate, costs []float64, preferred int, open bool, draw float64) int {
	p := &candidates[preferred]
	spread := open && float64(p.Wait) > t.record(p.ID).latencyTowards(now, p.usual())
	best, total := -1, 0.0
	for i, cost := range costs {
		if open && candidates[i].Full {
			continue
		}
		if best < 0 || cost < costs[best] {
			best = i
		}
		if cost < float64(lastResortCost) {
			total += 1 / cost
		}
	}
	if !spread {
		return best
	}
	for i, cost := range costs {
		if candidates[i].Full || cost >= float64(lastResortCost) {
			continue
		}
		if draw -= 1 / cost / total; draw < 0 {
			return i
		}
	}
	return best
}

// usual returns the time that a statement usually takes at the candidate.
func (c *Candidate) usual() time.Duration {
	if c.ServiceTime > 0 {
		return c.ServiceTime
	}
	return defaultLatency
}

// cost returns the expected time to the answer of a candidate without a queue, as a cost.
func (t *Tracker) cost(now clock.Time, c *Candidate) float64 {
	r := t.record(c.ID)
	cost := r.latencyTowards(now, c.usual())*float64(1+c.Pending) + awayFromHome(c)
	if !c.SameZone {
		cost += float64(crossZoneCost)
	}
	if c.Primary {
		cost += float64(primaryCost)
	}
	if c.Avoided {
		cost += float64(avoidedCost)
	}
	if c.Down || now.Before(r.failedUntil) || now.Before(r.laggingUntil) {
		cost += float64(lastResortCost)
	}
	return cost
}
