package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// lateReadGap is the time without a late read after which a run of late reads has ended: a VM of a
// large fleet has few bounded-staleness reads a second for a service.
const lateReadGap = time.Second

// LateReads measures how long bounded-staleness reads have been served too late by the primary,
// because no replica holds the data that they must see. It is safe for concurrent use.
type LateReads struct {
	mu   sync.Mutex
	late eventRun
}

// Record records that a bounded-staleness read that only the primary could serve was late or was
// not served.
func (c *LateReads) Record(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late.record(now, lateReadGap)
}

// Duration returns how long the present run of late reads has lasted; 0 if there is none.
func (c *LateReads) Duration(now clock.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late.duration(now, lateReadGap)
}
