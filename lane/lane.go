package lane

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

const (
	// burst is how many connections a lane may have beyond its allowance while
	// requests wait. The target's refusal is the limit that counts.
	burst = 1
	// burstIdle is how long a connection beyond the allowance may lie idle.
	burstIdle = 500 * time.Millisecond
	// yieldIdle is how long any connection may lie idle where there is less than
	// one for each VM. One that a VM keeps is missed by another, whose requests
	// are refused; opening one takes 12 ms on the users' targets. With 8 for 9 VMs
	// it served 0.05 more of a day of high load, and 0.04 more of one with a
	// crashed primary, than keeping them; 50 ms and 150 ms were no better on both.
	yieldIdle = 100 * time.Millisecond
	// refusedPause is how long a lane opens nothing once the target has refused
	// a connection for their number, and refusedAlone how long if it has none
	// at all. Without the pause each request that waits would be refused again,
	// and each try takes one of the target's slots.
	refusedPause = time.Second
	refusedAlone = 40 * time.Millisecond
	// unreachablePause is how long a lane that could not connect fails requests
	// at once, so that reads go elsewhere without waiting for the same failure.
	unreachablePause = 250 * time.Millisecond
	// maxDialing bounds the connections being opened: each takes a slot.
	maxDialing = 2
)

// UnavailableError says that a target gave no connection. The request was not
// sent.
type UnavailableError struct {
	Target target.ID
	// Code is set if the target itself refused.
	Code statement.Code
	// Expired is set if the request's time ended in the queue.
	Expired bool
	// Cause may be nil.
	Cause error
}

// Error names the target and the cause.
func (e *UnavailableError) Error() string {
	text := "no connection to " + string(e.Target)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Dialer opens a link to a target. A refusal by the target is reported by
// Refusal.
type Dialer func(ctx context.Context) (Link, error)

// Refusal is implemented by a dialer's error if the target itself refused.
type Refusal interface {
	error
	// Refused returns the target's reason.
	Refused() statement.Code
}

// Lane leads to one target. It is safe for concurrent use.
type Lane struct {
	id   target.ID
	dial Dialer
	clk  clock.Clock

	mu        sync.Mutex
	allowance int
	scarce    bool // less than one connection for each VM
	idle      []*Conn
	open      int
	dialing   int
	waiting   queue
	refused   clock.Time // until when nothing beyond is opened
	down      clock.Time // until when requests fail at once
	downCause error
	closed    bool
	inUse     int
}

func newLane(id target.ID, dial Dialer, clk clock.Clock, part float64) *Lane {
	l := &Lane{id: id, dial: dial, clk: clk}
	l.setAllowance(part)
	return l
}

// Load is a lane's state at one moment.
type Load struct {
	// InUse is how many connections are handed out.
	InUse int
	// Queued is how many requests wait.
	Queued int
	// Allowance is how many connections the lane may keep.
	Allowance int
	// Down is set while the target could not be reached just now.
	Down bool
}

// Load returns the lane's state.
func (l *Lane) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{InUse: l.inUse, Queued: len(l.waiting), Allowance: l.allowance, Down: l.clk.Now().Before(l.down)}
}

// Acquire returns a connection by the deadline. The error is an
// *UnavailableError.
func (l *Lane) Acquire(ctx context.Context, o Order, timeout time.Duration) (*Conn, error) {
	l.mu.Lock()
	now := l.clk.Now()
	if now.Before(l.down) && l.open == 0 {
		err := &UnavailableError{Target: l.id, Cause: l.downCause}
		l.mu.Unlock()
		return nil, err
	}
	if c := l.takeIdle(); c != nil {
		l.mu.Unlock()
		return c, nil
	}
	w := &waiter{order: o, arrived: now, ready: make(chan delivery, 1)}
	heap.Push(&l.waiting, w)
	l.grow(now)
	l.mu.Unlock()
	return l.await(ctx, w, timeout)
}

func (l *Lane) await(ctx context.Context, w *waiter, timeout time.Duration) (*Conn, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case d := <-w.ready:
		return d.conn, d.err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&l.waiting, w.index)
		l.mu.Unlock()
		return nil, &UnavailableError{Target: l.id, Expired: true, Cause: errors.New("no connection became free in time")}
	}
	l.mu.Unlock()
	d := <-w.ready
	return d.conn, d.err
}

