package reads

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// isolatedZone is the availability zone that is partitioned together with the primary.
	isolatedZone = "1"
	// promoteAfter is the time from the partition until the promotion of another server.
	promoteAfter = 2 * time.Second
)

// partition is a network partition. The proxies of one zone reach only the old primary, which still
// reports the role primary; the other proxies reach only the other servers.
type partition struct {
	oldPrimary target.ID
	// oldPosition is the position of the old primary, at which it stays.
	oldPosition timeline.Position
	// promotedAt is when another server is promoted. Writes until then are refused.
	promotedAt clock.Time
}

func (p *partition) isolates(id target.ID) bool { return p != nil && p.oldPrimary == id }

func (p *partition) refusesWrites(now clock.Time) bool { return p != nil && now.Before(p.promotedAt) }

func (w *world) canReach(p *proxy, id target.ID) bool {
	return w.partition == nil || (p.zone == isolatedZone) == w.partition.isolates(id)
}

// isolatePrimary partitions the old primary's zone from the others, which promote server b.
func (w *world) isolatePrimary() {
	oldPrimary := w.group.Primary
	w.partition = &partition{oldPrimary: oldPrimary, oldPosition: w.position(oldPrimary), promotedAt: w.s.Now().Add(promoteAfter)}
	w.s.After(promoteAfter, w.promote)
	w.group = w.withPrimary("b")
	delete(w.replications, "b")
}

// withPrimary returns the group with another primary in the next term. The log retains the commits
// that the new primary had not applied, so the checker takes the old primary's data for newer than
// it is.
func (w *world) withPrimary(primary target.ID) *view.Group {
	g := *w.group
	g.Primary = primary
	g.Term++
	g.History = g.History.Append(timeline.Start{Term: g.Term, LSN: timeline.LSN(len(w.log.commits))})
	return &g
}

// promote passes the group with the new primary to the proxies outside the isolated zone.
func (w *world) promote() {
	for _, p := range w.proxies {
		if p.zone != isolatedZone {
			p.group = w.group
		}
	}
}

// heal ends the partition: the old primary becomes a replica, and all proxies receive the new
// group.
func (w *world) heal() {
	r := w.newReplication()
	r.applied = w.partition.oldPosition.LSN
	w.replications[w.partition.oldPrimary] = r
	w.partition = nil
	for _, p := range w.proxies {
		p.group = w.group
	}
}
