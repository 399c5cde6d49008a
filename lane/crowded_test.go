package lane

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// crowd is what callers of a crowded target got.
type crowd struct {
	mu                           sync.Mutex
	asked, inTime, late, refused int
	slots                        chan struct{}
}

// ask is one statement of a caller that wants its answer within an objective, and
// waits no longer than three times that.
func (c *crowd) ask(l *Lane, objective time.Duration) {
	start := time.Now()
	order := Order{Due: clock.Time(l.clk.Now().Add(objective))}
	conn, err := l.Acquire(context.Background(), order, 3*objective)
	if err != nil {
		c.note(func() { c.refused++ })
		return
	}
	c.slots <- struct{}{} // the target's own queue, first come first served
	time.Sleep(works)
	<-c.slots
	conn.Release()
	if time.Since(start) <= objective {
		c.note(func() { c.inTime++ })
		return
	}
	c.note(func() { c.late++ })
}

func (c *crowd) note(what func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	what()
}

// crowded plays four seconds of a fleet's load on one target of three slots: 1.3
// times what it can do, unevenly spread over the VMs, of callers with objectives of
// 400 and 600 ms.
func crowded(share gateways.Share) *crowd {
	c := &crowd{slots: make(chan struct{}, 3)}
	d := &dialer{limit: limited}
	const capacity = 3 * float64(time.Second) / float64(works)
	var wait sync.WaitGroup
	for vm := range vanishing {
		l := newLane("x", d.dial, monotonic.New(), share)
		rnd := rand.New(rand.NewPCG(7, uint64(vm)))
		rate := 1.3 * capacity * float64(vm+5) / 81 // the weights 5 to 13 add up to 81
		wait.Go(func() {
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
				objective := 400 * time.Millisecond
				if rnd.IntN(10) < 3 {
					objective = 600 * time.Millisecond
				}
				l.tend()
				c.note(func() { c.asked++ })
				wait.Go(func() { c.ask(l, objective) })
			}
		})
	}
	wait.Wait()
	return c
}

// Both replicas of a service are far behind, and what its primary is asked for is 1.3
// times what it can do. Most callers can still be answered in time, if those that
// cannot be are told so at once; were each VM to send all that it has, the target's
// own queue would make most of them late: 249 of 612 were in time so, and 498 with
// a bound of one for each VM. The target can do three quarters of what is asked.
func TestCrowdedTargetServesMostCallersInTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := crowded(shareOf())
		t.Logf("%d asked, %d in time, %d late, %d refused", c.asked, c.inTime, c.late, c.refused)
		require.Greater(t, float64(c.inTime)/float64(c.asked), 2./3)
	})
}
