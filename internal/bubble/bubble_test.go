package bubble

import (
	"sync"
	"testing"
	"time"
)

// Many goroutines wake at the same virtual time, and each finds its ticker expired while it did not
// wait for it. On several processors the race detector crashes, and the results of the whole
// package are lost.
func TestExpiredTimersDoNotCrashRaceDetector(t *testing.T) {
	const goroutines, rounds = 64, 300
	Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				tick := time.NewTicker(time.Millisecond)
				defer tick.Stop()
				for range rounds {
					time.Sleep(2 * time.Millisecond)
					<-tick.C
				}
			})
		}
		wg.Wait()
	})
}
