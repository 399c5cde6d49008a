package lane

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// overload sends requests at one and a half times the rate that one connection can serve. It
// returns how many were served in time, how many were served late, and how long each refused one
// waited.
func overload(t *testing.T) (inTime, late int, refusedAfter []time.Duration) {
	t.Helper()
	const (
		work      = 20 * time.Millisecond
		interval  = 13 * time.Millisecond
		objective = 250 * time.Millisecond
		timeout   = 800 * time.Millisecond
		requests  = 400
	)
	inBubble(t, 1, 1, func(l *Lane, _ *dialer) {
		l.setShare(gateways.Share{MaxOpen: 1, MaxIdle: 1, MaxRunning: 1})
		var mu sync.Mutex
		var wait sync.WaitGroup
		for range requests {
			wait.Add(1)
			go func() {
				defer wait.Done()
				start := l.clk.Now()
				c, err := l.Acquire(context.Background(), AcquireOptions{Due: start.Add(objective)}, timeout)
				if err == nil {
					time.Sleep(work)
					c.Release()
				}
				took := l.clk.Now().Sub(start)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					refusedAfter = append(refusedAfter, took)
				case took <= objective+work:
					inTime++
				default:
					late++
				}
			}()
			time.Sleep(interval)
		}
		wait.Wait()
	})
	return inTime, late, refusedAfter
}

// Both replicas of a service lag, and all its reads go to the primary: 1.5 times what it can serve.
// Two thirds of the callers can be served in time. Failure guarded against: late requests are
// served first, and then no caller is served in time.
func TestOverloadServesMostCallersInTime(t *testing.T) {
	inTime, _, _ := overload(t)
	require.Greater(t, inTime, 230, "of 400, where 260 is the most that one connection serves")
}

// A request that cannot be served in time must be refused at once, with a retry-after, instead of
// waiting until it times out.
func TestRequestsThatWouldBeLateAreRefusedAtOnce(t *testing.T) {
	_, _, refused := overload(t)
	require.NotEmpty(t, refused)
	atOnce := 0
	for _, after := range refused {
		if after < 50*time.Millisecond {
			atOnce++
		}
	}
	require.Greater(t, float64(atOnce)/float64(len(refused)), 0.5)
}

// A target has three slots, and this VM holds ten connections to it. Failure guarded against: all
// ten requests are sent, seven of them wait in the target's own queue, and an urgent request that
// arrives next waits behind them.
func TestRequestsBeyondTheSlotsWaitHere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 10}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: 10, MaxIdle: 10, MaxRunning: 4})
		var held []*Conn
		for range 4 {
			held = append(held, acquire(t, l))
		}
		_, err := l.Acquire(context.Background(), AcquireOptions{}, 100*time.Millisecond)
		require.Error(t, err, "a fifth statement would only wait at the target")
		held[0].Park()
		fifth := acquire(t, l)
		require.Error(t, held[0].Unpark(context.Background(), AcquireOptions{}, 100*time.Millisecond), "four statements run again")
		go func() {
			time.Sleep(50 * time.Millisecond)
			held[1].Park()
		}()
		require.NoError(t, held[0].Unpark(context.Background(), AcquireOptions{}, time.Second))
		for _, c := range append(held, fifth) {
			c.Release()
		}
		require.Zero(t, l.Load().InUse)
		require.Zero(t, l.parked)
	})
}

// A target is behind a partition, and connecting hangs. Only one request at a time may wait for the
// dial; the others must fail at once, and requests are served as soon as the target is reachable.
func TestHangingTargetIsNotWaitedForAgain(t *testing.T) {
	inBubble(t, 3, 2, func(l *Lane, d *dialer) {
		d.hang(700 * time.Millisecond)
		_, err := l.Acquire(context.Background(), AcquireOptions{}, 2*time.Second)
		require.Error(t, err)
		var waited atomic.Int64
		for range 30 {
			go func() {
				start := l.clk.Now()
				_, err := l.Acquire(context.Background(), AcquireOptions{}, 2*time.Second)
				require.Error(t, err)
				if l.clk.Now().Sub(start) > 0 {
					waited.Add(1)
				}
			}()
			time.Sleep(50 * time.Millisecond)
			require.True(t, l.Load().Down)
		}
		time.Sleep(time.Second)
		require.LessOrEqual(t, waited.Load(), int64(2), "of 30 in 1.5 s")
		d.hang(0)
		acquire(t, l).Release()
	})
}

