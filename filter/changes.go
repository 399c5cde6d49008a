package filter

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/view"
)

// viewPollInterval is the interval at which the view is polled while requests wait for a change.
const viewPollInterval = 5 * time.Millisecond

// ViewChanges lets requests wait for a new view. One goroutine polls the holder for all waiting
// requests, and runs only while there are any: for thousands of writes that wait for a promotion,
// the cost is one poll in total and one wake-up each.
type ViewChanges struct {
	views *view.Holder

	mu      sync.Mutex
	waiters int
	seen    *view.View
	changed chan struct{}
}

// NewViewChanges returns a ViewChanges that polls h.
func NewViewChanges(h *view.Holder) *ViewChanges {
	return &ViewChanges{views: h, changed: make(chan struct{})}
}

// Wait returns nil when the view differs from old or after d, and the error of ctx if ctx ends
// first.
func (c *ViewChanges) Wait(ctx context.Context, old *view.View, d time.Duration) error {
	changed := c.subscribe(old)
	if changed == nil {
		return ctx.Err()
	}
	defer c.unsubscribe()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// subscribe returns a channel that is closed at the next change, or nil if the view already differs
// from old.
func (c *ViewChanges) subscribe(old *view.View) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.views.Load() != old {
		return nil
	}
	c.waiters++
	if c.waiters == 1 {
		c.seen = old
		go c.pollUntilUnused()
	}
	return c.changed
}

func (c *ViewChanges) unsubscribe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
}

func (c *ViewChanges) pollUntilUnused() {
	tick := time.NewTicker(viewPollInterval)
	defer tick.Stop()
	for range tick.C {
		if !c.poll() {
			return
		}
	}
}

// poll wakes the waiting requests if the view has changed, and reports whether any request still
// waits.
func (c *ViewChanges) poll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.views.Load(); v != c.seen {
		c.seen = v
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return c.waiters > 0
}
