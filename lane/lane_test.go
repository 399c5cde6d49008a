package lane

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// link is a connection to a target that answers every command with success and records it, unless
// the command is the refused one.
type link struct {
	queued      int
	received    []string
	lose        bool
	closed      atomic.Bool // lanes of several VMs share a dialer
	refusalCode statement.Code
	refused     string
}

func (l *link) add(text string) { l.queued++; l.received = append(l.received, text) }

func (l *link) Queue(s *statement.Statement, _ timeline.Position) { l.add(s.Text) }
func (l *link) QueueExecute(s *statement.Statement, _ timeline.Position, n string) {
	l.add("exec " + n)
}
func (l *link) QueueBegin(bool, timeline.Position)   { l.add("begin") }
func (l *link) QueueRollback()                       { l.add("rollback") }
func (l *link) QueueReset()                          { l.add("reset") }
func (l *link) QueueSet(n, v string)                 { l.add("set " + n + "=" + v) }
func (l *link) QueuePrepare(n, shape string, _ bool) { l.add("prepare " + n + " " + shape) }
func (l *link) QueueStatus()                         { l.add("status") }
func (l *link) QueuePause(timeline.Term)             { l.add("pause") }
func (l *link) QueueResume()                         { l.add("resume") }
func (l *link) QueueStepDown(timeline.Term)          { l.add("step-down") }
func (l *link) Flush(time.Duration) error            { return nil }
func (l *link) Alive() bool                          { return !l.closed.Load() }
func (l *link) Close()                               { l.closed.Store(true) }

func (l *link) Receive(timeout time.Duration) (*statement.Answer, error) {
	if l.lose {
		time.Sleep(timeout)
		return nil, errors.New("no answer")
	}
	last := l.received[len(l.received)-l.queued]
	l.queued--
	a := &statement.Answer{}
	if last == l.refused {
		a.Code = l.refusalCode
	}
	return a, nil
}

type refusal struct{ error }

func (refusal) Refused() statement.Code { return statement.TooManyConnections }

// dialer opens links up to a limit and records them.
type dialer struct {
	mu    sync.Mutex
	limit int
	open  []*link
	dials int
	err   error
	hangs time.Duration
}

// hang makes connecting time out after the given time; zero makes it succeed again.
func (d *dialer) hang(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangs = timeout
}

func (d *dialer) count() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
}

// links returns the links opened so far and the number of dials.
func (d *dialer) links() ([]*link, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open, d.dials
}

func (d *dialer) dial(context.Context, string) (Link, error) {
	d.count()
	d.mu.Lock()
	hangs := d.hangs
	d.mu.Unlock()
	if hangs > 0 {
		time.Sleep(hangs)
		return nil, context.DeadlineExceeded
	}
	time.Sleep(10 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return nil, d.err
	}
	live := 0
	for _, l := range d.open {
		if !l.closed.Load() {
			live++
		}
	}
	if live >= d.limit {
		return nil, refusal{errors.New("too many")}
	}
	l := &link{}
	d.open = append(d.open, l)
	return l, nil
}

func inBubble(t *testing.T, limit, kept int, body func(l *Lane, d *dialer)) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: limit}
		body(newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: kept, MaxIdle: kept, Temporary: kept == 0}), d)
	})
}

func now() clock.Time { return 0 }

func acquire(t *testing.T, l *Lane) *Conn {
	t.Helper()
	c, err := l.Acquire(context.Background(), AcquireOptions{Due: now()}, time.Second)
	require.NoError(t, err)
	return c
}

func TestConnectionIsUsedAgain(t *testing.T) {
	inBubble(t, 9, 2, func(l *Lane, d *dialer) {
		for range 5 {
			acquire(t, l).Release()
		}
		require.Len(t, d.open, 1)
		d.open[0].closed.Store(true)
		acquire(t, l).Release()
		require.Len(t, d.open, 2, "a connection that the target has closed must not be reused")
	})
}

