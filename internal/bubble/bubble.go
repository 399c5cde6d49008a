// Package bubble runs a test in virtual time, with or without the race detector.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs body in a bubble of testing/synctest.
//
// Under the race detector the bubble runs on one processor. Failure guarded against: the runtime
// keeps one detector context for all timers of a bubble, and a goroutine that checks an expired
// timer's channel uses that context concurrently with others. The detector then ends the whole
// process with "ThreadSanitizer: CHECK failed". On one processor, only one goroutine uses the
// context at a time. Races are still found, because the detector compares the order of events and
// not their times. Tests in bubbles must not run in parallel, as the number of processors is
// process-wide.
func Test(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, body)
}
