package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

const (
	// burst is how many connections a lane may have beyond its allowance while
	// requests wait, if it has some that a transaction holds and runs nothing on. The
	// target's refusal is the limit that counts.
	burst = 1
	// burstIdle is how long a connection beyond those that stay open may lie idle:
	// closed much sooner it is soon opened again.
	burstIdle = 500 * time.Millisecond
	// yieldIdle is how long any connection may lie idle where there is less than
	// one for each VM. One that a VM keeps is missed by another, whose requests
	// are refused, and opening one takes some milliseconds only.
	yieldIdle = 100 * time.Millisecond
	// refusedPause is how long a lane opens nothing once the target has refused
	// a connection for their number, and refusedAlone how long if it has none
	// at all. Without the pause each request that waits would be refused again,
	// and each try takes one of the target's slots.
	refusedPause = time.Second
	refusedAlone = 40 * time.Millisecond
	// unreachablePause is the pause between two tries to reach a target that could
	// not be reached. Until one succeeds requests fail at once, so that reads go
	// elsewhere without waiting for the same failure.
	unreachablePause = 250 * time.Millisecond
	// usualDial is how long connecting takes at most if the target can be reached
	// and has a slot soon.
	usualDial = 100 * time.Millisecond
	// calmBacklog is the wait behind all that wait in time below which a target is
	// overloaded no more: less than the shortest of the objectives.
	calmBacklog = 100 * time.Millisecond
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
	// ComeBack is set if the request was refused at once, as it could not have
	// been served in its time: when there will be room for it.
	ComeBack time.Duration
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

// Dialer opens a link to a target for a workspace's requests. A refusal by the target
// is reported by Refusal.
type Dialer func(ctx context.Context, workspace string) (Link, error)

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
	made *catalog.Target // as it was when the lane was made

	mu        sync.Mutex
	allowance int
	keepsIdle int  // how many stay open while nothing runs on them
	lent      bool // connections are not kept
	idle      []*Conn
	open      int
	openFor   map[string]int // by workspace
	dialing   int
	dialsFor  map[string]int // by workspace
	waiting   queue
	refused   clock.Time // until when nothing beyond is opened
	down      clock.Time // until when it is not tried again
	downCause error      // nil while it is not known to be unreachable
	dialSince clock.Time // when the oldest connection under way was begun
	closed    bool
	used      clock.Time // when a connection was last asked for
	inUse     int
	busy      map[*Conn]struct{} // those that were handed to statements
	resting   int                // of those in use, how many run nothing just now
	overdue   int                // and how many run what takes far longer than usual
	running   int                // how many may run something; 0 is any number
	resuming  queue              // transactions that wait to run a statement
	urgent    queue              // the fleet's own orders
	drain     drain
}

func newLane(id target.ID, dial Dialer, clk clock.Clock, share gateways.Share) *Lane {
	l := &Lane{
		id: id, dial: dial, clk: clk, used: clk.Now(), busy: make(map[*Conn]struct{}),
		openFor: make(map[string]int), dialsFor: make(map[string]int),
	}
	l.setShare(share)
	return l
}

// Load is a lane's state at one moment.
type Load struct {
	// InUse is how many connections are handed out.
	InUse int
	// Queued is how many requests wait.
	Queued int
	// Late is how many of them have missed their objective.
	Late int
	// Resting is how many of those in use wait for their consumer.
	Resting int
	// Open is how many connections there are.
	Open int
	// Every is the interval at which waiting requests are served; 0 if not known.
	Every time.Duration
	// Allowance is how many connections the lane may keep.
	Allowance int
	// Down is set while the target could not be reached just now.
	Down bool
}

// Load returns the lane's state.
func (l *Lane) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{
		InUse: l.inUse, Queued: l.waiting.Len(), Late: l.waiting.late.Len(), Resting: l.resting,
		Open: l.open, Every: l.drain.after(1), Allowance: l.allowance, Down: l.downCause != nil && l.open == 0 || l.hangs(l.clk.Now()),
	}
}

// errClosed says that a lane was taken out of its Pool.
var errClosed = errors.New("the lane is closed")