// With more requests than connections, the request due first is served first whatever the order of
// arrival, and a request that times out leaves the queue.
func TestRequestsWaitByWhenTheyAreDue(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, _ *dialer) {
		held := acquire(t, l)
		order := make(chan string, 3)
		start := l.clk.Now()
		request := func(name string, due, timeout time.Duration) {
			c, err := l.Acquire(context.Background(), AcquireOptions{Due: start.Add(due)}, timeout)
			if err != nil {
				order <- name + " timed out"
				return
			}
			order <- name
			c.Release()
		}
		go request("late", 9*time.Second, time.Minute)
		synctest.Wait()
		go request("soon", 8*time.Second, time.Minute)
		go request("brief", 7*time.Second, time.Second)
		time.Sleep(2 * time.Second)
		require.Equal(t, "brief timed out", <-order)
		held.Release()
		require.Equal(t, "soon", <-order)
		require.Equal(t, "late", <-order)
		require.Zero(t, l.Load().Queued)
	})
}

// The target refuses further connections. Requests wait for the open ones, and the target is not
// dialed again for each request.
func TestRefusedConnectionsAreNotTriedAgainAndAgain(t *testing.T) {
	inBubble(t, 1, 5, func(l *Lane, d *dialer) {
		held := acquire(t, l)
		for range 20 {
			go func() {
				c, err := l.Acquire(context.Background(), AcquireOptions{}, time.Second)
				if err == nil {
					c.Release()
				}
			}()
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		_, dials := d.links()
		require.Less(t, dials, 6)
		held.Release()
		time.Sleep(time.Second)
		require.Zero(t, l.Load().Queued)
		require.Zero(t, l.Load().InUse)
	})
}

// No process listens at the target. Requests must fail at once, since a read can go elsewhere.
func TestUnreachableTargetFailsRequestsAtOnce(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, d *dialer) {
		d.err = syscall.ECONNREFUSED
		start := time.Now()
		_, err := l.Acquire(context.Background(), AcquireOptions{}, time.Minute)
		require.True(t, Refused(err))
		_, err = l.Acquire(context.Background(), AcquireOptions{}, time.Minute)
		require.Error(t, err)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		_, dials := d.links()
		require.Equal(t, 1, dials)
		require.True(t, l.Load().Down)
		d.err = nil
		time.Sleep(unreachablePause)
		acquire(t, l).Release()
	})
}

// A burst opens a connection beyond the VM's share. It must be closed soon, or other VMs would be
// refused.
func TestBorrowedConnectionIsGivenBack(t *testing.T) {
	inBubble(t, 9, 1, func(l *Lane, d *dialer) {
		first, second := acquire(t, l), acquire(t, l)
		first.Release()
		second.Release()
		time.Sleep(2 * burstIdleTimeout)
		l.maintain()
		open := 0
		for _, x := range d.open {
			if !x.closed.Load() {
				open++
			}
		}
		require.Equal(t, 1, open)
	})
}

// The target accepts fewer than one connection per VM. Failure guarded against: this VM retains one
// for its next request, and the requests of another VM are refused in the meantime.
func TestScarceConnectionIsNotKept(t *testing.T) {
	inBubble(t, 9, 0, func(l *Lane, d *dialer) {
		acquire(t, l).Release()
		acquire(t, l).Release()
		links, _ := d.links()
		require.Len(t, links, 1, "requests that follow each other share one")
		time.Sleep(2 * temporaryIdleTimeout)
		l.maintain()
		require.True(t, links[0].closed.Load())
		l.setShare(gateways.Share{MaxOpen: 1, MaxIdle: 1})
		acquire(t, l).Release()
		time.Sleep(time.Minute)
		l.maintain()
		links, _ = d.links()
		require.False(t, links[1].closed.Load())
	})
}

// Two sessions use one connection in turn. Values of the first must not be visible to the second,
// and a statement that both prepare is prepared once.
func TestSetupFitsTheConnectionToTheSession(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, d *dialer) {
		stmt := &Prepared{Shape: "q1"}
		c := acquire(t, l)
		first, _, err := c.Setup(map[string]string{"lang": "ga"}, stmt, nil)
		require.NoError(t, err)
		c.Release()
		c = acquire(t, l)
		_, _, err = c.Setup(map[string]string{"lang": "ga"}, stmt, nil)
		require.NoError(t, err)
		require.Equal(t, []string{"set lang=ga", "prepare " + first + " q1"}, d.open[0].received)
		_, _, err = c.Setup(nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, "reset", d.open[0].received[2])
		again, _, err := c.Setup(nil, stmt, nil)
		require.NoError(t, err)
		require.Equal(t, "prepare "+again+" q1", d.open[0].received[3], "a reset clears prepared statements")
		c.Release()
	})
}

