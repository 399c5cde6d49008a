package lane

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Conn is a connection with what it was given.
type Conn struct {
	// Link is the transport. Its user must leave it in the idle state.
	Link
	// Target is where it leads.
	Target target.ID

	lane *Lane
	// workspace is whose requests it serves, as the target was told when it was opened.
	workspace string
	values    map[string]string
	prepared  map[shape]string
	named     int
	// asked is set if it was opened for a question of the fleet's own. Where
	// connections are few, it is closed after it: each VM asks now and then, and
	// what they keep meanwhile is missed by the VMs that serve.
	asked   bool
	idle    clock.Time
	resting bool // guarded by the lane's lock, as all that follows
	handed  clock.Time
	runs    clock.Time // since when it has run something without a rest
	rested  bool       // since it was handed out
	overdue bool       // what it runs takes far longer than usual
}

// shape is a prepared statement's body: two sessions that prepare the same one
// share it on a connection, whatever they call it.
type shape struct {
	text   string
	writes bool
}

// maxPrepared bounds the prepared names that a connection gathers.
const maxPrepared = 64

// setupTimeout bounds the answers to a connection's setup, which take no slot.
const setupTimeout = 500 * time.Millisecond

// ErrSetup says that a connection could not be given a session's state.
var ErrSetup = errors.New("the connection did not take the session's state")

// Prepared is a session's prepared statement.
type Prepared struct {
	// Shape is the statement's body.
	Shape string
	// Writes is set if it is a write.
	Writes bool
}

// Setup gives the connection the session values, and the prepared statement if
// one is to be executed, whose name on this connection is returned. Begin, if
// not nil, opens a transaction in the same exchange.
//
// Failure guarded against: a statement that runs under another session's
// values, or outside its transaction. It shows as a balance read for the wrong
// passenger. Every answer of the setup is awaited before the consumer's
// statement is sent: were both sent together, an answer lost on the way would
// be taken for the next one's.
func (c *Conn) Setup(values map[string]string, p *Prepared, begin *Begin) (name string, opened *statement.Answer, err error) {
	queued := c.queueValues(values)
	if p != nil {
		var fresh bool
		name, fresh = c.nameOf(p)
		if fresh {
			c.QueuePrepare(name, p.Shape, p.Writes)
			queued++
		}
	}
	if begin != nil {
		c.QueueBegin(begin.ReadOnly, begin.After)
		queued++
	}
	if queued == 0 {
		return name, nil, nil
	}
	if err := c.Flush(setupTimeout); err != nil {
		return "", nil, err
	}
	for n := range queued {
		a, err := c.Receive(setupTimeout)
		if err != nil {
			return "", nil, err
		}
		if begin != nil && n == queued-1 {
			return name, a, nil
		}
		if a.Code != statement.OK {
			return "", nil, errors.WithMessage(ErrSetup, a.Code.String())
		}
	}
	return name, nil, nil
}

// Begin says how to open a transaction.
type Begin struct {
	ReadOnly bool
	// After is the position that the target's log must hold.
	After timeline.Position
}

// queueValues queues what makes the connection's values those of the session,
// and returns how many answers that takes.
func (c *Conn) queueValues(values map[string]string) int {
	queued := 0
	if c.hasOther(values) {
		c.QueueReset()
		c.values, c.prepared = nil, nil
		queued++
	}
	for name, value := range values {
		if had, ok := c.values[name]; ok && had == value {
			continue
		}
		c.QueueSet(name, value)
		if c.values == nil {
			c.values = make(map[string]string)
		}
		c.values[name] = value
		queued++
	}
	return queued
}

// hasOther reports whether the connection holds a value that the session did
// not set, which only a reset takes away.
func (c *Conn) hasOther(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return len(c.prepared) > maxPrepared
}

// nameOf returns the name under which the statement is prepared here, and
// whether it has yet to be.
func (c *Conn) nameOf(p *Prepared) (name string, fresh bool) {
	key := shape{text: p.Shape, writes: p.Writes}
	if name, ok := c.prepared[key]; ok {
		return name, false
	}
	if c.prepared == nil {
		c.prepared = make(map[shape]string)
	}
	c.named++
	name = "p" + strconv.Itoa(c.named)
	c.prepared[key] = name
	return name, true
}

// Rest notes that the connection runs nothing for the time being, because its
// transaction waits for its consumer.
func (c *Conn) Rest() { c.lane.rest(c) }

// Resume waits until a connection that rests may run a statement again. The
// error is an *UnavailableError: nothing was sent.
func (c *Conn) Resume(ctx context.Context, o Order, timeout time.Duration) error {
	return c.lane.resume(ctx, c, o, timeout)
}

// Release gives the connection back. A connection that is not idle, or whose
// state is in doubt, must be discarded instead.
func (c *Conn) Release() { c.lane.release(c) }

// Discard closes the connection.
func (c *Conn) Discard() { c.lane.discard(c) }
