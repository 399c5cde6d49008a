package lane

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/target"
)

const (
	// fleetSize is the number of VMs, and connLimit the number of connections that the target
	// accepts.
	fleetSize = 9
	connLimit = 22
	// statementInterval is the mean pause between two statements of a VM for one target, and
	// statementTime the time that one takes: half of the three slots' capacity is used.
	statementInterval = 150 * time.Millisecond
	statementTime     = 25 * time.Millisecond
	// maxWait is how long a statement may wait for a connection and still be in time.
	maxWait = 375 * time.Millisecond
)

// shareOf returns a VM's share of the target's connections.
func shareOf() gateways.Share {
	h := catalog.NewHolder()
	h.SetConfig(&catalog.Config{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: connLimit}}})
	to := &catalog.Target{ID: "x", Service: "s", Slots: 3}
	h.SetTargets(map[target.ID]*catalog.Target{"x": to}, 1)
	var vms []catalog.VM
	for i := range fleetSize {
		vms = append(vms, catalog.VM{ID: string(rune('a' + i))})
	}
	h.SetFleet(vms, nil, 1)
	return gateways.NewAssignment("a", h.Load()).Share(to)
}

// load is the statements that a VM sends for one target.
type load struct {
	interval time.Duration // the mean pause between two
	// workspaces is the number of workspaces that they belong to, the first of which send more than
	// the others; 0 if none.
	workspaces int
}

func (o load) options(rnd *rand.Rand) AcquireOptions {
	if o.workspaces == 0 {
		return AcquireOptions{}
	}
	return AcquireOptions{Workspace: fmt.Sprint("w", int(float64(o.workspaces)*math.Pow(rnd.Float64(), 2)))}
}

// drive sends statements over a lane for the given time. It returns how many were sent and how many
// got a connection in time.
func drive(l *Lane, o load, rnd *rand.Rand, length time.Duration) (sent, served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(o.interval)))
		l.maintain()
		sent++
		wait.Add(1)
		options := o.options(rnd)
		go func() {
			defer wait.Done()
			c, err := l.Acquire(context.Background(), options, maxWait)
			if err != nil {
				return
			}
			mu.Lock()
			served++
			mu.Unlock()
			time.Sleep(statementTime)
			c.Release()
		}()
	}
	wait.Wait()
	return sent, served
}

// driveFleet drives one lane for each VM.
func driveFleet(d *dialer, vms int, share gateways.Share, o load, seed uint64, length time.Duration) (sent, served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range vms {
		l := newLane("x", d.dial, monotonic.New(), share)
		wait.Add(1)
		go func() {
			defer wait.Done()
			a, s := drive(l, o, rand.New(rand.NewPCG(seed, uint64(i))), length)
			mu.Lock()
			defer mu.Unlock()
			sent, served = sent+a, served+s
		}()
	}
	wait.Wait()
	return sent, served
}

// All VMs of a fleet lose power after some seconds of usual load and restart at once. The target
// holds the connections of the previous incarnations for 3 s, during which the new ones must serve
// the same load with the remaining connections. Failure guarded against: the previous incarnations
// had retained every connection that they opened, and too few remain. A VM that runs one statement
// at a time needs fewer.
func TestRestartedFleetFindsConnections(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: connLimit}
		usual := load{interval: statementInterval}
		driveFleet(d, fleetSize, shareOf(), usual, 1, 6*time.Second)
		sent, served := driveFleet(d, fleetSize, shareOf(), usual, 2, 2*time.Second)
		t.Logf("%d of %d", served, sent)
		require.Greater(t, float64(served)/float64(sent), 0.75, "three of four")
	})
}
