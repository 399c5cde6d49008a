// Package bubble plays a test in virtual time, with the race detector as well as
// without it.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test plays body in a bubble of testing/synctest.
//
// Under the race detector the bubble has one processor. The runtime keeps one
// detector context for all timers of a bubble, and a goroutine that looks at an
// expired timer's channel uses it at the same time as others do. The detector
// then ends the whole process with "ThreadSanitizer: CHECK failed". On one
// processor only one goroutine is in there at a time. Races are found all the
// same, as the detector compares orders and not moments. Tests in bubbles must not
// run in parallel, as the number of processors is the process's.
func Test(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
	}
	synctest.Test(t, body)
}
