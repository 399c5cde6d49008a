package groups

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// copiesQueryInterval is the interval at which targets are queried whose logs are to be verified, and
	// how long statements may show it before.
	copiesQueryInterval = 500 * time.Millisecond
	// copiesQuerySpread is the time for each VM of a fleet over which such queries are spread.
	copiesQuerySpread = 10 * time.Millisecond
	// copiesMaxAge is how old a status of theirs may be: the gateways to a target share them.
	copiesMaxAge = 100 * time.Millisecond
)

// logCopies tracks as of when a target other than the primary is known to hold every acknowledged
// commit. It is safe for concurrent use.
type logCopies struct {
	mu sync.Mutex
	// end is where the log of a term's primary ended, as it reported in reply to a query sent at sent;
	// zero if no report is awaiting a replica.
	term    timeline.Term
	primary target.ID
	end     timeline.Position
	sent    clock.Time
	// verified is as of when the logs of the others are known to hold every acknowledged commit.
	verified clock.Time
	// left is when a target was last found to have left or restarted, with its log. A process that starts
	// does not know what was before.
	left clock.Time
	// departed is the same of those that this process has seen leave or restart; 0 if there were none.
	departed clock.Time
	// nextQuery is when the targets may be queried to verify their logs; 0 if that is not decided.
	nextQuery clock.Time
}

func (c *logCopies) recordLeft(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left, c.departed, c.end, c.nextQuery = now, now, timeline.Position{}, 0
}

// queryDue reports whether the targets are to be queried now. The queries of a fleet of so many VMs are spread
// out: all of them learn of a departure at about the same time.
func (c *logCopies) queryDue(now clock.Time, vms int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.nextQuery != 0 && !now.Before(c.nextQuery)
	if due || c.nextQuery == 0 {
		c.nextQuery = now.Add(copiesQueryInterval + rand.N(time.Duration(max(vms, 1))*copiesQuerySpread))
	}
	return due
}

// recordEnd records that the primary of a term reported the end of its log in reply to a query.
func (c *logCopies) recordEnd(term timeline.Term, primary target.ID, sent clock.Time, end timeline.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term < c.term || (term == c.term && !c.end.IsZero()) || end.IsZero() {
		return
	}
	c.term, c.primary, c.sent, c.end = term, primary, sent, end
}

// recordCopy records that a replica that follows a term has received a position, in reply to a query or statement
// sent at queried. It counts if the primary is proven not to have been replaced when it reported the end of its
// log.
//
// Failure guarded against: a report that a gateway has shared, or a late answer, is from before the replica
// restarted without its log.
//
// Failure guarded against: the primary of the term has stepped down for an attempt. It reports the role
// replica and its whole log, which counts as another target's copy.
func (c *logCopies) recordCopy(term timeline.Term, from target.ID, queried clock.Time, received timeline.Position, proofs *freshness.Tracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term == c.term && from != c.primary && !c.end.IsZero() && takeover.Holds(received, c.end) && proofs.WitnessedSince(term, c.sent) {
		c.verified, c.end = max(c.verified, min(c.sent, queried)), timeline.Position{}
	}
}

// holdsSince reports whether the logs were verified since a time and since the last target has left.
func (c *logCopies) holdsSince(since clock.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.verified.Before(max(since, c.left))
}

// holdsSinceDeparture reports whether the logs were verified since this process has last seen a target leave.
func (c *logCopies) holdsSinceDeparture() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.verified.Before(c.departed)
}

// OthersHoldLog reports whether the targets other than the primary certainly hold every acknowledged
// commit between them.
//
// Failure guarded against: a replica receives the last commits that the primary acknowledges, and leaves
// or restarts without its log. Only the primary still holds them, and a target without them is promoted
// because the primary, which receives no receipts any more, seems stalled.
//
// So a target that has not left must have been seen to hold what the primary had committed since then.
// A connection that broke may show a restart.
func (g *Group) OthersHoldLog(primary target.ID) bool {
	var broken clock.Time
	for _, t := range g.Replicas(primary) {
		broken = max(broken, g.cfg.BrokenAt(t.ID))
	}
	return g.copies.holdsSince(broken)
}

// LostCopy reports whether a target has left or restarted, with its log, since the targets other than the primary were
// last known to hold every acknowledged commit between them.
func (g *Group) LostCopy() bool { return !g.copies.holdsSinceDeparture() }

// VerifyCopies queries the primary and its replicas while the others are not known to hold every
// acknowledged commit. It is to be called often for the services that this VM uses.
//
// Failure guarded against: no statements show what the others hold between the departure of a target, or
// the start of this process, and the time at which the primary stalls. It is then not replaced.
func (g *Group) VerifyCopies() {
	now, b := g.cfg.Clock.Now(), g.Leadership.Current()
	if b.Primary == "" || g.OthersHoldLog(b.Primary) || !g.copies.queryDue(now, len(g.cfg.Catalog.Load().VMs)) {
		return
	}
	go g.queryCopies(b.Primary)
}

func (g *Group) queryCopies(primary target.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*statusTimeout)
	defer cancel()
	if _, _, err := g.Recent(ctx, primary, spending.Sample, copiesMaxAge, statusTimeout); err != nil {
		return
	}
	for _, t := range g.Replicas(primary) {
		if !g.OthersHoldLog(primary) {
			_, _, _ = g.Recent(ctx, t.ID, spending.Witness, copiesMaxAge, statusTimeout)
		}
	}
}

// anyLeft reports whether a target of the previous list is not in the present one.
func anyLeft(before, now []*catalog.Target) bool {
	present := make(map[target.ID]bool, len(now))
	for _, t := range now {
		present[t.ID] = true
	}
	for _, t := range before {
		if !present[t.ID] {
			return true
		}
	}
	return false
}
