// Package clock defines the time of the decision core: an instant that is passed in with every
// event. The core never reads a clock itself, so a test harness can advance virtual time and replay
// a trace exactly. Packages boottime and monotonic implement Clock.
package clock

import "time"

// Time is an instant in nanoseconds on the monotonic clock of one process. Its origin is arbitrary:
// instants of two processes must not be compared.
type Time int64

// Add returns t plus d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

func (t Time) Before(u Time) bool { return t < u }

func (t Time) After(u Time) bool { return t > u }

// Clock is a source of time for drivers. The decision core receives the time as an argument.
type Clock interface {
	// Now returns the current monotonic instant.
	Now() Time
}
