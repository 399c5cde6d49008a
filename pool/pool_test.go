package pool

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/view"
)

type fixedDelay time.Duration

func (d fixedDelay) Delay(int, *rand.Rand) time.Duration { return time.Duration(d) }

type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() clock.Time { return clock.Time(c.now.Load()) }

// fakeTarget implements as much of the protocol as is needed to record which statements arrive on
// which connection.
type fakeTarget struct {
	ln net.Listener
	// refuseLogins makes every login fail.
	refuseLogins atomic.Bool
	// failResets makes resets fail.
	failResets atomic.Bool
	// closeAfterReset closes a connection after the reply to a reset.
	closeAfterReset atomic.Bool

	mu     sync.Mutex
	logins int
	log    map[int][]string
	cancel chan struct{}
}

func startFake(t *testing.T) *fakeTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeTarget{ln: ln, log: map[int][]string{}, cancel: make(chan struct{}, 1)}
	go f.accept()
	t.Cleanup(func() { ln.Close() })
	return f
}

func (f *fakeTarget) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.serve(c)
	}
}

func (f *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	first, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := first.(*pgproto3.CancelRequest); ok {
		f.cancel <- struct{}{}
		return
	}
	if f.refuseLogins.Load() {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P03"})
		_ = b.Flush()
		return
	}
	f.mu.Lock()
	f.logins++
	n := f.logins
	f.mu.Unlock()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: uint32(n), SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if ok {
			f.answer(b, n, q.String)
		}
		if ok && q.String == resetStatement && f.closeAfterReset.Load() {
			_ = b.Flush()
			return
		}
	}
}

func (f *fakeTarget) answer(b *pgproto3.Backend, n int, sql string) {
	f.mu.Lock()
	f.log[n] = append(f.log[n], sql)
	f.mu.Unlock()
	status := byte('I')
	switch {
	case sql == "BEGIN":
		status = 'T'
	case sql == resetStatement && f.failResets.Load():
		b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "XX000"})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return
	}
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte(sql)})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (f *fakeTarget) server() *view.Server {
	return &view.Server{ID: "a", Addr: f.ln.Addr().String()}
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logins
}

func newPool(t *testing.T, limit int, clk clock.Clock) *Pool {
	dial, err := NewDialer("postgres://u:p@x/db?sslmode=disable")
	require.NoError(t, err)
	p := New(Config{Dial: dial, Limit: limit, Backoff: fixedDelay(time.Minute), Clock: clk, Log: zap.NewNop()})
	t.Cleanup(p.Close)
	return p
}

func exchange(t *testing.T, l *Lease, sql string) {
	require.NoError(t, l.Send(&pgproto3.Query{String: sql}))
	require.NoError(t, l.Flush())
	for {
		m, err := l.Receive()
		require.NoError(t, err)
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

func acquire(t *testing.T, p *Pool, f *fakeTarget) *Lease {
	l, err := p.Acquire(context.Background(), f.server(), 1, time.Minute)
	require.NoError(t, err)
	return l
}

func awaitIdle(t *testing.T, p *Pool) {
	require.Eventually(t, func() bool { return p.Stats("a").Idle == 1 }, 10*time.Second, time.Millisecond)
}

func TestReuseIsResetFirst(t *testing.T) {
	f := startFake(t)
	p := newPool(t, 1, &manualClock{})
	l := acquire(t, p, f)
	exchange(t, l, "one")
	l.Release()
	l2 := acquire(t, p, f)
	exchange(t, l2, "two")
	require.Equal(t, 1, f.count())
	require.Equal(t, []string{"one", resetStatement, "two"}, f.log[1])
}

// Failure guarded against: a caller keeps using its connection after its transaction has ended, for
// example because an answer was late, while another caller already owns the connection. Nothing of
// the first caller may be sent on it or read from it.
func TestFormerOwnerCannotTouchTheConnection(t *testing.T) {
	f := startFake(t)
	p := newPool(t, 1, &manualClock{})
	l := acquire(t, p, f)
	exchange(t, l, "one")
	l.Release()
	l2 := acquire(t, p, f)
	require.ErrorIs(t, l.Send(&pgproto3.Query{String: "stray"}), ErrNotOwner)
	require.ErrorIs(t, l.Flush(), ErrNotOwner)
	_, err := l.Receive()
	require.ErrorIs(t, err, ErrNotOwner)
	l.Discard()
	l.Release()
	exchange(t, l2, "two")
}

// With the owner guard disabled, the same stray statement reaches the target on the other caller's
// connection, and the fake target's log shows it. This proves that the test above detects the
// failure.
func TestStrayStatementReachesTheTargetWithoutOwnerGuard(t *testing.T) {
	f := startFake(t)
	p := newPool(t, 1, &manualClock{})
	p.cfg.Guards = guard.Without(GuardOwner)
	l := acquire(t, p, f)
	exchange(t, l, "one")
	l.Release()
	l2 := acquire(t, p, f)
	require.NoError(t, l.Send(&pgproto3.Query{String: "stray"}))
	exchange(t, l2, "two")
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Contains(f.log[1], "stray")
	}, 10*time.Second, time.Millisecond)
}

