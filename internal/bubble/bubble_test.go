package bubble

import (
	"sync"
	"testing"
	"time"
)

// Many goroutines wake at one virtual moment, and each finds its ticker expired
// while it was not waited for. On several processors the race detector dies of
// that, and a whole package's verdict with it.
func TestExpiredTimersAreNoEndOfTheDetector(t *testing.T) {
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