// Requests hold every connection that a target accepts. The target refuses a control command's
// connection too; the command must get the next connection that becomes free, before all waiting
// requests.
func TestControlCommandGetsTheNextFreeConnection(t *testing.T) {
	inBubble(t, 2, 2, func(l *Lane, _ *dialer) {
		held := []*Conn{acquire(t, l), acquire(t, l)}
		got := make(chan string, 2)
		go func() {
			c, err := l.Acquire(context.Background(), AcquireOptions{}, time.Second)
			require.NoError(t, err)
			got <- "request"
			c.Release()
		}()
		synctest.Wait()
		go func() {
			c, err := l.control(context.Background(), 300*time.Millisecond)
			require.NoError(t, err)
			got <- "command"
			time.Sleep(time.Millisecond)
			c.Release()
		}()
		time.Sleep(100 * time.Millisecond)
		held[0].Release()
		require.Equal(t, "command", <-got)
		require.Equal(t, "request", <-got)
		held[1].Release()
	})
}

// The load is 1.5 times what a target can serve: short purchases, which have the higher priority
// and are due sooner, and long reads that are due later. Failure guarded against: requests are
// ordered by due time alone, a purchase that arrives behind a long queue of reads is late already
// and refused, and the reads are served.
func TestOverloadServesTheHigherPriorityFirst(t *testing.T) {
	const requests = 500
	var purchased, purchases, read atomic.Int64
	inBubble(t, 1, 1, func(l *Lane, _ *dialer) {
		l.setShare(gateways.Share{MaxOpen: 1, MaxIdle: 1, MaxRunning: 1})
		var wait sync.WaitGroup
		for i := range requests {
			o, work, served := AcquireOptions{Due: l.clk.Now().Add(500 * time.Millisecond), Priority: 2}, 30*time.Millisecond, &read
			if i%4 == 0 {
				o, work, served = AcquireOptions{Due: l.clk.Now().Add(150 * time.Millisecond), Priority: 1}, 6*time.Millisecond, &purchased
				purchases.Add(1)
			}
			wait.Go(func() {
				c, err := l.Acquire(context.Background(), o, 800*time.Millisecond)
				if err != nil {
					return
				}
				time.Sleep(work)
				c.Release()
				if !l.clk.Now().After(o.Due) {
					served.Add(1)
				}
			})
			time.Sleep(16 * time.Millisecond)
		}
		wait.Wait()
	})
	t.Logf("purchases %d of %d, reads %d of %d", purchased.Load(), purchases.Load(), read.Load(), requests-purchases.Load())
	require.Greater(t, purchased.Load(), purchases.Load()*9/10)
	require.Greater(t, read.Load(), int64(180), "three quarters of the 241 that fit beside the purchases")
}

// Failure guarded against: a request times out at a target that answers nobody, because statements or
// dials hang, and it counts as busy, so that no breaker opens; or as an outage, while it answers others.
func TestTimeoutInQueueSaysWhetherOthersAreAnswered(t *testing.T) {
	inBubble(t, 2, 2, func(l *Lane, d *dialer) {
		l.setShare(gateways.Share{MaxOpen: 2, MaxIdle: 2, MaxRunning: 1})
		busy := func() bool {
			_, err := l.Acquire(context.Background(), AcquireOptions{}, 100*time.Millisecond)
			var u *UnavailableError
			require.ErrorAs(t, err, &u)
			require.True(t, u.Expired)
			return u.Busy
		}
		d.hang(200 * time.Millisecond)
		require.False(t, busy(), "a first dial hangs")
		time.Sleep(time.Second)
		d.hang(0)
		held := acquire(t, l)
		require.False(t, busy(), "a statement hangs")
		next := make(chan *Conn)
		go func() { next <- acquire(t, l) }()
		go func() {
			time.Sleep(50 * time.Millisecond)
			held.Release()
		}()
		synctest.Wait()
		require.True(t, busy(), "the slot goes to the one that came first")
		require.False(t, busy(), "whose statement hangs")
		(<-next).Discard()
		synctest.Wait()
	})
}