// Failure guarded against: a caller gives up a request while its answer is in transit. If the
// connection were reused, the next caller would read the previous caller's answer.
func TestUnfinishedConnectionIsClosed(t *testing.T) {
	for name, abandon := range map[string]func(*Lease){
		"answer pending":   func(l *Lease) { _ = l.Send(&pgproto3.Query{String: "slow"}); _ = l.Flush() },
		"open transaction": func(l *Lease) { exchange(t, l, "BEGIN") },
		"canceled":         func(l *Lease) { exchange(t, l, "x"); _ = l.Cancel(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFake(t)
			p := newPool(t, 1, &manualClock{})
			l := acquire(t, p, f)
			abandon(l)
			l.Release()
			exchange(t, acquire(t, p, f), "next")
			require.Equal(t, 2, f.count())
			require.Equal(t, []string{"next"}, f.log[2])
		})
	}
}

// Failure guarded against: a server cannot drop a caller's settings, and the next caller runs under
// them. The connection must be closed instead.
func TestFailedResetClosesTheConnection(t *testing.T) {
	f := startFake(t)
	f.failResets.Store(true)
	p := newPool(t, 1, &manualClock{})
	l := acquire(t, p, f)
	exchange(t, l, "one")
	l.Release()
	exchange(t, acquire(t, p, f), "two")
	require.Equal(t, 2, f.count())
}

// Failure guarded against: a primary is unreachable and thousands of callers try to connect to it.
// Each caller must receive the error immediately, while its request is still queued, and the pool
// must make one attempt and no other until the server's backoff ends.
func TestUnreachableServerIsNotRetriedDuringBackoff(t *testing.T) {
	f := startFake(t)
	f.refuseLogins.Store(true)
	clk := &manualClock{}
	p := newPool(t, 4, clk)
	var unavailable *UnavailableError
	for range 20 {
		_, err := p.Acquire(context.Background(), f.server(), 1, time.Minute)
		require.ErrorAs(t, err, &unavailable)
	}
	require.Equal(t, time.Minute, unavailable.RetryAfter)
	require.Equal(t, 1, p.servers["a"].quota.failures)
	f.refuseLogins.Store(false)
	clk.now.Store(int64(time.Minute))
	exchange(t, acquire(t, p, f), "back")
}

// Failure guarded against: a primary dies while a connection to it is idle. A write sent on that
// connection would be lost and reported as "unknown", although nothing ran. With the guard the
// write gets a new connection; without it, the write fails after it was sent.
func TestDeadIdleConnectionIsNotLeased(t *testing.T) {
	for _, guards := range []guard.Set{nil, guard.Without(GuardAlive)} {
		f := startFake(t)
		f.closeAfterReset.Store(true)
		p := newPool(t, 1, &manualClock{})
		p.cfg.Guards = guards
		l := acquire(t, p, f)
		exchange(t, l, "one")
		l.Release()
		awaitIdle(t, p)
		c := p.servers["a"].idle[0]
		require.NoError(t, c.confirmReset(time.Now().Add(time.Minute)))
		c.resetPending = false
		require.Eventually(t, func() bool { return !c.alive() }, time.Minute, time.Millisecond)
		l = acquire(t, p, f)
		require.NoError(t, l.Send(&pgproto3.Query{String: "two"}))
		_ = l.Flush()
		_, err := l.Receive()
		require.Equal(t, guards.Disabled(GuardAlive), err != nil)
	}
}

func TestWaitersAreServedInOrder(t *testing.T) {
	f := startFake(t)
	p := newPool(t, 1, &manualClock{})
	l := acquire(t, p, f)
	exchange(t, l, "first")
	got := make(chan int, 3)
	for i := range 3 {
		go func() {
			w, err := p.Acquire(context.Background(), f.server(), 1, time.Minute)
			if err == nil {
				got <- i
				w.Release()
			}
		}()
		require.Eventually(t, func() bool { return p.Stats("a").Waiting == i+1 }, 10*time.Second, time.Millisecond)
	}
	l.Release()
	for i := range 3 {
		require.Equal(t, i, <-got)
	}
	require.Equal(t, 1, f.count())
}

func TestCanceledWaiterLosesNoConnection(t *testing.T) {
	f := startFake(t)
	p := newPool(t, 1, &manualClock{})
	l := acquire(t, p, f)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := p.Acquire(ctx, f.server(), 1, time.Minute)
	require.ErrorIs(t, err, context.Canceled)
	l.Release()
	awaitIdle(t, p)
	require.Zero(t, p.Stats("a").Waiting)
}

func TestSweepClosesDrainingAndOld(t *testing.T) {
	f := startFake(t)
	clk := &manualClock{}
	p := newPool(t, 1, clk)
	v := &view.View{Groups: map[string]*view.Group{"g": {Servers: []view.Server{*f.server()}}}}
	acquire(t, p, f).Release()
	awaitIdle(t, p)
	p.Sweep(v)
	require.Equal(t, 1, p.Stats("a").Idle)
	clk.now.Store(int64(2 * DefaultIdleTimeout))
	p.Sweep(v)
	require.Zero(t, p.Stats("a").Open)
	p.Sweep(&view.View{})
	require.Empty(t, p.servers)
}

func TestShareLeavesRoomForControl(t *testing.T) {
	require.Equal(t, 2, Share(25, 8, 1))
	require.Equal(t, 1, Share(25, 2900, 1))
	require.Equal(t, 24, Share(25, 0, 1))
}
