package lane

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
)

// hand lays a connection that counts as in use aside, and serves those that
// wait.
func (l *Lane) hand(c *Conn) {
	if l.closed {
		l.drop(c)
		return
	}
	if l.lent && c.asked && l.waiting.Len()+l.urgent.Len() == 0 {
		l.drop(c)
		return
	}
	now := l.clk.Now()
	if l.mustYield(now) {
		l.drop(c)
	} else {
		l.inUse--
		c.idle = now
		l.idle = append(l.idle, c)
	}
	l.serve(now)
	l.growFor(now, l.lacks)
}

// lacks reports whether a request waits for a workspace that has no connection, nor one
// on its way.
func (l *Lane) lacks(w *waiter) bool {
	return l.openFor[w.order.Workspace] == 0 && l.dialsFor[w.order.Workspace] == 0
}

// mustYield reports whether a connection that comes back is to be closed for the request
// that goes first.
//
// Failure guarded against: each connection that comes back is wanted by another request of
// its own workspace, and a workspace that has none waits until its time is over.
func (l *Lane) mustYield(now clock.Time) bool {
	if len(l.idle) > 0 || l.open+l.dialing < l.most(now) || l.dialing >= maxDialing {
		return false
	}
	w := l.waiting.first(anyone)
	return w != nil && l.lacks(w)
}

// serve gives idle connections to those that wait, as many as may run.
func (l *Lane) serve(now clock.Time) {
	for l.urgent.Len() > 0 {
		c := l.takeIdleIf(func(*Conn) bool { return true })
		if c == nil {
			break
		}
		l.urgent.next(now, anyone).ready <- delivery{conn: c}
	}
	for l.resuming.Len() > 0 && l.mayRun() {
		w := l.resuming.next(now, anyone)
		l.setResting(w.held, false)
		w.ready <- delivery{conn: w.held}
	}
	for l.waiting.Len() > 0 && l.mayRun() && l.serveOne(now) {
	}
	if l.drain.after(l.waiting.inTime.Len()) < calmBacklog {
		l.waiting.setOverloaded(false)
	}
	late := l.waiting.hopeless(now)
	if len(late) == 0 {
		return
	}
	err := l.overloaded()
	for _, w := range late {
		w.ready <- delivery{err: err}
	}
}

// serveOne gives an idle connection to the request that goes first of those that one
// fits; false if none does.
func (l *Lane) serveOne(now clock.Time) bool {
	w := l.waiting.next(now, func(w *waiter) bool {
		return slices.ContainsFunc(l.idle, func(c *Conn) bool { return c.workspace == w.order.Workspace })
	})
	if w == nil {
		return false
	}
	c := l.takeIdle(w.order.Workspace)
	if c == nil {
		l.waiting.push(w)
		return true
	}
	l.begin(c, now)
	l.drain.served(now, l.waiting.Len() > 0)
	w.ready <- delivery{conn: c}
	return true
}

// hopeless reports whether a request would be late if it waited now, at a target
// that has no time for late ones.
func (l *Lane) hopeless(now clock.Time, o Order) bool {
	if !l.waiting.overloaded {
		return false
	}
	wait := l.drain.after(l.waiting.ahead(o) + 1)
	return wait > 0 && now.Add(wait+l.waiting.takes).After(o.Due)
}

// overloaded is the refusal of a request that cannot be served in its time.
func (l *Lane) overloaded() error {
	return &UnavailableError{Target: l.id, ComeBack: l.drain.after(l.waiting.Len() + 1), Cause: errors.New("more is asked than the target can do")}
}

// mayRun reports whether one more statement may be sent to the target. The
// target's own queue is first come first served; beyond what keeps its slots
// busy, requests wait here, in the order of their urgency.
func (l *Lane) mayRun() bool { return l.running == 0 || l.inUse-l.resting-l.overdue < l.running }

// begin notes that a connection is handed to a statement.
func (l *Lane) begin(c *Conn, now clock.Time) {
	c.handed, c.runs, c.rested = now, now, false
	l.busy[c] = struct{}{}
}

// end notes that a connection is given back.
func (l *Lane) end(c *Conn) {
	delete(l.busy, c)
	l.setResting(c, false)
	l.setOverdue(c, false)
}

// rest notes that a connection in use runs nothing: its transaction waits for
// its consumer.
func (l *Lane) rest(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setResting(c, true)
	l.serve(l.clk.Now())
}

// resume waits until a resting connection may run a statement. It goes before
// all that wait for a connection: it holds one already, which they need.
func (l *Lane) resume(ctx context.Context, c *Conn, o Order, timeout time.Duration) error {
	l.mu.Lock()
	if !c.resting {
		l.mu.Unlock()
		return nil
	}
	if l.mayRun() {
		l.setResting(c, false)
		l.mu.Unlock()
		return nil
	}
	w := &waiter{order: o, ready: make(chan delivery, 1), held: c}
	l.resuming.push(w)
	l.mu.Unlock()
	_, err := l.await(ctx, w, timeout)
	return err
}

func (l *Lane) setResting(c *Conn, resting bool) {
	if c.resting == resting {
		return
	}
	l.setOverdue(c, false)
	c.runs = l.clk.Now()
	c.resting = resting
	if resting {
		c.rested = true
		l.resting++
	} else {
		l.resting--
	}
}

func (l *Lane) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(c)
	if c.handed != 0 && !c.rested {
		l.waiting.took(l.clk.Now().Sub(c.handed))
	}
	l.hand(c)
}

func (l *Lane) drop(c *Conn) {
	l.inUse--
	l.shut(c)
}

func (l *Lane) discard(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(c)
	l.drop(c)
	l.serve(l.clk.Now())
	l.grow(l.clk.Now())
}
