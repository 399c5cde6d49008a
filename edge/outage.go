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
// later. In an outage of 30 s, 30 VMs make 1,180 calls instead of 3,617, in the model.
type outage struct {
	clk clock.Clock

	mu       sync.Mutex
	failures int
	next     clock.Time    // before which nobody tries
	over     chan struct{} // closed by the next success; nil while the store answers
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
	o.next = now.Add(o.pause())
	return nil, 0
}

func (o *outage) pause() time.Duration {
	return watchBackoff.Delay(o.failures, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// note takes over what came of a call.
func (o *outage) note(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		if o.over == nil {
			o.over = make(chan struct{})
		}
		o.failures++
		o.next = o.clk.Now().Add(o.pause())
		return
	}
	if o.over != nil {
		close(o.over)
	}
	o.over, o.failures = nil, 0
}
