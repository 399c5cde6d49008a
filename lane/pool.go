package lane

import (
	"context"
	"maps"
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

// unusedAfter is how long a lane without connections is kept unused. What it has
// learned of its target's pace is worth nothing by then.
const unusedAfter = time.Minute

// Pool holds the lanes to the targets that this VM uses. It is safe for
// concurrent use.
//
// A VM of a large fleet uses few of the targets. That lanes are made on first use
// gains most of what a change of the catalog costs, which else grows with the square
// of the deployment's size.
type Pool struct {
	clk  clock.Clock
	dial func(t *catalog.Target) Dialer

	mu      sync.RWMutex
	lanes   map[target.ID]*Lane
	targets map[target.ID]*catalog.Target
	share   func(t *catalog.Target) gateways.Share
}

// NewPool returns a Pool that opens links by dial.
func NewPool(clk clock.Clock, dial func(t *catalog.Target) Dialer) *Pool {
	return &Pool{clk: clk, dial: dial, lanes: make(map[target.ID]*Lane)}
}

// Update makes the lanes fit a catalog: lost targets lose theirs, and every lane
// gets this VM's share of its target's connections. It is called by one goroutine.
func (p *Pool) Update(c *catalog.Catalog, share func(t *catalog.Target) gateways.Share) {
	for id, l := range p.adopt(c, share) {
		l.setShare(share(c.Targets[id]))
	}
}

// adopt takes over the targets, and returns the lanes that stay. Their shares take
// longer to work out than requests should wait for the lock.
func (p *Pool) adopt(c *catalog.Catalog, share func(t *catalog.Target) gateways.Share) map[target.ID]*Lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets, p.share = c.Targets, share
	for id, l := range p.lanes {
		if t := c.Targets[id]; t == nil || !l.leadsTo(t) {
			l.close()
			delete(p.lanes, id)
		}
	}
	return maps.Clone(p.lanes)
}

// leadsTo reports whether the lane was made for a target as it is now.
//
// Failure guarded against: a target starts again under its id, maybe elsewhere. Its
// lane's connections lead to a process that is gone, and where that one's VM lost
// power nothing resets them: each request on one waits for its answer in vain.
func (l *Lane) leadsTo(t *catalog.Target) bool {
	return l.made.Addr == t.Addr && l.made.Service == t.Service && l.made.Incarnation == t.Incarnation
}

// Lane returns the lane to a target, or nil if the target is not known.
func (p *Pool) Lane(id target.ID) *Lane {
	p.mu.RLock()
	l := p.lanes[id]
	p.mu.RUnlock()
	if l != nil {
		return l
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if l = p.lanes[id]; l == nil && t != nil {
		l = newLane(id, p.dial(t), p.clk, p.share(t))
		l.made = t
		p.lanes[id] = l
	}
	return l
}

// use calls f with the lane to a target.
//
// Failure guarded against: the lane is dropped as unused between being looked up and
// being used. It shows as a request that waits for a connection until its time is
// over. A dropped lane says so, and one is made anew.
func (p *Pool) use(id target.ID, f func(l *Lane) error) error {
	for {
		l := p.Lane(id)
		if l == nil {
			return &UnavailableError{Target: id, Cause: errors.New("the target is unknown")}
		}
		if err := f(l); !errors.Is(err, errClosed) {
			return err
		}
	}
}

// Tend closes connections that are kept beyond need, opens those that requests
// still wait for, and drops unused lanes. It is due every TendEvery.
func (p *Pool) Tend() {
	p.mu.RLock()
	var unused []target.ID
	for id, l := range p.lanes {
		l.tend()
		if l.unused() {
			unused = append(unused, id)
		}
	}
	p.mu.RUnlock()
	if len(unused) > 0 {
		p.drop(unused)
	}
}

// drop takes lanes away that are still unused.
func (p *Pool) drop(unused []target.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range unused {
		if l := p.lanes[id]; l != nil && l.unused() {
			l.close()
			delete(p.lanes, id)
		}
	}
}

// Acquire returns a connection to a target.
func (p *Pool) Acquire(ctx context.Context, id target.ID, o Order, timeout time.Duration) (c *Conn, err error) {
	err = p.use(id, func(l *Lane) error {
		c, err = l.Acquire(ctx, o, timeout)
		return err
	})
	return c, err
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
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var c *Conn
	err := p.use(id, func(l *Lane) (err error) {
		c, err = l.control(ctx, timeout)
		return err
	})
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
