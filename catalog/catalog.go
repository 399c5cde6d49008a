package catalog

import (
	"cmp"
	"slices"
	"time"

	"endivemoor.example/endivemoor/target"
)

// Freshness is what a route's reads must see.
type Freshness uint8

const (
	// Exact reads see every acknowledged commit.
	Exact Freshness = iota
	// Bounded reads see every commit acknowledged longer than MaxAge ago.
	Bounded
	// Own reads are Bounded, and also see all commits of their own session.
	Own
)

// String returns the name in logs and metrics.
func (f Freshness) String() string { return [...]string{"exact", "bounded", "own"}[f] }

// Route leads a database's name to a service.
type Route struct {
	Name string
	// Database is the name that consumers connect to.
	Database string
	// Service is the group of targets that serves it.
	Service   string
	Freshness Freshness
	// MaxAge is the greatest age of the data that Bounded and Own reads accept.
	MaxAge time.Duration
	// StatementTimeout bounds a single statement.
	StatementTimeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders operations under load; 0 is the highest.
	Priority int
	// Public routes serve callers whose key nobody holds.
	Public bool
}

// Service is a group of targets, one of which leads.
type Service struct {
	Name string
	// MaxConnections is a target's limit for the connections of all callers.
	MaxConnections int
	// SyncReplicas is how many replicas hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Config is one version of what the operator published. It is immutable.
type Config struct {
	// Version grows with each change.
	Version int64
	// Routes by database name.
	Routes map[string]*Route
	// Services by name.
	Services map[string]*Service
	// TransactionIdle is how long a transaction may stay without a statement.
	TransactionIdle time.Duration
	// Keyed is set if callers are known by API keys. Without it, Workspaces and Keys
	// are empty and everybody is served.
	Keyed bool
	// Workspaces by name.
	Workspaces map[string]*Workspace
	// Keys by digest.
	Keys map[string]*Key
}

// entries is how many routes, services, workspaces and keys the configuration has.
func (c *Config) entries() int {
	return len(c.Routes) + len(c.Services) + len(c.Workspaces) + len(c.Keys)
}

// Target is one database server as it reports itself.
type Target struct {
	ID      target.ID
	Service string
	Addr    string
	Zone    string
	// Slots is how many statements it runs at once.
	Slots int
	// Draining means that it leaves and takes no new work.
	Draining bool
	// Role is its own claim.
	Role target.Role
	// Incarnation is the Unix millisecond of its process's start; 0 if not told.
	// A target that starts again under its id has another one, and holds and
	// knows nothing of before.
	Incarnation int64
}

// Reign records what the fleet knows of a service's leadership: the newest
// promotion, or the one that is under way.
type Reign struct {
	Service string
	// Revision is the store's revision of this record.
	Revision Revision
	// Era is the store's as the record was written. One that was written in an earlier
	// era than its Revision's tells what was so before the store came back from an older
	// copy: later records may be lost.
	Era int64
	// Lost is set if there is no record any more, as the store came back from an older
	// copy; Revision is then 0.
	Lost bool
	// Primary is the target last promoted by the fleet; empty if none was.
	Primary target.ID
	// Holder is the VM that made the last attempt; empty if none was made.
	Holder string
	// Attempt is set while a promotion is under way.
	Attempt *Attempt
}

// Attempt is a promotion under way. Its holder alone may order a promotion of
// the service, until it ends or lapses.
type Attempt struct {
	// Holder is the VM that makes the attempt.
	Holder string
	// Nonce tells this attempt from all others of the same holder.
	Nonce string
	// Deposed is the target that is to be replaced.
	Deposed target.ID
}

// Catalog is everything that is known at one moment. It is immutable.
type Catalog struct {
	// Config is nil until one was learned.
	Config *Config
	// Targets by id.
	Targets map[target.ID]*Target
	// ByService lists a service's targets in the order of their ids.
	ByService map[string][]*Target
	// Reigns by service.
	Reigns map[string]*Reign
	// VMs lists the fleet, in the order of their names.
	VMs []VM
	// TargetsRevision and FleetRevision are the store's revisions up to which
	// Targets, and VMs with Reigns, are complete.
	TargetsRevision, FleetRevision Revision
	// changes lead to Config, the oldest first, each from where the one before ends.
	changes []*Change
	// fleetHistory and targetsHistory lead to VMs and Targets in the same way.
	fleetHistory   history[VM]
	targetsHistory history[Target]
}

// VM is an entry of the fleet's own list.
type VM struct {
	// ID is the VM's name.
	ID   string
	Zone string
	// Peer is the address at which the VM answers its peers.
	Peer string
	// Incarnation is new for each run of the VM's process.
	Incarnation string
	// Capacity is the processor time that the VM has, in cores; 0 if not known.
	Capacity float64
}

// Route returns the route of a database, or nil.
func (c *Catalog) Route(database string) *Route {
	if c.Config == nil {
		return nil
	}
	return c.Config.Routes[database]
}

// Service returns the named service, or nil.
func (c *Catalog) Service(name string) *Service {
	if c.Config == nil {
		return nil
	}
	return c.Config.Services[name]
}

// Incarnation returns a target's; false if the target is not known.
func (c *Catalog) Incarnation(id target.ID) (incarnation int64, known bool) {
	t := c.Targets[id]
	if t == nil {
		return 0, false
	}
	return t.Incarnation, true
}

// ConfigVersion is the version of the configuration; 0 if none was learned.
func (c *Catalog) ConfigVersion() int64 {
	if c.Config == nil {
		return 0
	}
	return c.Config.Version
}

// VM returns the named VM's entry; false if the fleet's list has none.
func (c *Catalog) VM(name string) (VM, bool) {
	at, ok := slices.BinarySearchFunc(c.VMs, name, func(vm VM, name string) int { return cmp.Compare(vm.ID, name) })
	if !ok {
		return VM{}, false
	}
	return c.VMs[at], true
}

// Names returns the names of the fleet's VMs.
func (c *Catalog) Names() []string {
	out := make([]string, len(c.VMs))
	for i, vm := range c.VMs {
		out[i] = vm.ID
	}
	return out
}

// Complete reports whether enough is known to serve requests.
func (c *Catalog) Complete() bool { return c.Config != nil && len(c.Targets) > 0 }