func TestSetupThatIsRefusedIsAnError(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, d *dialer) {
		c := acquire(t, l)
		d.open[0].refused, d.open[0].refusalCode = "set a=1", statement.Failed
		_, _, err := c.Setup(map[string]string{"a": "1"}, nil, &Begin{})
		require.ErrorIs(t, err, ErrSetup)
		c.Discard()
	})
}

// oneEach is a share of one connection to every target.
func oneEach(*catalog.Target) gateways.Share { return gateways.Share{MaxOpen: 1, MaxIdle: 1} }

// A target is removed from the catalog. Its connections must be closed, those in use as soon as
// they are released, and waiting requests must fail.
func TestLaneOfARemovedTargetIsClosed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 1}
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
		with := &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x"}}}
		p.Update(with, oneEach)
		c, err := p.Acquire(context.Background(), "x", AcquireOptions{}, time.Second)
		require.NoError(t, err)
		failed := make(chan error, 1)
		go func() {
			_, err := p.Acquire(context.Background(), "x", AcquireOptions{}, time.Minute)
			failed <- err
		}()
		time.Sleep(200 * time.Millisecond)
		p.Update(&catalog.Catalog{}, oneEach)
		require.Error(t, <-failed)
		c.Release()
		require.True(t, d.open[0].closed.Load())
		_, err = p.Acquire(context.Background(), "x", AcquireOptions{}, time.Second)
		require.Error(t, err)
	})
}

// A target restarts under its id, or moves to another address. Its connections lead to a process
// that has ended, and are not reset if its VM lost power: no request must be sent on them.
func TestLaneOfATargetThatStartedAgainIsMadeAnew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 1}
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
		as := func(made catalog.Target) *catalog.Catalog {
			return &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": &made}}
		}
		was := catalog.Target{ID: "x", Addr: "10.0.0.1:1", Incarnation: 1}
		p.Update(as(was), oneEach)
		c, err := p.Acquire(context.Background(), "x", AcquireOptions{}, time.Second)
		require.NoError(t, err)
		c.Release()
		draining := was
		draining.Draining, draining.Role = true, target.RoleReplica
		p.Update(as(draining), oneEach)
		require.False(t, d.open[0].closed.Load(), "it is the same process")
		for i, next := range []catalog.Target{{ID: "x", Addr: was.Addr, Incarnation: 2}, {ID: "x", Addr: "10.0.0.2:1", Incarnation: 2}} {
			p.Update(as(next), oneEach)
			require.True(t, d.open[i].closed.Load())
			c, err := p.Acquire(context.Background(), "x", AcquireOptions{}, time.Second)
			require.NoError(t, err)
			c.Release()
			require.Len(t, d.open, i+2)
		}
	})
}

// A control command must not wait behind requests at a saturated lane: its answer decides whether
// an unresponsive primary is considered dead.
func TestControlDoesNotWaitBehindRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 3}
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
		p.Update(&catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x"}}}, oneEach)
		var held []*Conn
		for range 2 {
			c, err := p.Acquire(context.Background(), "x", AcquireOptions{}, time.Second)
			require.NoError(t, err)
			held = append(held, c)
		}
		start := time.Now()
		_, err := p.Control(context.Background(), "x", StatusCommand, time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		third, err := p.Acquire(context.Background(), "x", AcquireOptions{}, time.Second)
		require.NoError(t, err)
		_, err = p.Control(context.Background(), "x", StatusCommand, time.Second)
		require.True(t, Answered(err), "a refusal because of too many connections shows that the target is alive")
		for _, c := range append(held, third) {
			c.Release()
		}
	})
}
