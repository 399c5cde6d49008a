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
	Current(ctx context.Context, service string) (*catalog.Reign, error)
}

// Asker sends a target one of the fleet's own questions or orders and returns
// the answer's rows, as lane.Pool does.
type Asker interface {
	Control(ctx context.Context, id target.ID, ask lane.Ask, timeout time.Duration) ([]string, error)
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
	// LeaveAfter is how long a target that leaves may still be given work; zero
	// is for ever.
	LeaveAfter time.Duration
	Log        *zap.Logger
}

// Registry holds the groups of all services. It is safe for concurrent use.
type Registry struct {
	cfg    Config
	mu     sync.RWMutex
	groups map[string]*Group
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
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

// All returns the groups of all services that are known.
func (r *Registry) All() []*Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*Group, 0, len(r.groups))
	for _, g := range r.groups {
		out = append(out, g)
	}
	return out
}

// Update takes over a new catalog.
func (r *Registry) Update(c *catalog.Catalog) {
	for service, targets := range c.ByService {
		r.Group(service).listed(targets, c.Reigns[service])
	}
}
