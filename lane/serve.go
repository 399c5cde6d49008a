package lane

import (
	"context"
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
)

// putIdle makes a connection in use idle, or closes it if it is not to be retained, and serves the
// waiting requests.
func (l *Lane) putIdle(c *Conn) {
	if l.closed {
		l.drop(c)
		return
	}
	if l.temporary && c.forControl && l.waiting.Len()+l.controlQueue.Len() == 0 {
		l.drop(c)
		return
	}
	now := l.clk.Now()
	if l.mustYield(now) {
		l.count(closedForOther)
		l.drop(c)
	} else {
		l.inUse--
		c.idle = now
		l.idle = append(l.idle, c)
	}
	l.growForNext(now)
	l.serve(now)
	l.growFor(now, l.lacksConnection)
}

// growForNext opens a connection for the request whose turn it is, if its workspace has none, before the
// slot that has become free is given to another one.
//
// Failure guarded against: one workspace has requests waiting at all times, each free slot goes to one
// of them because their connections are there, and as no slot remains free no connection is ever
// opened for another workspace, whose turn it is.
func (l *Lane) growForNext(now clock.Time) {
	if next := l.waiting.first(anyone); next != nil {
		l.growFor(now, func(w *waiter) bool { return w == next && l.lacksConnection(w) })
	}
}

// lacksConnection reports whether a request's workspace has neither a connection nor a dial in
// progress.
func (l *Lane) lacksConnection(w *waiter) bool {
	return l.openFor[w.opts.Workspace] == 0 && l.dialsFor[w.opts.Workspace] == 0
}

// mustYield reports whether a released connection must be closed to make room for the request at
// the head of the queue.
//
// Failure guarded against: every released connection goes to another request of its own workspace,
// and the requests of a workspace without a connection wait until they time out.
func (l *Lane) mustYield(now clock.Time) bool {
	if len(l.idle) > 0 || l.open+l.dialing < l.maxOpen(now) || l.dialing >= maxDialing {
		return false
	}
	w := l.waiting.first(anyone)
	return w != nil && l.lacksConnection(w)
}

// serve assigns idle connections to waiting requests, as many as may run, and refuses late ones if
// the target is overloaded.
func (l *Lane) serve(now clock.Time) {
	for l.controlQueue.Len() > 0 {
		c := l.takeIdleIf(func(*Conn) bool { return true })
		if c == nil {
			break
		}
		l.controlQueue.next(now, anyone).ready <- delivery{conn: c}
	}
	for l.unparking.Len() > 0 && l.mayRun() {
		w := l.unparking.next(now, anyone)
		l.resume(w.held, now)
		w.ready <- delivery{conn: w.held}
	}
	for l.waiting.Len() > 0 && l.mayRun() && l.serveOne(now) {
	}
	if l.expectedWait(l.waiting.inTime.work, l.waiting.inTime.Len()) < overloadEndBacklog {
		l.waiting.setOrder(now, byDue)
	}
	l.shed(now)
}

// serveOne assigns an idle connection to the first waiting request of a workspace that has one;
// false if there is none.
func (l *Lane) serveOne(now clock.Time) bool {
	w := l.waiting.next(now, func(w *waiter) bool {
		return slices.ContainsFunc(l.idle, func(c *Conn) bool { return c.workspace == w.opts.Workspace })
	})
	if w == nil {
		return false
	}
	c := l.takeIdle(w.opts.Workspace)
	if c == nil {
		l.waiting.push(w)
		return true
	}
	l.begin(c, w.opts.Class, now)
	l.slotUse.recordFresh(now, w.work)
	l.charge(w.opts.Workspace, w.work)
	l.drain.recordServed(now, l.waiting.Len() > 0)
	w.ready <- delivery{conn: c}
	return true
}

// mayRun reports whether one more statement may be sent to the target. The target's own queue is
// first come, first served; so only as many statements are sent as keep its slots busy, and further
// requests wait in this VM's queue, ordered by urgency.
func (l *Lane) mayRun() bool { return l.maxRunning == 0 || l.inUse-l.parked-l.overdue < l.maxRunning }

// begin records that a statement has acquired the connection.
func (l *Lane) begin(c *Conn, class uint32, now clock.Time) {
	c.class, c.acquiredAt, c.runningSince, c.wasParked = class, now, now, false
	l.busy[c] = struct{}{}
	if l.perWorkspace {
		l.usage.used(now, c.workspace, l.inUseFor(c.workspace)-1)
	}
}

// end records that a connection is released or discarded.
func (l *Lane) end(c *Conn) {
	delete(l.busy, c)
	l.setParked(c, false)
	l.setOverdue(c, false)
}

// park implements Conn.Park.
func (l *Lane) park(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setParked(c, true)
	l.answered = l.clk.Now()
	l.serve(l.answered)
}

// unpark implements Conn.Unpark. It takes precedence over requests that wait for a connection,
// because it already holds one, which they need.
func (l *Lane) unpark(ctx context.Context, c *Conn, o AcquireOptions, timeout time.Duration) error {
	l.mu.Lock()
	if !c.parked {
		l.mu.Unlock()
		return nil
	}
	if l.mayRun() {
		l.resume(c, l.clk.Now())
		l.mu.Unlock()
		return nil
	}
	w := &waiter{opts: o, ready: make(chan delivery, 1), held: c}
	l.unparking.push(w)
	l.mu.Unlock()
	_, err := l.await(ctx, w, timeout)
	return err
}

// resume lets a parked connection run a statement again.
func (l *Lane) resume(c *Conn, now clock.Time) {
	work := l.waiting.times.average.mean
	l.setParked(c, false)
	l.slotUse.recordResumed(now, work)
	l.charge(c.workspace, work)
}

func (l *Lane) setParked(c *Conn, parked bool) {
	if c.parked == parked {
		return
	}
	l.setOverdue(c, false)
	c.runningSince = l.clk.Now()
	c.parked = parked
	if parked {
		c.wasParked = true
		l.parked++
		l.waiting.shares.rest(c.workspace, 1)
	} else {
		l.parked--
		l.waiting.shares.rest(c.workspace, -1)
	}
}

// charge records that a workspace's statement has got a slot, if slots are given by shares.
func (l *Lane) charge(workspace string, work time.Duration) {
	if workspace != "" && l.waiting.pressed() && !l.waiting.shares.off {
		l.waiting.shares.charge(workspace, work)
		l.decisions.Count(decisions.Queue, string(l.id), outcomeByShare, 1)
	}
}

func (l *Lane) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(c)
	if c.acquiredAt != 0 {
		now := l.clk.Now()
		l.answered = now
		if !c.wasParked {
			l.waiting.times.record(now, c.class, now.Sub(c.acquiredAt))
		}
	}
	l.putIdle(c)
}

func (l *Lane) drop(c *Conn) {
	l.inUse--
	l.shut(c)
}

func (l *Lane) discard(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(c)
	l.count(closedBroken)
	l.drop(c)
	l.serve(l.clk.Now())
	l.grow(l.clk.Now())
}
