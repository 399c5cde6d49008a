// Package boottime reads the clock that also counts while the VM is suspended.
//
// Leases, permissions and the age of evidence go by it. On the monotonic clock
// a VM that was suspended for five seconds would believe its lease to be five
// seconds younger than it is, and act on a right that has lapsed.
package boottime

import (
	"golang.org/x/sys/unix"

	"endivemoor.example/endivemoor/clock"
)

// Clock is CLOCK_BOOTTIME.
type Clock struct{}

// Now returns the time since the VM started, suspended time included.
func (Clock) Now() clock.Time {
	var t unix.Timespec
	// The call cannot fail for a clock that every kernel in use has.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return clock.Time(t.Nano())
}
