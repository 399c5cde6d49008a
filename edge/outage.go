package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// outage is the state that this VM's callers of the store share while the store fails: one caller
// tries, and the others wait for its result.
//
// Failure guarded against: four callers of each VM call a failing store repeatedly, and it must
// recover under that load. A success of any caller admits all others at once, so that sharing
// delays no caller.
type outage struct {
	clk clock.Clock

	mu        sync.Mutex
	tries     int           // since the outage began
	nextTry   clock.Time    // time before which no caller tries
	recovered chan struct{} // closed by the next success; nil while the store answers
}

// admit waits until its caller may call the store; it returns false if ctx ends first.
func (o *outage) admit(ctx context.Context) bool {
	for ctx.Err() == nil {
		recovered, left := o.check()
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-recovered:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return false
}

// check returns 0 if the caller may continue, because the store answers or a try is due. Otherwise
// it returns how long to wait, and a channel that is closed if the outage ends before that.
func (o *outage) check() (recovered <-chan struct{}, left time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recovered == nil {
		return nil, 0
	}
	now := o.clk.Now()
	if left := o.nextTry.Sub(now); left > 0 {
		return o.recovered, left
	}
	o.recordTry(now)
	return nil, 0
}

// recordTry counts a try and sets the time of the next one.
func (o *outage) recordTry(now clock.Time) {
	o.tries++
	o.nextTry = now.Add(o.delay())
}

func (o *outage) delay() time.Duration {
	return watchBackoff.Delay(o.tries, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// record records the result of a call. Calls that were in flight when the outage began count as one
// failure: counted one by one they would triple the delay.
func (o *outage) record(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil && o.recovered != nil:
		close(o.recovered)
		o.recovered, o.tries = nil, 0
	case err != nil && o.recovered == nil:
		o.recovered = make(chan struct{})
		o.recordTry(o.clk.Now())
	}
}
