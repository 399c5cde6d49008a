package edge

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/recency"
)

// versionOf is which version of a list a catalog holds.
func versionOf(c *catalog.Catalog, l recency.List) int64 {
	switch l {
	case recency.Config:
		return c.ConfigVersion()
	case recency.Targets:
		return c.TargetsRevision
	default:
		return c.FleetRevision
	}
}

// confirm notes that the store has just said that this VM's copy of a list is its own.
func (e *Edge) confirm(l recency.List, revision int64, at clock.Time) {
	e.recency.Note(l, recency.Mark{Version: versionOf(e.catalog.Load(), l), Revision: revision, At: at})
}

// marks is the evidence for all copies that this VM has.
func (e *Edge) marks(c *catalog.Catalog) map[recency.List]recency.Mark {
	out := make(map[recency.List]recency.Mark, len(recency.Lists()))
	for _, l := range recency.Lists() {
		out[l] = e.recency.Newest(l, versionOf(c, l))
	}
	return out
}

// evidenceAge is how long ago this VM's copy of a list was known to be the store's.
func (e *Edge) evidenceAge(l recency.List) time.Duration {
	return e.recency.Age(l, versionOf(e.catalog.Load(), l), e.clk.Now())
}
