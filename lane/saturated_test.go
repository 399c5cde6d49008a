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

// callers counts the results of the callers of a saturated target.
type callers struct {
	mu                          sync.Mutex
	sent, inTime, late, refused int
	slots                       chan struct{}
}

// call sends one statement of a caller that expects its answer within an objective and times out
// after three times that.
func (c *callers) call(l *Lane, objective time.Duration) {
	start := time.Now()
	opts := AcquireOptions{Due: clock.Time(l.clk.Now().Add(objective))}
	conn, err := l.Acquire(context.Background(), opts, 3*objective)
	if err != nil {
		c.update(func() { c.refused++ })
		return
	}
	c.slots <- struct{}{} // the target's own queue, first come, first served
	time.Sleep(statementTime)
	<-c.slots
	conn.Release()
	if time.Since(start) <= objective {
		c.update(func() { c.inTime++ })
		return
	}
	c.update(func() { c.late++ })
}

func (c *callers) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// runSaturated runs four seconds of a fleet's load on one target of three slots: 1.3 times its
// capacity, unevenly spread over the VMs, from callers with objectives of 400 and 600 ms.
func runSaturated(share gateways.Share) *callers {
	c := &callers{slots: make(chan struct{}, 3)}
	d := &dialer{limit: connLimit}
	const capacity = 3 * float64(time.Second) / float64(statementTime)
	var wait sync.WaitGroup
	for vm := range fleetSize {
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
				l.maintain()
				c.update(func() { c.sent++ })
				wait.Go(func() { c.call(l, objective) })
			}
		})
	}
	wait.Wait()
	return c
}

// Failure guarded against: both replicas of a service are far behind, the load on its primary is
// 1.3 times its capacity, and each VM sends all its requests at once, so that the target's own
// queue makes most of them late. With a bound of one statement per VM, and if requests that would
// be late are refused at once, most callers are answered in time. The target can serve three
// quarters of the requests.
func TestSaturatedTargetServesMostCallersInTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := runSaturated(shareOf())
		t.Logf("%d sent, %d in time, %d late, %d refused", c.sent, c.inTime, c.late, c.refused)
		require.Greater(t, float64(c.inTime)/float64(c.sent), 2./3)
	})
}
