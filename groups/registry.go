package groups

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
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

// ErrNoPrimary is returned if no target of the service is known to lead.
var ErrNoPrimary = errors.New("no target of the service leads")

// ErrNoWitness is returned if no replica could act as a witness.
var ErrNoWitness = errors.New("no replica answered as a witness")

// Decoder parses the row of a status reply.
type Decoder func(row string) (statement.Status, error)

// ErrSuperseded is returned if another target leads, or the primary is being replaced.
var ErrSuperseded = errors.New("the primary is being replaced, or was")

// Records reads the fleet's leadership records.
type Records interface {
	// Current returns the service's record as the store has it now. A service without any attempt
	// so far has an empty one.
	Current(ctx context.Context, service string) (*catalog.LeadershipRecord, error)
}

// ControlClient sends a target the fleet's own status queries and commands and returns the rows of
// the reply, as lane.Pool does.
type ControlClient interface {
	Control(ctx context.Context, id target.ID, cmd lane.Command, timeout time.Duration) ([]string, error)
	// Recent returns a status of a target that any VM has queried at most maxAge before the call,
	// and how long before the call: 0 if the query was sent after the call.
	Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) (rows []string, age time.Duration, err error)
}

// Config of a Registry.
type Config struct {
	Catalog *catalog.Holder
	// Control sends status queries and commands to targets.
	Control ControlClient
	Clock   clock.Clock
	Decode  Decoder
	Records Records
	// Eligible reports whether this VM is certainly on the list by which the holder of an attempt
	// asks VMs to give up their permissions; nil means that it always is.
	Eligible func() bool
	// OnCommand is called for each status query or command sent to a target, unless it is nil.
	OnCommand func(reason spending.Reason)
	// DrainTimeout is how long a draining target may still be given work; zero means without limit.
	DrainTimeout time.Duration
	// RecordsRevision returns the store's revision as of which the catalog's leadership records are
	// known to be complete, which may be later than the catalog's own; nil means that it never is.
	RecordsRevision func() catalog.Revision
	// RecordsConfirmedAt returns the time as of which they are known to be complete, and BrokenAt when
	// a connection to a target last broke; nil means that none ever does.
	RecordsConfirmedAt func() clock.Time
	BrokenAt           func(id target.ID) clock.Time
	// TargetsConfirmedAt returns the time as of which the catalog's targets are known to be complete; nil
	// means that a change of a target is known at once.
	TargetsConfirmedAt func() clock.Time
	// ReachesPeers reports whether this VM reaches other VMs, whose proofs it receives; nil means that
	// it does not.
	ReachesPeers func() bool
	// Era returns the latest known era of the store; nil means that it has only one.
	Era func() int64
	Log *zap.Logger
}

// Registry holds the groups of all services. It is safe for concurrent use.
type Registry struct {
	cfg Config
	// startedAt is when this process began to observe targets; 0 if no connection ever breaks.
	startedAt clock.Time
	// latestJoin is when a target of any service was last listed for the first time.
	latestJoin atomic.Int64
	mu         sync.RWMutex
	groups     map[string]*Group
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	if cfg.RecordsRevision == nil {
		cfg.RecordsRevision = func() catalog.Revision { return 0 }
	}
	if cfg.Eligible == nil {
		cfg.Eligible = func() bool { return true }
	}
	if cfg.BrokenAt == nil {
		cfg.BrokenAt = func(target.ID) clock.Time { return 0 }
	}
	if cfg.Era == nil {
		cfg.Era = func() int64 { return 0 }
	}
	if cfg.ReachesPeers == nil {
		cfg.ReachesPeers = func() bool { return false }
	}
	r := &Registry{cfg: cfg, groups: make(map[string]*Group)}
	if cfg.RecordsConfirmedAt != nil {
		r.startedAt = max(cfg.Clock.Now(), 1)
	}
	return r
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
		g = newGroup(service, r)
		r.groups[service] = g
	}
	return g
}

// Use returns the group of a service that a request needs, and records that this VM uses it.
func (r *Registry) Use(service string) *Group {
	g := r.Group(service)
	g.recordUse(r.cfg.Clock.Now())
	return g
}

const (
	// allUsedLimit is the number of services up to which all of them count as used: their proofs
	// are some hundred bytes then.
	allUsedLimit = 8
	// inUseWindow is how long a service counts as used after a request for it.
	inUseWindow = time.Minute
	// Ticks is the number of calls of Due in which each group is due at least once.
	Ticks = 20
)

// AllUsed reports whether there are so few services that all of them count as used.
func (r *Registry) AllUsed() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.groups) <= allUsedLimit
}

// All returns the groups of all known services.
func (r *Registry) All() []*Group {
	return r.filter(func(*Group, clock.Time) bool { return true })
}

// Used returns the groups of the services that this VM uses.
func (r *Registry) Used() []*Group {
	return r.filter(func(g *Group, now clock.Time) bool { return g.inUse(now) })
}

// MostRecent returns the groups of up to n services that this VM uses, those of the latest requests
// first.
func (r *Registry) MostRecent(n int) []*Group {
	used := r.Used()
	slices.SortFunc(used, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(b.used.Load(), a.used.Load()), cmp.Compare(a.Service, b.Service))
	})
	return used[:min(n, len(used))]
}

// Due returns the groups to check in a tick: those of the services that this VM uses, and a
// fraction of the others in rotation.
//
// Checking all of thousands of services in each tick would take most of the processor time that a
// VM has for control.
func (r *Registry) Due(tick int) []*Group {
	return r.filter(func(g *Group, now clock.Time) bool { return g.slot == tick%Ticks || g.inUse(now) })
}

func (r *Registry) filter(is func(g *Group, now clock.Time) bool) []*Group {
	now := r.cfg.Clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*Group
	for _, g := range r.groups {
		if len(r.groups) <= allUsedLimit || is(g, now) {
			out = append(out, g)
		}
	}
	return out
}

// Update takes the targets and leadership records of a new catalog.
//
// Failure guarded against: an entry that names a service that is not published, as another writer's
// may. The fleet would look for its primary forever, and record attempts to give it one.
func (r *Registry) Update(c *catalog.Catalog) {
	for service, targets := range c.ByService {
		if c.Service(service) != nil {
			r.Group(service).update(targets, c)
		}
	}
}
