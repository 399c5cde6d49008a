package lane

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/returning"
	"endivemoor.example/endivemoor/target"
)

// groupsOf returns a catalog of n services with three targets each, and n VMs.
func groupsOf(n int) *catalog.Catalog {
	c := &catalog.Config{Version: 1, Services: make(map[string]*catalog.Service)}
	targets := make(map[target.ID]*catalog.Target)
	var vms []catalog.VM
	for i := range n {
		service := fmt.Sprint("s", i)
		c.Services[service] = &catalog.Service{Name: service, MaxConnections: 190}
		for k := range 3 {
			id := target.ID(fmt.Sprint(service, "-", k))
			targets[id] = &catalog.Target{ID: id, Service: service, Zone: fmt.Sprint("z", k), Slots: 3}
		}
		vms = append(vms, catalog.VM{ID: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%3), Peer: service})
	}
	h := catalog.NewHolder()
	h.SetConfig(c)
	h.SetTargets(targets, 1)
	h.SetFleet(vms, nil, 1)
	return h.Load()
}

func poolOn(c *catalog.Catalog) *Pool {
	p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return (&dialer{limit: 10}).dial })
	p.Update(c, gateways.NewAssignment("vm1", c).Share)
	return p
}

func take(t *testing.T, p *Pool, id target.ID) *Conn {
	t.Helper()
	c, err := p.Acquire(context.Background(), id, AcquireOptions{}, time.Second)
	require.NoError(t, err)
	return c
}

// A VM of a large fleet uses a few of thousands of targets. Failure guarded against: it has a lane
// to each, so that every catalog change costs it seconds, and it visits all of them twenty times a
// second.
func TestLanesAreMadeForUsedTargetsOnly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := groupsOf(5)
		p := poolOn(c)
		require.Empty(t, p.lanes)
		p.Returning = &returning.Books{}
		p.Returning.Book("s1").Refuse(returning.Refused{Caller: 7})
		take(t, p, "s1-0").Release()
		require.True(t, p.Load("nobody").Down)
		require.Len(t, p.lanes, 1)
		p.Update(&catalog.Catalog{Config: &catalog.Config{Services: map[string]*catalog.Service{"s1": {}}}}, gateways.NewAssignment("vm1", c).Share)
		require.Empty(t, p.lanes)
		require.Equal(t, 1, p.Returning.Book("s1").Len())
		p.Update(&catalog.Catalog{Config: &catalog.Config{}}, gateways.NewAssignment("vm1", c).Share)
		require.Zero(t, p.Returning.Book("s1").Len(), "the service is gone")
		_, err := p.Acquire(context.Background(), "s1-0", AcquireOptions{}, time.Second)
		require.Error(t, err, "the target was removed")
	})
}

// The last consumer of a service has left this VM. The service's lanes are dropped once they have
// no connection, and created again for the next consumer. A lane with a connection in use is
// retained, however long its transaction takes.
func TestUnusedLanesAreDropped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := poolOn(groupsOf(2))
		held := take(t, p, "s0-0")
		c := take(t, p, "s1-0")
		c.Link.Close()
		c.Discard()
		time.Sleep(unusedAfter / 2)
		p.Maintain()
		require.Len(t, p.lanes, 2)
		time.Sleep(unusedAfter)
		p.Maintain()
		require.Len(t, p.lanes, 1)
		require.NotNil(t, p.lanes["s0-0"])
		take(t, p, "s1-0").Release()
		held.Release()
	})
}

// A target is removed, or its lane is dropped, just after a request has looked the lane up. A
// closed lane must fail the request at once. Otherwise it would wait there for a connection until
// it times out.
func TestClosedLaneFailsRequestsAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := poolOn(groupsOf(1))
		old := p.Lane("s0-0")
		p.mu.Lock()
		old.close()
		delete(p.lanes, "s0-0")
		p.mu.Unlock()
		start := time.Now()
		_, err := old.Acquire(context.Background(), AcquireOptions{}, time.Second)
		require.ErrorIs(t, err, errClosed)
		_, err = old.control(context.Background(), time.Second)
		require.ErrorIs(t, err, errClosed)
		require.Zero(t, time.Since(start))
		take(t, p, "s0-0").Release()
	})
}

// BenchmarkUpdate measures the cost of a catalog change on a VM that uses one target.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := groupsOf(n)
			p := poolOn(c)
			p.Lane("s1-0")
			for b.Loop() {
				p.Update(c, gateways.NewAssignment("vm1", c).Share)
			}
		})
	}
}
