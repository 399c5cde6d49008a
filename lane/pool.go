package lane

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Pool holds the lanes to all targets. It is safe for concurrent use.
type Pool struct {
	clk  clock.Clock
	dial func(t *catalog.Target) Dialer

	mu    sync.RWMutex
	lanes map[target.ID]*Lane
}

// NewPool returns a Pool that opens links by dial.
func NewPool(clk clock.Clock, dial func(t *catalog.Target) Dialer) *Pool {
	return &Pool{clk: clk, dial: dial, lanes: make(map[target.ID]*Lane)}
}

// Update makes the lanes fit a catalog: new targets get one, lost targets lose
// theirs, and every lane gets this VM's share of its target's connections.
func (p *Pool) Update(c *catalog.Catalog, share func(t *catalog.Target) gateways.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range c.Targets {
		if l := p.lanes[id]; l != nil {
			l.setShare(share(t))
			continue
		}
		p.lanes[id] = newLane(id, p.dial(t), p.clk, share(t))
	}
	for id, l := range p.lanes {
		if c.Targets[id] == nil {
			l.close()
			delete(p.lanes, id)
		}
	}
}

// Lane returns the lane to a target, or nil.
func (p *Pool) Lane(id target.ID) *Lane {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.lanes[id]
}

// Tend closes connections that are kept beyond need, and opens those that
// requests still wait for. It is due every TendEvery.
func (p *Pool) Tend() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, l := range p.lanes {
		l.tend()
	}
}

// Acquire returns a connection to a target.
func (p *Pool) Acquire(ctx context.Context, id target.ID, o Order, timeout time.Duration) (*Conn, error) {
	l := p.Lane(id)
	if l == nil {
		return nil, &UnavailableError{Target: id, Cause: errors.New("the target is unknown")}
	}
	return l.Acquire(ctx, o, timeout)
}

// Load returns the state of the lane to a target.
func (p *Pool) Load(id target.ID) Load {
	l := p.Lane(id)
	if l == nil {
		return Load{Down: true}
	}
	return l.Load()
}

// Waited returns the state of each lane that requests wait for.
func (p *Pool) Waited() map[target.ID]Load {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[target.ID]Load)
	for id, l := range p.lanes {
		if load := l.Load(); load.Queued > 0 {
			out[id] = load
		}
	}
	return out
}

// Ask is one of the fleet's own questions or orders.
type Ask struct {
	kind askKind
	term timeline.Term
}

type askKind uint8

const (
	askStatus askKind = iota
	askResume
	askPause
	askStepDown
)

// Asks of a target.
var (
	// AskStatus asks for the target's account of itself.
	AskStatus = Ask{kind: askStatus}
	// AskResume orders a replica to receive again.
	AskResume = Ask{kind: askResume}
)

// AskPause orders a replica to receive nothing of a term below the given one.
func AskPause(term timeline.Term) Ask { return Ask{kind: askPause, term: term} }

// AskStepDown orders a primary of a term below the given one to lead no longer.
func AskStepDown(term timeline.Term) Ask { return Ask{kind: askStepDown, term: term} }

// Encode returns an Ask in a form that other VMs understand; Decode reads it.
func (a Ask) Encode() (kind uint32, term uint64) { return uint32(a.kind), uint64(a.term) }

// DecodeAsk reads what Encode returned; false if this version does not know it.
func DecodeAsk(kind uint32, term uint64) (Ask, bool) {
	return Ask{kind: askKind(kind), term: timeline.Term(term)}, kind <= uint32(askStepDown)
}

func (a Ask) queue(l Link) {
	switch a.kind {
	case askStatus:
		l.QueueStatus()
	case askResume:
		l.QueueResume()
	case askPause:
		l.QueuePause(a.term)
	case askStepDown:
		l.QueueStepDown(a.term)
	}
}

// RefusedError says that a target refused a question or an order.
type RefusedError struct {
	Target target.ID
	Code   statement.Code
}

// Error names the target and the code.
func (e *RefusedError) Error() string { return string(e.Target) + " refused: " + e.Code.String() }

// TendEvery is the interval at which Tend is due.
const TendEvery = 50 * time.Millisecond

// Answered reports whether err shows that the target is alive: it refused the
// question, or the connection.
func Answered(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return true
	}
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && unavailable.Code == statement.TooManyConnections
}

// Refused reports whether err shows that no process listens at the target.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Control sends one of the fleet's own questions or orders, and returns the
// answer's rows.
func (p *Pool) Control(ctx context.Context, id target.ID, ask Ask, timeout time.Duration) ([]string, error) {
	l := p.Lane(id)
	if l == nil {
		return nil, &UnavailableError{Target: id, Cause: errors.New("the target is unknown")}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := l.control(ctx, timeout)
	if err != nil {
		return nil, err
	}
	ask.queue(c)
	if err := c.Flush(timeout); err != nil {
		c.Discard()
		return nil, errors.Wrapf(err, "ask %s", id)
	}
	a, err := c.Receive(timeout)
	if err != nil {
		c.Discard()
		return nil, errors.Wrapf(err, "ask %s", id)
	}
	c.Release()
	if a.Code != statement.OK {
		return nil, &RefusedError{Target: id, Code: a.Code}
	}
	return a.Rows, nil
}
