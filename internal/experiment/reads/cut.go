package reads

import (
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

const (
	// cutZone is the availability zone that is cut off with the primary.
	cutZone = "1"
	// promoteAfter is the time until another server leads.
	promoteAfter = 2 * time.Second
)

// cut is a network cut: the proxies of one zone reach only the old primary,
// which goes on answering that all is well; the others reach the rest.
type cut struct {
	old  target.ID
	kept timeline.Position
	// until is when another server leads; writes in between are refused.
	until clock.Time
}

func (c *cut) isolates(id target.ID) bool { return c != nil && c.old == id }

func (c *cut) refusesWrites(now clock.Time) bool { return c != nil && now.Before(c.until) }

func (w *world) reaches(p *proxy, id target.ID) bool {
	return w.cut == nil || (p.zone == cutZone) == w.cut.isolates(id)
}

// cutOff cuts the old primary's zone off; the others promote b.
func (w *world) cutOff() {
	old := w.group.Primary
	w.cut = &cut{old: old, kept: w.place(old), until: w.s.Now().Add(promoteAfter)}
	w.s.After(promoteAfter, w.promote)
	w.group = w.renamed("b")
	delete(w.replays, "b")
}

// renamed is the group with another primary in the next term. What the new
// primary had not applied is taken as kept, which makes the old one's data look
// younger to the judge than it is.
func (w *world) renamed(primary target.ID) *view.Group {
	g := *w.group
	g.Primary = primary
	g.Term++
	g.History = g.History.Append(timeline.Start{Term: g.Term, LSN: timeline.LSN(len(w.log.commits))})
	return &g
}

// promote lets the proxies on the new primary's side know of it.
func (w *world) promote() {
	for _, p := range w.proxies {
		if p.zone != cutZone {
			p.group = w.group
		}
	}
}

// heal ends the cut: the old primary follows, and all proxies learn of it.
func (w *world) heal() {
	r := w.replica()
	r.applied = w.cut.kept.LSN
	w.replays[w.cut.old] = r
	w.cut = nil
	for _, p := range w.proxies {
		p.group = w.group
	}
}
