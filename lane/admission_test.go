package lane

import (
	"cmp"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// kind is a kind of request, with its share of all requests.
type kind struct {
	class             uint32
	share             float64
	work              time.Duration
	objective, budget time.Duration
	priority          int
	timeout           time.Duration // of a statement; 0 if it is the budget
}

var commits = kind{class: 0, share: 0.15, work: 9300 * time.Microsecond, objective: 250 * time.Millisecond, budget: 1200 * time.Millisecond, priority: 1}
var syncs = kind{class: 1, share: 0.70, work: 28 * time.Millisecond, objective: 500 * time.Millisecond, budget: 1200 * time.Millisecond, priority: 2}
var galleries = kind{class: 2, share: 0.15, work: 47 * time.Millisecond, objective: 800 * time.Millisecond, budget: 5 * time.Second, priority: 2}

// slots is how many statements the target runs at once, and capacity how many of the mix it serves
// in a second.
const (
	slots    = 6
	capacity = slots / (0.15*0.0093 + 0.70*0.028 + 0.15*0.047)
)

// result is what the callers of one kind got.
type result struct{ asked, inTime, late, unserved, refusals int }

func (r result) served() int { return r.inTime + r.late }

func (r *result) add(o result) {
	r.asked += o.asked
	r.inTime += o.inTime
	r.late += o.late
	r.unserved += o.unserved
	r.refusals += o.refusals
}

// crowd plays callers at a lane.
type crowd struct {
	lane *Lane
	rnd  *rand.Rand
	// recognizable is the share of callers that the lane recognizes when they return.
	recognizable float64
	hashes       *rand.Rand
	// distinct is the number of hashes of a class; 0 if each caller has one of its own.
	distinct uint64
	// returns is how often a refused caller returns at most.
	returns int
	wait    sync.WaitGroup
	// target has the slots that several gateways share; nil if the lane is the only one.
	target chan struct{}

	mu  sync.Mutex
	got map[uint32]*result // by class
}

func newCrowd(seed uint64, running int) *crowd {
	d := &dialer{limit: 77}
	l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: 38, MaxIdle: 12, MaxRunning: running})
	return &crowd{lane: l, rnd: rand.New(rand.NewPCG(seed, 1)), returns: 2, got: make(map[uint32]*result)}
}

// work returns a service time. One in a hundred is five times the mean.
func (c *crowd) work(k kind) time.Duration {
	const sigma = 0.7
	f := math.Exp(sigma*c.rnd.NormFloat64() - sigma*sigma/2)
	return time.Duration(min(f, 10) * float64(k.work))
}

// run occupies a slot of the target.
func (c *crowd) run(work time.Duration) {
	if c.target != nil {
		c.target <- struct{}{}
		defer func() { <-c.target }()
	}
	time.Sleep(work)
}

// call is one caller. If it is refused, it returns after the time that it was told. Its
// objective counts from the first time. The lane recognizes it by its hash; 0 if it cannot.
func (c *crowd) call(k kind, workspace string, work time.Duration, hash uint64) (r result) {
	r.asked = 1
	start := time.Now()
	for range 1 + c.returns {
		o := AcquireOptions{Due: c.lane.clk.Now().Add(k.objective), Priority: k.priority, Class: k.class + 1, Workspace: workspace, Caller: hash}
		conn, err := c.lane.Acquire(context.Background(), o, cmp.Or(k.timeout, k.budget))
		if time.Since(start) > k.budget {
			if err == nil {
				conn.Release()
			}
			break
		}
		if err == nil {
			c.run(work)
			conn.Release()
			switch took := time.Since(start); {
			case took <= k.objective:
				r.inTime = 1
			case took <= k.budget:
				r.late = 1
			}
			break
		}
		r.refusals++
		var u *UnavailableError
		if !errors.As(err, &u) || time.Since(start)+u.RetryAfter > k.budget {
			break
		}
		time.Sleep(u.RetryAfter)
	}
	r.unserved = 1 - r.inTime - r.late
	return r
}

// play sends requests of the kinds for some time, at a multiple of the target's capacity.
func (c *crowd) play(load float64, length time.Duration, workspace string, kinds ...kind) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(c.rnd.ExpFloat64() / (load * capacity) * float64(time.Second)))
		x, k := c.rnd.Float64(), kinds[0]
		for _, k = range kinds {
			if x -= k.share; x < 0 {
				break
			}
		}
		work := c.work(k)
		hash := uint64(0)
		if c.recognizable > 0 && c.hashes.Float64() < c.recognizable {
			if hash = c.hashes.Uint64(); c.distinct > 0 {
				hash = rand.NewPCG(hash%c.distinct, uint64(k.class)).Uint64() | 1
			}
		}
		c.lane.maintain()
		c.wait.Go(func() {
			r := c.call(k, workspace, work, hash)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.got[k.class] == nil {
				c.got[k.class] = &result{}
			}
			c.got[k.class].add(r)
		})
	}
}

// Demand is 1.35 times what a target can do for three seconds, of requests whose work differs
// fivefold. Failure guarded against: all are served at the time that they are due, and most of them
// late; or the long ones are never served.
func TestBurstOfUnevenWork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got [3]result
		var all result
		for seed := range uint64(8) {
			c := newCrowd(seed, slots)
			c.play(0.75, 2*time.Second, "", commits, syncs, galleries)
			c.wait.Wait()
			clear(c.got)
			c.play(1.35, 3*time.Second, "", commits, syncs, galleries)
			c.play(0.6, 2*time.Second, "", commits, syncs, galleries)
			c.wait.Wait()
			for class, r := range c.got {
				got[class].add(*r)
				all.add(*r)
			}
		}
		t.Logf("%+v of %+v", all, got)
		require.Greater(t, got[commits.class].inTime, got[commits.class].asked*99/100, "the urgent ones are a twentieth of the work")
		require.Greater(t, all.inTime, all.asked*85/100)
		require.Greater(t, got[galleries.class].inTime, got[galleries.class].asked/4)
		require.Less(t, all.refusals, 3*all.unserved)
	})
}

// Load: reads that have another target wait for half of their objective only. Failure guarded against:
// one that would have to wait longer, yet be in time, counts as a sign of overload, and after three
// such refusals the read is given up although its caller has time.
func TestReadWithAnotherTargetIsNoSignOfOverload(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := newLane("x", (&dialer{limit: 4}).dial, monotonic.New(), gateways.Share{MaxOpen: 4, MaxIdle: 4, MaxRunning: 1})
		for range 4 * minSamples {
			c := acquire(t, l)
			time.Sleep(50 * time.Millisecond)
			c.Release()
		}
		held := acquire(t, l)
		due := func() AcquireOptions { return AcquireOptions{Due: l.clk.Now().Add(time.Second)} }
		for range 4 {
			go func() {
				if c, err := l.Acquire(context.Background(), due(), time.Second); err == nil {
					c.Release()
				}
			}()
		}
		time.Sleep(time.Millisecond)
		_, err := l.Acquire(context.Background(), due(), 20*time.Millisecond)
		var u *UnavailableError
		require.ErrorAs(t, err, &u)
		require.True(t, u.Expired)
		require.Zero(t, u.RetryAfter)
		require.False(t, l.waiting.pressed())
		held.Release()
		time.Sleep(time.Second)
	})
}
