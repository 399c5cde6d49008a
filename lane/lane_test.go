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

// link is a target's connection that answers everything with success and notes
// what it was told.
type link struct {
	queued  int
	told    []string
	lose    bool
	closed  atomic.Bool // lanes of several VMs share a dialer
	refuse  statement.Code
	refused string
}

func (l *link) add(text string) { l.queued++; l.told = append(l.told, text) }

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
	last := l.told[len(l.told)-l.queued]
	l.queued--
	a := &statement.Answer{}
	if last == l.refused {
		a.Code = l.refuse
	}
	return a, nil
}

type refusal struct{ error }

func (refusal) Refused() statement.Code { return statement.TooManyConnections }

// dialer opens links up to a limit, and notes them.
type dialer struct {
	mu    sync.Mutex
	limit int
	open  []*link
	dials int
	err   error
	hangs time.Duration
}

// hang makes connecting time out after so long; zero ends that.
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

// links returns the links opened so far, and how often one was asked for.
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
		body(newLane("x", d.dial, monotonic.New(), gateways.Share{Kept: kept, Idle: kept, Lent: kept == 0}), d)
	})
}

func now() clock.Time { return 0 }

func acquire(t *testing.T, l *Lane) *Conn {
	t.Helper()
	c, err := l.Acquire(context.Background(), Order{Due: now()}, time.Second)
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
		require.Len(t, d.open, 2, "one that the target has closed is not handed out")
	})
}

// More requests than connections: those due first go first, whoever came
// earlier, and one whose time ends leaves the queue.
func TestRequestsWaitByWhenTheyAreDue(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, _ *dialer) {
		held := acquire(t, l)
		order := make(chan string, 3)
		start := l.clk.Now()
		ask := func(name string, due, patience time.Duration) {
			c, err := l.Acquire(context.Background(), Order{Due: start.Add(due)}, patience)
			if err != nil {
				order <- name + " gave up"
				return
			}
			order <- name
			c.Release()
		}
		go ask("late", 9*time.Second, time.Minute)
		synctest.Wait()
		go ask("soon", 8*time.Second, time.Minute)
		go ask("brief", 7*time.Second, time.Second)
		time.Sleep(2 * time.Second)
		require.Equal(t, "brief gave up", <-order)
		held.Release()
		require.Equal(t, "soon", <-order)
		require.Equal(t, "late", <-order)
		require.Zero(t, l.Load().Queued)
	})
}

