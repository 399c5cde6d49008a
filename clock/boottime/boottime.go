// Package boottime reads the clock that includes the time while the VM is suspended.
//
// Leases, permissions and the age of evidence are measured on this clock. On the monotonic clock, a
// VM that was suspended for five seconds would consider its lease five seconds younger than it is,
// and use it after it has expired.
package boottime

import (
	"golang.org/x/sys/unix"

	"endivemoor.example/endivemoor/clock"
)

// Clock reads CLOCK_BOOTTIME.
type Clock struct{}

// Now returns the time since the VM started, including time in suspension.
func (Clock) Now() clock.Time {
	var t unix.Timespec
	// The call cannot fail: every supported kernel has this clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return clock.Time(t.Nano())
}
