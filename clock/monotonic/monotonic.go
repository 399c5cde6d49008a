// Package monotonic reads the process's monotonic clock for the drivers. The
// decision core must not import it.
package monotonic

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Clock is the process's monotonic clock, with its origin at New.
type Clock struct {
	origin time.Time
}

// New returns a clock that reads zero now.
func New() *Clock { return &Clock{origin: time.Now()} }

// Now returns the time since New. It does not jump when the wall clock is set.
func (c *Clock) Now() clock.Time { return clock.Time(time.Since(c.origin)) }
