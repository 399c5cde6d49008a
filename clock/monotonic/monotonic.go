// Package monotonic reads the process's monotonic clock for the drivers. The
// decision core must not import it.
package monotonic

import (
	"time"

	"endivemoor.example/endivemoor/clock"
)

// Clock is the monotonic clock of the process. Its origin is the call of New.
type Clock struct {
	origin time.Time
}

// New returns a clock that starts at zero.
func New() *Clock { return &Clock{origin: time.Now()} }

// Now returns the time since New. Setting the wall clock does not affect it.
func (c *Clock) Now() clock.Time { return clock.Time(time.Since(c.origin)) }
