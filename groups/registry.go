package groups

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// ErrNoPrimary says that no target of the service is known to lead.
var ErrNoPrimary = errors.New("no target of the service leads")

// ErrNoWitness says that no replica could be asked.
var ErrNoWitness = errors.New("no replica answered as a witness")

// Decoder reads a status answer's row.
type Decoder func(row string) (statement.Status, error)

// ErrSuperseded says that another target leads, or is about to.
var ErrSuperseded = errors.New("the primary is being replaced, or was")

// Records reads the fleet's records of leadership.
type Records interface {
	// Current returns the service's record as the store has it now. A service
	// that no attempt was ever made for has an empty one.
	Current(ctx context.Context, service string) (*catalog.LeadershipRecord, error)
}

// Asker sends a target one of the fleet's own questions or orders and returns
// the answer's rows, as lane.Pool does.
type Asker interface {
	Control(ctx context.Context, id target.ID, ask lane.Command, timeout time.Duration) ([]string, error)
	// Recent returns a target's account of itself that it was asked for at most
	// maxAge before the call, by whichever VM, and how long before: 0 if it was asked
	// for since.
	Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) (rows []string, age time.Duration, err error)
}

// Config of a Registry.
type Config struct {
	Catalog *catalog.Holder
	// Asker carries questions and orders to targets.
	Asker   Asker
	Clock   clock.Clock
	Decode  Decoder
	Records Records
	// Eligible reports whether this VM is surely on the list by which the holder
	// of an attempt asks VMs to give up their permissions.
	Eligible func() bool
	// Asked is told each question and order to a target, unless it is nil.
	Asked func(why spending.Reason)
	// LeaveAfter is how long a target that leaves may still be given work; zero
	// is for ever.
	LeaveAfter time.Duration
	// Era is the latest era of the store that is known; nil is that it has one only.
	Era func() int64
	Log *zap.Logger
}

// Registry holds the groups of all services. It is safe for concurrent use.
type Registry struct {
	cfg    Config
	mu     sync.RWMutex
	groups map[string]*Group
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	if cfg.Era == nil {
		cfg.Era = func() int64 { return 0 }
	}
	return &Registry{cfg: cfg, groups: make(map[string]*Group)}
}

// Group returns the service's group.
func (r *Registry) Group(service string) *Group {
	r.mu.RLock()
	g := r.groups[service]
	r.mu.RUnlock()
	if g != nil {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if g = r.groups[service]; g == nil {
		g = newGroup(service, &r.cfg)
		r.groups[service] = g
	}
	return g
}

// Use returns the group of a service that a request needs, and notes that this VM
// uses it.
func (r *Registry) Use(service string) *Group {
	g := r.Group(service)
	g.noteUse(r.cfg.Clock.Now())
	return g
}

const (
	// few is the number of services up to which all of them count as used: their
	// proofs are some hundred bytes then.
	few = 8
	// useLasts is how long a service counts as used after a request for it.
	useLasts = time.Minute
	// Ticks is the number of calls of Due in which each group is named once.
	Ticks = 20
)

// Few reports whether there are so few services that all count as used.
func (r *Registry) Few() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.groups) <= few
}

// All returns the groups of all services that are known.
func (r *Registry) All() []*Group {
	return r.which(func(*Group, clock.Time) bool { return true })
}

// Used returns the groups of the services that this VM uses.
func (r *Registry) Used() []*Group {
	return r.which(func(g *Group, now clock.Time) bool { return g.inUse(now) })
}

// Due returns the groups to look at in a tick: those of the services that this VM
// uses, and in turn a part of the others.
//
// A look at all of thousands of services in each tick would take most of the
// processor time that a VM has for control.
func (r *Registry) Due(tick int) []*Group {
	return r.which(func(g *Group, now clock.Time) bool { return g.slot == tick%Ticks || g.inUse(now) })
}

func (r *Registry) which(is func(g *Group, now clock.Time) bool) []*Group {
	now := r.cfg.Clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*Group
	for _, g := range r.groups {
		if len(r.groups) <= few || is(g, now) {
			out = append(out, g)
		}
	}
	return out
}

// Update takes over a new catalog.
//
// Failure guarded against: an entry that names a service of nobody's, as another
// writer's may. The fleet would look for its primary for good, and record attempts
// to give it one.
func (r *Registry) Update(c *catalog.Catalog) {
	for service, targets := range c.ByService {
		if c.Service(service) != nil {
			r.Group(service).listed(targets, c)
		}
	}
}
