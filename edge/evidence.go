package edge

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/recency"
)

// versionOf returns the version of a list that a catalog holds.
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

// recordConfirmation records that the store has confirmed this VM's copy of a list as current.
func (e *Edge) recordConfirmation(l recency.List, revision int64, at clock.Time) {
	e.recency.Record(l, recency.Confirmation{Version: versionOf(e.catalog.Load(), l), Revision: revision, At: at})
}

// confirmations returns the newest confirmation of each of this VM's copies.
func (e *Edge) confirmations(c *catalog.Catalog) map[recency.List]recency.Confirmation {
	out := make(map[recency.List]recency.Confirmation, len(recency.Lists()))
	for _, l := range recency.Lists() {
		out[l] = e.recency.Newest(l, versionOf(c, l))
	}
	return out
}

// evidenceAge returns how long ago this VM's copy of a list was known to equal the store's.
func (e *Edge) evidenceAge(l recency.List) time.Duration {
	return e.recency.Age(l, versionOf(e.catalog.Load(), l), e.clk.Now())
}

// recordsRevision returns the store's revision as of which this VM's leadership records are known to
// be complete.
func (e *Edge) recordsRevision() catalog.Revision {
	_, revision := e.copyOf(recency.Fleet)
	return revision
}
