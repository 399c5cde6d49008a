package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/retryafter"
	"endivemoor.example/endivemoor/returning"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

const (
	// burst is the number of connections that a lane may have beyond its allowance while requests
	// wait. Where the number of running statements is bounded, the lane must also have parked or
	// overdue connections. The target's refusal is the limit that counts.
	burst = 1
	// burstIdleTimeout is how long a connection beyond the retained ones may be idle. With a much
	// shorter timeout it would soon have to be opened again.
	burstIdleTimeout = 500 * time.Millisecond
	// temporaryIdleTimeout is how long any connection may be idle where the target accepts fewer than
	// one per VM. While one VM retains a connection, another lacks it and its requests are refused,
	// and opening one takes a few milliseconds only.
	temporaryIdleTimeout = 100 * time.Millisecond
	// refusedPause is how long a lane opens no connection after the target has refused one because
	// it has too many, and refusedPauseWithoutConns how long if the lane has none at all. Without
	// the pause every waiting request would be refused again, and each try takes one of the
	// target's slots.
	refusedPause             = time.Second
	refusedPauseWithoutConns = 40 * time.Millisecond
	// unreachablePause is the pause between two dials of an unreachable target. Until one succeeds,
	// requests fail at once, so that reads go elsewhere without waiting for the same failure.
	unreachablePause = 250 * time.Millisecond
	// usualDialTime is the longest time that connecting takes if the target is reachable and a slot
	// becomes free soon.
	usualDialTime = 100 * time.Millisecond
	// overloadEndBacklog is the wait behind all requests that can still meet their objective below
	// which a target is no longer overloaded: less than the shortest objective.
	overloadEndBacklog = 100 * time.Millisecond
	// maxDialing bounds the concurrent dials: each takes a slot.
	maxDialing = 2
)

// UnavailableError reports that no connection to a target was available. The request was not sent.
type UnavailableError struct {
	Target target.ID
	// Code is set if the target itself refused.
	Code statement.Code
	// Expired is set if the request timed out in the queue.
	Expired bool
	// Busy is set, with Expired, if the target answered other statements meanwhile.
	Busy bool
	// RetryAfter is set if the request was refused without waiting because it could not have been
	// served in time: the time until the target is expected to have room for it.
	RetryAfter time.Duration
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

// Dialer opens a link to a target for a workspace's requests. If the target refuses, the error
// implements Refusal.
type Dialer func(ctx context.Context, workspace string) (Link, error)

// Refusal is implemented by a dialer's error if the target itself refused the connection.
type Refusal interface {
	error
	// Refused returns the target's reason.
	Refused() statement.Code
}

// Lane holds the connections to one target and the requests that wait for one. It is safe for
// concurrent use.
type Lane struct {
	id     target.ID
	dial   Dialer
	clk    clock.Clock
	target *catalog.Target // as of the lane's creation
	// decisions counts what the lane decides; nil in tests.
	decisions *decisions.Recorder

	mu           sync.Mutex
	allowance    int
	minOpen      int  // how many stay open while idle
	temporary    bool // idle connections are not retained
	handingOver  bool // the share was lost while the lane was in use
	idle         []*Conn
	open         int
	openFor      map[string]int // by workspace
	dialing      int
	dialsFor     map[string]int // by workspace
	waiting      queue
	returns      retryafter.Schedule // of refused callers
	refusedUntil clock.Time          // until when no further connection is opened
	downUntil    clock.Time          // until when the target is not dialed again
	downCause    error               // nil unless the target is known to be unreachable
	dialSince    clock.Time          // start of the oldest dial in progress
	closed       bool
	lastUsed     clock.Time // when a connection was last requested
	inUse        int
	busy         map[*Conn]struct{} // connections acquired for statements
	parked       int                // of those in use, how many are parked
	overdue      int                // and how many run an overdue statement
	maxRunning   int                // how many statements may run at once; 0 is unlimited
	unparking    queue              // transactions that wait to run their next statement
	controlQueue queue              // control commands
	drain        drain
	created      clock.Time
	answered     clock.Time // when a statement was last answered
	slotUse      slotUse
	perWorkspace bool // idle connections are retained by their use
	refusedOpen  int  // how many were open at the last refusal, less those returned since
	usage        usage
	// returning holds the refused callers of the target's service; nil if none are recognized.
	returning  *returning.Book
	classTerms map[uint32]classTerms
}

func newLane(id target.ID, dial Dialer, clk clock.Clock, share gateways.Share) *Lane {
	l := &Lane{
		id: id, dial: dial, clk: clk, lastUsed: clk.Now(), created: clk.Now(), busy: make(map[*Conn]struct{}),
		openFor: make(map[string]int), dialsFor: make(map[string]int),
	}
	l.setShare(share)
	return l
}

// Load is a snapshot of a lane's state.
type Load struct {
	// InUse is the number of connections in use.
	InUse int
	// Queued is the number of waiting requests.
	Queued int
	// Late is the number of waiting requests that have missed their objective.
	Late int
	// Parked is the number of connections in use whose transaction waits for its consumer.
	Parked int
	// Open is the number of open connections.
	Open int
	// ServeInterval is the average interval at which waiting requests are served; 0 if not known.
	ServeInterval time.Duration
	// ExpectedWait is the estimated wait for a connection of a request that arrives now.
	ExpectedWait time.Duration
	// ServiceTime is the average time that the target takes for a statement; 0 if not known.
	ServiceTime time.Duration
	// Overloaded is set while requests that would be late are refused.
	Overloaded bool
	// Reported is set if the load is known from the VM that holds the connections, and Failed is the
	// fraction of recent statements there that got no complete answer.
	Reported bool
	Failed   float64
	// Allowance is the number of connections that the lane may retain.
	Allowance int
	// Down is set while the lane has no connection because the target is unreachable or the dial
	// hangs.
	Down bool
}

// Load returns the lane's state.
func (l *Lane) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Load{
		InUse: l.inUse, Queued: l.waiting.Len(), Late: l.waiting.late.Len(), Parked: l.parked,
		Open: l.open, ServeInterval: l.drain.after(1), ExpectedWait: l.expectedWait(l.waiting.inTime.work, l.waiting.inTime.Len()),
		ServiceTime: l.waiting.times.average.mean, Overloaded: l.waiting.overloaded(), Allowance: l.allowance, Down: l.downCause != nil && l.open == 0 || l.dialHangs(l.clk.Now()),
	}
}

