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

// Conn is a connection to a target, with the session state that was set on it.
type Conn struct {
	// Link is the transport. Its user must leave it in the idle state.
	Link
	// Target is the target at the other end.
	Target target.ID

	lane *Lane
	// workspace is the workspace for which the connection was opened, as sent to the target then.
	workspace string
	values    map[string]string
	prepared  map[shape]string
	named     int
	// forControl is set if the connection was opened for a control command. Where this VM's share
	// is temporary, it is closed after the command: every VM sends commands from time to time, and
	// connections retained in between would be unavailable to the VMs that serve requests.
	forControl   bool
	idle         clock.Time
	parked       bool // guarded by the lane's lock, like all fields below
	acquiredAt   clock.Time
	class        uint32     // of the statement that it was acquired for
	runningSince clock.Time // start of the current run, without a park in between
	wasParked    bool       // since it was acquired
	overdue      bool       // its statement takes far longer than usual
}

// shape identifies a prepared statement by its body: sessions that prepare the same body share it
// on a connection, under whatever names they prepared it.
type shape struct {
	text   string
	writes bool
}

// maxPrepared bounds the prepared statements that accumulate on a connection.
const maxPrepared = 64

// setupTimeout bounds the wait for each answer to a connection's setup. Setup takes no slot at the
// target.
const setupTimeout = 500 * time.Millisecond

// ErrSetup reports that a session's state could not be set on a connection.
var ErrSetup = errors.New("the connection did not take the session's state")

// Prepared is a session's prepared statement.
type Prepared struct {
	// Shape is the statement's body.
	Shape string
	// Writes is set if it is a write.
	Writes bool
}

// Setup sets the session values on the connection and prepares the statement, if one is to be
// executed; it returns the statement's name on this connection. If begin is not nil, it opens a
// transaction in the same exchange.
//
// Failure guarded against: a statement runs under another session's values or outside its
// transaction, and a balance is read for the wrong passenger. All answers to the setup are
// received before the consumer's statement is sent: if both were sent together and an answer were
// lost, the next answer would be taken for it.
func (c *Conn) Setup(values map[string]string, p *Prepared, begin *Begin) (name string, opened *statement.Answer, err error) {
	queued := c.queueValues(values)
	if p != nil {
		var isNew bool
		name, isNew = c.preparedName(p)
		if isNew {
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

// Begin holds the options of a new transaction.
type Begin struct {
	ReadOnly bool
	// After is the position that the target's log must have reached.
	After timeline.Position
}

// queueValues queues the commands that make the connection's values equal to the session's, and
// returns the number of answers to expect.
func (c *Conn) queueValues(values map[string]string) int {
	queued := 0
	if c.needsReset(values) {
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

// needsReset reports whether the connection must be reset: it has a value that the session did not
// set, or too many prepared statements.
func (c *Conn) needsReset(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return len(c.prepared) > maxPrepared
}

// preparedName returns the statement's name on this connection. isNew is set if the statement
// still has to be prepared under it.
func (c *Conn) preparedName(p *Prepared) (name string, isNew bool) {
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

// Park gives back the connection's slot while its transaction waits for the consumer's next
// statement.
func (c *Conn) Park() { c.lane.park(c) }

// Unpark waits until a parked connection may run a statement again. The error is an
// *UnavailableError: nothing was sent.
func (c *Conn) Unpark(ctx context.Context, o AcquireOptions, timeout time.Duration) error {
	return c.lane.unpark(ctx, c, o, timeout)
}

// Release returns the connection to its lane. A connection that is not idle, or whose state is in
// doubt, must be discarded instead.
func (c *Conn) Release() { c.lane.release(c) }

// Discard closes the connection.
func (c *Conn) Discard() { c.lane.discard(c) }