// The target refuses further connections. Requests wait for those that there
// are, and the target is not asked again for each of them.
func TestRefusedConnectionsAreNotTriedAgainAndAgain(t *testing.T) {
	inBubble(t, 1, 5, func(l *Lane, d *dialer) {
		held := acquire(t, l)
		for range 20 {
			go func() {
				c, err := l.Acquire(context.Background(), Order{}, time.Second)
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

// Nothing listens at the target. Requests that wait for it must hear so at
// once, for a read can go elsewhere.
func TestUnreachableTargetFailsRequestsAtOnce(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, d *dialer) {
		d.err = syscall.ECONNREFUSED
		start := time.Now()
		_, err := l.Acquire(context.Background(), Order{}, time.Minute)
		require.True(t, Refused(err))
		_, err = l.Acquire(context.Background(), Order{}, time.Minute)
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

// A burst opens a connection beyond the VM's part; it is given back soon, or
// other VMs would be refused.
func TestBorrowedConnectionIsGivenBack(t *testing.T) {
	inBubble(t, 9, 1, func(l *Lane, d *dialer) {
		first, second := acquire(t, l), acquire(t, l)
		first.Release()
		second.Release()
		time.Sleep(2 * burstIdle)
		l.tend()
		open := 0
		for _, x := range d.open {
			if !x.closed.Load() {
				open++
			}
		}
		require.Equal(t, 1, open)
	})
}

// There is less than one connection for each VM. One that this VM keeps for its
// next request is missed by another VM, whose requests are refused meanwhile.
func TestScarceConnectionIsNotKept(t *testing.T) {
	inBubble(t, 9, 0, func(l *Lane, d *dialer) {
		acquire(t, l).Release()
		acquire(t, l).Release()
		links, _ := d.links()
		require.Len(t, links, 1, "requests that follow each other share one")
		time.Sleep(2 * yieldIdle)
		l.tend()
		require.True(t, links[0].closed.Load())
		l.setShare(gateways.Share{Kept: 1, Idle: 1})
		acquire(t, l).Release()
		time.Sleep(time.Minute)
		l.tend()
		links, _ = d.links()
		require.False(t, links[1].closed.Load())
	})
}

// Two sessions use one connection in turn. Values of the first must not show in
// the second, and a statement that both prepare is prepared once.
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
		require.Equal(t, []string{"set lang=ga", "prepare " + first + " q1"}, d.open[0].told)
		_, _, err = c.Setup(nil, nil, nil)
		require.NoError(t, err)
		require.Equal(t, "reset", d.open[0].told[2])
		again, _, err := c.Setup(nil, stmt, nil)
		require.NoError(t, err)
		require.Equal(t, "prepare "+again+" q1", d.open[0].told[3], "a reset forgets prepared names")
		c.Release()
	})
}

func TestSetupThatIsRefusedIsAnError(t *testing.T) {
	inBubble(t, 1, 1, func(l *Lane, d *dialer) {
		c := acquire(t, l)
		d.open[0].refused, d.open[0].refuse = "set a=1", statement.Failed
		_, _, err := c.Setup(map[string]string{"a": "1"}, nil, &Begin{})
		require.ErrorIs(t, err, ErrSetup)
		c.Discard()
	})
}

// one keeps a connection to every target.
func one(*catalog.Target) gateways.Share { return gateways.Share{Kept: 1, Idle: 1} }

// A target leaves the catalog and its connections must go, also those in use
// when they come back; who waits is told.
func TestLaneOfALostTargetIsClosed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 1}
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
		with := &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x"}}}
		p.Update(with, one)
		c, err := p.Acquire(context.Background(), "x", Order{}, time.Second)
		require.NoError(t, err)
		failed := make(chan error, 1)
		go func() {
			_, err := p.Acquire(context.Background(), "x", Order{}, time.Minute)
			failed <- err
		}()
		time.Sleep(200 * time.Millisecond)
		p.Update(&catalog.Catalog{}, one)
		require.Error(t, <-failed)
		c.Release()
		require.True(t, d.open[0].closed.Load())
		_, err = p.Acquire(context.Background(), "x", Order{}, time.Second)
		require.Error(t, err)
	})
}

// A target starts again under its id, or moves. Its connections lead to a process that
// is gone, without a word if its VM lost power: requests must not be sent on them.
func TestLaneOfATargetThatStartedAgainIsMadeAnew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 1}
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
		as := func(made catalog.Target) *catalog.Catalog {
			return &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": &made}}
		}
		was := catalog.Target{ID: "x", Addr: "10.0.0.1:1", Incarnation: 1}
		p.Update(as(was), one)
		c, err := p.Acquire(context.Background(), "x", Order{}, time.Second)
		require.NoError(t, err)
		c.Release()
		leaves := was
		leaves.Draining, leaves.Role = true, target.RoleReplica
		p.Update(as(leaves), one)
		require.False(t, d.open[0].closed.Load(), "it is the same process")
		for i, next := range []catalog.Target{{ID: "x", Addr: was.Addr, Incarnation: 2}, {ID: "x", Addr: "10.0.0.2:1", Incarnation: 2}} {
			p.Update(as(next), one)
			require.True(t, d.open[i].closed.Load())
			c, err := p.Acquire(context.Background(), "x", Order{}, time.Second)
			require.NoError(t, err)
			c.Release()
			require.Len(t, d.open, i+2)
		}
	})
}

// The fleet's own question meets a full lane. It must not wait behind requests:
// a primary that seems dead is judged by its answer.
func TestControlDoesNotWaitBehindRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 3}
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
		p.Update(&catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x"}}}, one)
		var held []*Conn
		for range 2 {
			c, err := p.Acquire(context.Background(), "x", Order{}, time.Second)
			require.NoError(t, err)
			held = append(held, c)
		}
		start := time.Now()
		_, err := p.Control(context.Background(), "x", AskStatus, time.Second)
		require.NoError(t, err)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		third, err := p.Acquire(context.Background(), "x", Order{}, time.Second)
		require.NoError(t, err)
		_, err = p.Control(context.Background(), "x", AskStatus, time.Second)
		require.True(t, Answered(err), "a refusal for the number of connections shows life")
		for _, c := range append(held, third) {
			c.Release()
		}
	})
}
