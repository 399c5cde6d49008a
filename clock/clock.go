// Package clock gives the decision core its notion of time: a typed instant
// that is passed in with every event. The core never reads a clock itself, so
// a harness may step it with virtual time and replay a trace exactly.
package clock

import "time"

// Time is an instant in nanoseconds on one process's monotonic clock. Its
// origin is arbitrary: instants of two processes must not be compared.
type Time int64

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Clock is read by drivers only. The core takes the value as an argument.
type Clock interface {
	// Now returns the current monotonic instant.
	Now() Time
}
