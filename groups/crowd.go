package groups

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// crowdGap is the time without a late read after which the primary counts as not
// crowded any more: a VM of a large fleet has few aged reads a second for a service.
const crowdGap = time.Second

// Crowd tells since when aged reads come too late at the primary, because no replica
// has what they must see. It is safe for concurrent use.
type Crowd struct {
	mu   sync.Mutex
	late streak
}

// Late records that an aged read which only the primary could serve came too late,
// or was not served.
func (c *Crowd) Late(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late.note(now, crowdGap)
}

// For is how long that has gone on.
func (c *Crowd) For(now clock.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late.lasts(now, crowdGap)
}
