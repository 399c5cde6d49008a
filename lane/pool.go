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
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/returning"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// unusedAfter is how long an unused lane without connections is retained. Its measurements of the
// target's speed are outdated by then.
const unusedAfter = time.Minute

// Pool holds the lanes to the targets that this VM uses. It is safe for concurrent use.
//
// Lanes are created on first use, because a VM of a large fleet uses few of the targets. Otherwise
// the cost of a catalog change would grow with the square of the deployment's size.
type Pool struct {
	// Decisions counts the lanes' decisions; it must be set before the first use, and may be nil.
	Decisions *decisions.Recorder
	// Returning holds the refused callers of each service; it must be set before the first use.
	// Without it, callers who return count as new.
	Returning *returning.Books
	// Features tells which parts run; it must be set before the first use.
	Features feature.Set

	clk  clock.Clock
	dial func(t *catalog.Target) Dialer

	mu      sync.RWMutex
	lanes   map[target.ID]*Lane
	targets map[target.ID]*catalog.Target
	share   func(t *catalog.Target) gateways.Share
	weights *weights // of the workspaces
	config  *catalog.Config
	terms   map[uint32]classTerms // of the configuration's classes
}

// NewPool returns a Pool that opens links with the Dialer that dial returns for a target.
func NewPool(clk clock.Clock, dial func(t *catalog.Target) Dialer) *Pool {
	return &Pool{clk: clk, dial: dial, lanes: make(map[target.ID]*Lane)}
}

// Update applies a catalog: the lanes of removed targets are closed, and every other lane gets this
// VM's share of its target's connections. It must be called by one goroutine only.
func (p *Pool) Update(c *catalog.Catalog, share func(t *catalog.Target) gateways.Share) {
	weights, terms := newWeights(c.Config), p.terms
	if c.Config != p.config {
		terms = newTerms(c.Config)
	}
	if p.Features.Without(feature.WarmConnections) {
		retaining := share
		share = func(t *catalog.Target) gateways.Share { return retaining(t).Shared() }
	}
	for id, l := range p.adopt(c, share, weights, terms) {
		l.setShare(share(c.Targets[id]))
		l.setWeights(weights)
		l.setTerms(terms)
	}
}

// adopt stores the catalog's targets and returns the remaining lanes. The caller computes their
// shares after the lock is released, because this takes longer than requests should wait.
func (p *Pool) adopt(c *catalog.Catalog, share func(t *catalog.Target) gateways.Share, weights *weights, terms map[uint32]classTerms) map[target.ID]*Lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets, p.share, p.weights, p.config, p.terms = c.Targets, share, weights, c.Config, terms
	for id, l := range p.lanes {
		if t := c.Targets[id]; t == nil || !l.leadsTo(t) {
			l.close()
			delete(p.lanes, id)
		}
	}
	if p.Returning != nil && c.Config != nil {
		p.Returning.Retain(func(service string) bool { return c.Config.Services[service] != nil })
	}
	return maps.Clone(p.lanes)
}

// leadsTo reports whether the lane was created for the current incarnation of a target.
//
// Failure guarded against: a target restarts under its id, possibly at another address. The lane's
// connections lead to a process that has ended, and if its VM lost power nothing resets them: every
// request sent on one waits for its answer until it times out.
func (l *Lane) leadsTo(t *catalog.Target) bool {
	return l.target.Addr == t.Addr && l.target.Service == t.Service && l.target.Incarnation == t.Incarnation
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
		l.target, l.decisions = t, p.Decisions
		l.setWeights(p.weights)
		l.setTerms(p.terms)
		if p.Returning != nil {
			l.returning = p.Returning.Book(t.Service)
		}
		l.setFeatures(p.Features)
		p.lanes[id] = l
	}
	return l
}

// use calls f with the lane to a target.
//
// Failure guarded against: the lane is dropped as unused between its look-up and its use, and the
// request waits for a connection until it times out. A dropped lane returns errClosed, and use
// creates a new one.
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

// Maintain closes connections that are no longer needed, opens those that requests still wait for,
// and drops unused lanes. It must be called every MaintainInterval.
func (p *Pool) Maintain() {
	p.mu.RLock()
	var unused []target.ID
	for id, l := range p.lanes {
		l.maintain()
		if l.unused() {
			unused = append(unused, id)
		}
	}
	p.mu.RUnlock()
	if len(unused) > 0 {
		p.drop(unused)
	}
}

// drop removes those of the lanes that are still unused.
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
func (p *Pool) Acquire(ctx context.Context, id target.ID, o AcquireOptions, timeout time.Duration) (c *Conn, err error) {
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

// QueuedLoads returns the state of each lane that has waiting requests.
func (p *Pool) QueuedLoads() map[target.ID]Load {
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

// Command is a control command to a target: a status query, or a change of the target's role.
type Command struct {
	kind commandKind
	term timeline.Term
}

type commandKind uint8

const (
	commandStatus commandKind = iota
	commandResume
	commandPause
	commandStepDown
)

// Commands without arguments.
var (
	// StatusCommand requests the target's status report.
	StatusCommand = Command{kind: commandStatus}
	// ResumeCommand commands a replica to receive entries again.
	ResumeCommand = Command{kind: commandResume}
)

// PauseCommand returns a Command to a replica to receive no entries of a term below the given one.
func PauseCommand(term timeline.Term) Command { return Command{kind: commandPause, term: term} }

// StepDownCommand returns a Command to a primary of a term below the given one to step down.
func StepDownCommand(term timeline.Term) Command { return Command{kind: commandStepDown, term: term} }

// Encode returns the command in the form that is sent to other VMs; DecodeCommand reads it.
func (c Command) Encode() (kind uint32, term uint64) { return uint32(c.kind), uint64(c.term) }

// DecodeCommand reads the result of Encode; false if this version does not support the command.
func DecodeCommand(kind uint32, term uint64) (Command, bool) {
	return Command{kind: commandKind(kind), term: timeline.Term(term)}, kind <= uint32(commandStepDown)
}

func (c Command) queueOn(l Link) {
	switch c.kind {
	case commandStatus:
		l.QueueStatus()
	case commandResume:
		l.QueueResume()
	case commandPause:
		l.QueuePause(c.term)
	case commandStepDown:
		l.QueueStepDown(c.term)
	}
}

// RefusedError reports that a target refused a command.
type RefusedError struct {
	Target target.ID
	Code   statement.Code
}

// Error names the target and the code.
func (e *RefusedError) Error() string { return string(e.Target) + " refused: " + e.Code.String() }

// MaintainInterval is the interval at which Maintain must be called.
const MaintainInterval = 50 * time.Millisecond

// Answered reports whether err shows that the target is alive: it refused the command or the
// connection.
func Answered(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return true
	}
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && unavailable.Code == statement.TooManyConnections
}

// Refused reports whether err shows that no process listens at the target's address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Control sends a control command and returns the rows of the answer.
func (p *Pool) Control(ctx context.Context, id target.ID, command Command, timeout time.Duration) ([]string, error) {
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
	if Expired(ctx) {
		c.Release()
		return nil, ErrExpired
	}
	command.queueOn(c)
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