// Acquire returns a connection by the deadline. The error is an
// *UnavailableError, or errClosed.
func (l *Lane) Acquire(ctx context.Context, o Order, timeout time.Duration) (*Conn, error) {
	l.mu.Lock()
	now := l.clk.Now()
	if l.closed {
		l.mu.Unlock()
		return nil, errClosed
	}
	l.used = now
	if l.unreachable(now) {
		err := &UnavailableError{Target: l.id, Cause: l.downCause}
		l.mu.Unlock()
		return nil, err
	}
	if l.waiting.Len() == 0 && l.mayRun() {
		if c := l.takeIdle(o.Workspace); c != nil {
			l.begin(c, now)
			l.mu.Unlock()
			return c, nil
		}
	}
	if l.hopeless(now, o) {
		err := l.overloaded()
		l.mu.Unlock()
		return nil, err
	}
	w := &waiter{order: o, ready: make(chan delivery, 1)}
	l.waiting.push(w)
	l.serve(now)
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
	if w.remove() {
		l.mu.Unlock()
		return nil, &UnavailableError{Target: l.id, Expired: true, Cause: errors.New("no connection became free in time")}
	}
	l.mu.Unlock()
	d := <-w.ready
	return d.conn, d.err
}

// takeIdle hands out the most recently used idle connection of a workspace that is
// alive.
func (l *Lane) takeIdle(workspace string) *Conn {
	return l.takeIdleIf(func(c *Conn) bool { return c.workspace == workspace })
}

func (l *Lane) takeIdleIf(fits func(c *Conn) bool) *Conn {
	for i := len(l.idle) - 1; i >= 0; i-- {
		c := l.idle[i]
		if !fits(c) {
			continue
		}
		l.idle = slices.Delete(l.idle, i, i+1)
		if c.Alive() {
			l.inUse++
			c.handed = 0
			return c
		}
		l.shut(c)
	}
	return nil
}

// opened counts a new connection.
func (l *Lane) opened(link Link, workspace string) *Conn {
	l.open++
	l.openFor[workspace]++
	return &Conn{Link: link, Target: l.id, lane: l, workspace: workspace}
}

// shut closes a connection that is not in use.
func (l *Lane) shut(c *Conn) {
	l.open--
	if l.openFor[c.workspace]--; l.openFor[c.workspace] == 0 {
		delete(l.openFor, c.workspace)
	}
	c.Close()
}

// refuse tells those that wait, and fit, why they get no connection.
func (l *Lane) refuse(now clock.Time, err error, fits func(*waiter) bool) {
	for w := l.waiting.next(now, fits); w != nil; w = l.waiting.next(now, fits) {
		w.ready <- delivery{err: err}
	}
}

// tend closes idle connections beyond those that stay, oldest first, and opens
// those that wait for the end of a pause.
func (l *Lane) tend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	for len(l.idle) > 0 && l.mayClose(now.Sub(l.idle[0].idle)) {
		c := l.idle[0]
		l.idle = l.idle[1:]
		l.shut(c)
	}
	l.noteOverdue(now)
	l.grow(now)
}

// mayClose reports whether a connection that has been idle for a time should
// be given back.
func (l *Lane) mayClose(idle time.Duration) bool {
	if l.lent {
		return idle > yieldIdle
	}
	return l.open > l.keepsIdle && idle > burstIdle
}

// setShare changes how many connections the lane may keep. Without a share it
// has one now and then, beyond it.
func (l *Lane) setShare(s gateways.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance, l.keepsIdle, l.lent, l.running = s.Kept, s.Idle, s.Lent, s.Running
	l.waiting.judges = s.Running > 0
}

// unused reports whether the lane has no connection and was not asked for one for
// long. Nothing is under way then: whoever waits has asked far more lately.
func (l *Lane) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && l.clk.Now().Sub(l.used) > unusedAfter
}

// close ends the lane: its target is gone, or it is unused. Those in use are closed as they
// come back; those that wait are told.
func (l *Lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.idle {
		l.shut(c)
	}
	l.idle = nil
	l.refuse(l.clk.Now(), &UnavailableError{Target: l.id, Cause: errors.New("the target is gone")}, anyone)
}
