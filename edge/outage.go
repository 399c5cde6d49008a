package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// outage is what this VM's callers of the store share while it fails: one of them
// tries it, and the others wait for what comes of that.
//
// Failure guarded against: a store in trouble is called by four callers of each VM,
// again and again, when it has to come back under that load. It holds because a
// success of any of them lets all others go on at once, so that nothing is learned
// later.
type outage struct {
	clk clock.Clock

	mu    sync.Mutex
	tries int           // since it began
	next  clock.Time    // before which nobody tries
	over  chan struct{} // closed by the next success; nil while the store answers
}

// admit waits until its caller may call the store; false if ctx ended before.
func (o *outage) admit(ctx context.Context) bool {
	for ctx.Err() == nil {
		over, left := o.turn()
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-over:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return false
}

// turn returns 0 if the caller may go on: the store answers, or it is time for one
// to try. Else it returns how long to wait, unless the outage is over before.
func (o *outage) turn() (over <-chan struct{}, left time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over == nil {
		return nil, 0
	}
	now := o.clk.Now()
	if left := o.next.Sub(now); left > 0 {
		return o.over, left
	}
	o.tried(now)
	return nil, 0
}

// tried sets when the next one may try.
func (o *outage) tried(now clock.Time) {
	o.tries++
	o.next = now.Add(o.pause())
}

func (o *outage) pause() time.Duration {
	return watchBackoff.Delay(o.tries, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// note takes over what came of a call. Calls that were under way as the outage
// began are part of its beginning: counted one by one they would triple the pause
// after it.
func (o *outage) note(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && o.over != nil:
		close(o.over)
		o.over, o.tries = nil, 0
	case err != nil && o.over == nil:
		o.over = make(chan struct{})
		o.tried(o.clk.Now())
	}
}
