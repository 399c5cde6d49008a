package filter

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/view"
)

// viewPoll is how often the view is looked at while requests wait for a change.
const viewPoll = 5 * time.Millisecond

// Changes lets requests wait for a new view. One goroutine looks at the holder
// for all of them, and only while there are any: thousands of writes that wait
// for a promotion cost one look and one wake-up each.
type Changes struct {
	views *view.Holder

	mu      sync.Mutex
	waiters int
	seen    *view.View
	changed chan struct{}
}

// NewChanges returns Changes over the holder.
func NewChanges(h *view.Holder) *Changes {
	return &Changes{views: h, changed: make(chan struct{})}
}

// Wait returns when the view is another than old, after d, or with the error of
// ctx.
func (c *Changes) Wait(ctx context.Context, old *view.View, d time.Duration) error {
	changed := c.join(old)
	if changed == nil {
		return ctx.Err()
	}
	defer c.leave()
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

// join returns a channel that is closed at the next change, or nil if the view
// is another one already.
func (c *Changes) join(old *view.View) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.views.Load() != old {
		return nil
	}
	c.waiters++
	if c.waiters == 1 {
		c.seen = old
		go c.look()
	}
	return c.changed
}

func (c *Changes) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
}

func (c *Changes) look() {
	tick := time.NewTicker(viewPoll)
	defer tick.Stop()
	for range tick.C {
		if !c.lookOnce() {
			return
		}
	}
}

// lookOnce reports whether anybody still waits.
func (c *Changes) lookOnce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.views.Load(); v != c.seen {
		c.seen = v
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return c.waiters > 0
}
