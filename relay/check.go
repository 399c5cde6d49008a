package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// checkAfter is how long a call may go without a reply, while the gateway replies to no other call
// either, before the caller checks that the gateway is reachable. It is less than the shortest
// latency objective.
const checkAfter = 100 * time.Millisecond

const (
	// checkTimeout bounds the check, so that a read that is then sent elsewhere may still meet its
	// deadline.
	checkTimeout = 100 * time.Millisecond
	// maxOverrun is how much later than its timeout a check may end for its result to count. A
	// longer overrun shows that this VM itself got no processor time.
	maxOverrun = 10 * time.Millisecond
)

// errGatewayLost reports that a gateway became unreachable while a call to it was in flight.
var errGatewayLost = errors.New("the gateway cannot be reached any more")

// cancelIfLost cancels a call once its gateway is unreachable. The returned function stops the
// checks.
//
// Failure guarded against: a gateway dies, or is partitioned, while a read is in flight over an
// open connection. Nothing on the connection shows the failure, so the read waits until the
// consumer's deadline though another gateway would serve it. A call that may have written is not
// canceled: it is in doubt, and its reply may still arrive.
func (p *peers) cancelIfLost(at *peer, abort context.CancelCauseFunc) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	begun := p.clk.Now()
	var probe func()
	probe = func() {
		p.mu.Lock()
		idle := p.clk.Now().Sub(max(at.answered, begun))
		p.mu.Unlock()
		if idle >= checkAfter && !p.reaches(ctx, at) && ctx.Err() == nil {
			p.recordUnreachable(at.addr, p.clk.Now())
			abort(errGatewayLost)
			return
		}
		if ctx.Err() == nil {
			time.AfterFunc(checkAfter, probe)
		}
	}
	first := time.AfterFunc(checkAfter, probe)
	return func() {
		cancel()
		first.Stop()
	}
}

// reaches reports whether a connection to a peer opens. Concurrent callers share one check.
func (p *peers) reaches(ctx context.Context, at *peer) bool {
	p.mu.Lock()
	c := at.check
	if c == nil {
		c = &check{done: make(chan struct{})}
		at.check = c
		go p.check(at, c)
	}
	p.mu.Unlock()
	select {
	case <-c.done:
		return c.reached
	case <-ctx.Done():
		return true
	}
}

// check tests whether a peer is reachable. Its result is set before done is closed.
type check struct {
	done    chan struct{}
	reached bool
}

func (p *peers) check(at *peer, c *check) {
	c.reached = p.opens(at.addr, checkTimeout)
	p.mu.Lock()
	at.check = nil
	p.mu.Unlock()
	close(c.done)
}

// opens reports whether a connection to an address opens within the timeout.
//
// Failure guarded against: an overloaded VM gets no processor time while a connection opens,
// considers a healthy gateway unreachable, and reports that to other VMs. They bypass the gateway
// and connect to the target, where the new connections take slots and add to the overload.
func (p *peers) opens(addr string, timeout time.Duration) bool {
	begun := p.clk.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return p.clk.Now().Sub(begun) > timeout+maxOverrun
	}
	_ = conn.Close()
	return true
}