// errClosed reports that a lane was removed from its Pool.
var errClosed = errors.New("the lane is closed")

// Acquire returns a connection, waiting until the timeout at most. The error is an
// *UnavailableError, or errClosed.
func (l *Lane) Acquire(ctx context.Context, o AcquireOptions, timeout time.Duration) (*Conn, error) {
	l.mu.Lock()
	now := l.clk.Now()
	if l.closed {
		l.mu.Unlock()
		return nil, errClosed
	}
	l.lastUsed = now
	if l.unreachable(now) {
		err := &UnavailableError{Target: l.id, Cause: l.downCause}
		l.mu.Unlock()
		return nil, err
	}
	o, returns := l.recognize(now, o)
	if l.waiting.Len() == 0 && l.mayRun() {
		if c := l.takeIdle(o.Workspace); c != nil {
			work, _ := l.waiting.times.of(now, o.Class)
			l.slotUse.recordFresh(now, work)
			l.begin(c, o.Class, now)
			l.mu.Unlock()
			return c, nil
		}
	}
	w := &waiter{opts: o, ready: make(chan delivery, 1)}
	err := l.admit(now, w, timeout)
	if err == nil {
		l.waiting.push(w)
		l.serve(now)
		l.grow(now)
	}
	l.mu.Unlock()
	var c *Conn
	if err == nil {
		c, err = l.await(ctx, w, timeout)
	}
	if err != nil && returns {
		// The next target of the request knows its first try.
		l.mu.Lock()
		l.rememberRefused(o)
		l.mu.Unlock()
	}
	return c, err
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
		defer l.mu.Unlock()
		return nil, l.expired(timeout, "no connection became free in time")
	}
	l.mu.Unlock()
	d := <-w.ready
	return d.conn, d.err
}

// expired returns the error of a request whose turn does not come within its timeout.
func (l *Lane) expired(timeout time.Duration, cause string) *UnavailableError {
	busy := l.answered != 0 && l.clk.Now().Sub(l.answered) < timeout
	return &UnavailableError{Target: l.id, Expired: true, Busy: busy, Cause: errors.New(cause)}
}

// takeIdle takes the workspace's most recently used idle connection that is alive; nil if there is
// none.
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
			c.acquiredAt = 0
			return c
		}
		l.count(closedBroken)
		l.shut(c)
	}
	return nil
}

// opened wraps a new link and counts it.
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

// refuse fails the waiting requests for which fits returns true with err.
func (l *Lane) refuse(now clock.Time, err error, fits func(*waiter) bool) {
	for w := l.waiting.next(now, fits); w != nil; w = l.waiting.next(now, fits) {
		w.ready <- delivery{err: err}
	}
}

// maintain closes idle connections beyond the retained ones, and opens those whose dial was delayed
// by a pause.
func (l *Lane) maintain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	for i := l.surplus(now); i >= 0; i = l.surplus(now) {
		l.closeIdle(i, closedUnused)
		l.refusedOpen = min(l.refusedOpen, l.open)
	}
	if l.perWorkspace {
		l.usage.forget(now, l.openFor)
	}
	l.continueHandover()
	l.markOverdue(now)
	l.grow(now)
}

// setWeights sets the weights of the workspaces' shares.
func (l *Lane) setWeights(w *weights) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting.shares.weights = w
}

// unused reports whether the lane has no connection and none was requested for unusedAfter. No
// request waits then: requests time out much sooner.
func (l *Lane) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && l.clk.Now().Sub(l.lastUsed) > unusedAfter
}

// close closes the lane, because its target was removed or it is unused. Connections in use are
// closed when they are released; waiting requests fail.
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
