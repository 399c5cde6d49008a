package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// checkAfter is how long a call may go without an answer, while the gateway answers no
// other either, before it is looked whether the gateway can be reached at all: less than
// the shortest of the objectives.
const checkAfter = 100 * time.Millisecond

const (
	// checkTimeout bounds that look, so that a read which is given up may still be in time.
	checkTimeout = 100 * time.Millisecond
	// stoodStill is how much later than its timeout a look may end for its outcome to
	// count: this VM itself had no processor else.
	stoodStill = 10 * time.Millisecond
)

// errGone says that a gateway could not be reached while it had a call.
var errGone = errors.New("the gateway cannot be reached any more")

// guard gives a call up once its gateway cannot be reached any more. The result ends the
// guard.
//
// Failure guarded against: a gateway dies, or is cut off, with a read under way over a
// connection that was open. The read waits until its consumer's time is over, though
// another gateway would serve it: nothing on the connection tells that nobody is there.
// A call that may have written is not guarded: it is in doubt, and its answer may come.
func (p *peers) guard(at *peer, give context.CancelCauseFunc) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	begun := p.clk.Now()
	var look func()
	look = func() {
		p.mu.Lock()
		quiet := p.clk.Now().Sub(max(at.answered, begun))
		p.mu.Unlock()
		if quiet >= checkAfter && !p.reaches(ctx, at) && ctx.Err() == nil {
			p.heardSilent(at.addr, p.clk.Now())
			give(errGone)
			return
		}
		if ctx.Err() == nil {
			time.AfterFunc(checkAfter, look)
		}
	}
	first := time.AfterFunc(checkAfter, look)
	return func() {
		cancel()
		first.Stop()
	}
}

// reaches reports whether a connection to a peer opens. Those who ask at once share one
// try.
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

// check is a look at whether a peer can be reached. Its result is set before done is
// closed.
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

// opens reports whether a connection to an address opens in time.
//
// Failure guarded against: a VM that is overloaded gets no processor while a connection
// opens, takes a gateway that is well for silent, and tells others so. They go past it
// to the target, whose slots new connections take, and which is the more overloaded.
func (p *peers) opens(addr string, timeout time.Duration) bool {
	begun := p.clk.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return p.clk.Now().Sub(begun) > timeout+stoodStill
	}
	_ = conn.Close()
	return true
}