// takeIdle hands out the most recently used idle connection that is alive.
func (l *Lane) takeIdle() *Conn {
	for n := len(l.idle); n > 0; n = len(l.idle) {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		if c.Alive() {
			l.inUse++
			return c
		}
		l.open--
		c.Close()
	}
	return nil
}

// grow opens connections for the requests that wait.
func (l *Lane) grow(now clock.Time) {
	if l.closed {
		return
	}
	for l.dialing < min(maxDialing, len(l.waiting)) && l.open+l.dialing < l.most(now) {
		l.dialing++
		go l.openOne()
	}
}

// most is how many connections the lane may have now.
func (l *Lane) most(now clock.Time) int {
	if now.Before(l.refused) {
		return l.open
	}
	return l.allowance + burst
}

func (l *Lane) openOne() {
	link, err := l.dial(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing--
	now := l.clk.Now()
	if err != nil {
		l.dialFailed(now, err)
		return
	}
	l.down = 0
	l.open++
	l.inUse++
	l.hand(&Conn{Link: link, Target: l.id, lane: l})
}

// dialFailed lets the requests that wait go elsewhere, if no connection is
// left that may become free for them.
func (l *Lane) dialFailed(now clock.Time, err error) {
	var refusal Refusal
	unavailable := &UnavailableError{Target: l.id, Cause: err}
	if errors.As(err, &refusal) {
		unavailable.Code = refusal.Refused()
		l.refused = now.Add(l.refusalPause())
	} else {
		l.down, l.downCause = now.Add(unreachablePause), err
	}
	if l.open > 0 || l.dialing > 0 {
		return
	}
	for len(l.waiting) > 0 {
		w := heap.Pop(&l.waiting).(*waiter)
		w.ready <- delivery{err: unavailable}
	}
}

func (l *Lane) refusalPause() time.Duration {
	if l.open == 0 {
		return refusedAlone
	}
	return refusedPause
}

// hand gives a connection that counts as in use to the first that waits, or
// lays it aside.
func (l *Lane) hand(c *Conn) {
	if l.closed {
		l.drop(c)
		return
	}
	if len(l.waiting) > 0 {
		w := heap.Pop(&l.waiting).(*waiter)
		w.ready <- delivery{conn: c}
		return
	}
	l.inUse--
	c.idle = l.clk.Now()
	l.idle = append(l.idle, c)
}

func (l *Lane) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hand(c)
}

func (l *Lane) drop(c *Conn) {
	l.open--
	l.inUse--
	c.Close()
}

func (l *Lane) discard(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
	l.grow(l.clk.Now())
}

// tend closes idle connections beyond the allowance, oldest first, and opens
// those that wait for the end of a pause.
func (l *Lane) tend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	for len(l.idle) > 0 && l.mayClose(now.Sub(l.idle[0].idle)) {
		c := l.idle[0]
		l.idle = l.idle[1:]
		l.open--
		c.Close()
	}
	l.grow(now)
}

// mayClose reports whether a connection that has been idle for a time should
// be given back.
func (l *Lane) mayClose(idle time.Duration) bool {
	if l.scarce {
		return idle > yieldIdle
	}
	return l.open > l.allowance && idle > burstIdle
}

// setAllowance changes how many connections the lane may keep. A part of less
// than one is a connection now and then, which is not kept.
func (l *Lane) setAllowance(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance, l.scarce = max(int(part), 1), part < 1
}

// close ends the lane: its target is gone. Those in use are closed as they
// come back; those that wait are told.
func (l *Lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.idle {
		l.open--
		c.Close()
	}
	l.idle = nil
	for len(l.waiting) > 0 {
		w := heap.Pop(&l.waiting).(*waiter)
		w.ready <- delivery{err: &UnavailableError{Target: l.id, Cause: errors.New("the target is gone")}}
	}
}

// control returns a connection for the fleet's own questions and orders: an
// idle one, or a new one beyond the allowance. It never waits behind requests.
func (l *Lane) control(ctx context.Context) (*Conn, error) {
	l.mu.Lock()
	c := l.takeIdle()
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	link, err := l.dial(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		unavailable := &UnavailableError{Target: l.id, Cause: err}
		var refusal Refusal
		if errors.As(err, &refusal) {
			unavailable.Code = refusal.Refused()
		}
		return nil, unavailable
	}
	l.open++
	l.inUse++
	return &Conn{Link: link, Target: l.id, lane: l}, nil
}
