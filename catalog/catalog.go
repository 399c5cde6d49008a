package catalog

import (
	"cmp"
	"slices"
	"time"

	"endivemoor.example/endivemoor/target"
)

// Freshness defines which commits a route's reads must see.
type Freshness uint8

const (
	// Exact reads see every acknowledged commit.
	Exact Freshness = iota
	// Bounded reads see every commit that was acknowledged more than MaxAge ago.
	Bounded
	// Own reads are Bounded, and also see all commits of their own session.
	Own
)

// String returns the name in logs and metrics.
func (f Freshness) String() string { return [...]string{"exact", "bounded", "own"}[f] }

// Route maps a database's name to a service.
type Route struct {
	Name string
	// Database is the name that consumers connect to.
	Database string
	// Service is the group of targets that serves the database.
	Service   string
	Freshness Freshness
	// MaxAge is the greatest age of the data that Bounded and Own reads accept.
	MaxAge time.Duration
	// StatementTimeout bounds a single statement.
	StatementTimeout time.Duration
	// Objective is the latency objective of an operation, from its request to its answer.
	Objective time.Duration
	// Priority orders operations under load; 0 is the highest.
	Priority int
	// Public routes also serve callers with a key that no workspace holds.
	Public bool
}

// Service is a group of targets, one of which is the primary.
type Service struct {
	Name string
	// MaxConnections is a target's limit on the connections of all callers together.
	MaxConnections int
	// SyncReplicas is how many replicas must hold a commit before it is acknowledged.
	SyncReplicas int
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	// Version grows with each change.
	Version int64
	// Routes by database name.
	Routes map[string]*Route
	// Services by name.
	Services map[string]*Service
	// TransactionIdle is how long a transaction may stay open without a statement.
	TransactionIdle time.Duration
	// Keyed is set if API keys identify callers. Without it, Workspaces and Keys are empty and every
	// caller is served.
	Keyed bool
	// Workspaces by name.
	Workspaces map[string]*Workspace
	// Keys by digest.
	Keys map[string]*Key
}

// entries is the number of routes, services, workspaces and keys in the configuration.
func (c *Config) entries() int {
	return len(c.Routes) + len(c.Services) + len(c.Workspaces) + len(c.Keys)
}

// Target is one database server as it reports itself.
type Target struct {
	ID      target.ID
	Service string
	Addr    string
	Zone    string
	// Slots is how many statements it runs concurrently.
	Slots int
	// Draining is set if the target is being taken out of service and accepts no new work.
	Draining bool
	// Role is the role that the target reports.
	Role target.Role
	// Incarnation is the start time of its process in Unix milliseconds; 0 if not reported. A target
	// that restarts under its id has another one, and has lost the data and state of the former
	// one.
	Incarnation int64
}

// IDs returns the ids of targets, in their order.
func IDs(targets []*Target) []target.ID {
	ids := make([]target.ID, len(targets))
	for i, t := range targets {
		ids[i] = t.ID
	}
	return ids
}

// LeadershipRecord is the stored record of a service's newest promotion, or of the promotion attempt
// under way.
type LeadershipRecord struct {
	Service string
	// Revision is the store's revision of this record.
	Revision Revision
	// Era is the store's era in which the record was written. If it is earlier than the era of
	// Revision, the record shows the state before the store was restored from an older copy, and
	// later records may be lost.
	Era int64
	// Lost is set if the record no longer exists because the store was restored from an older copy;
	// Revision is then 0.
	Lost bool
	// Primary is the target last promoted by the fleet; empty if none was.
	Primary target.ID
	// Holder is the VM that made the last attempt; empty if none was made.
	Holder string
	// Attempt is set while a promotion is under way.
	Attempt *Attempt
}

// Attempt is a promotion attempt under way. Only its holder may promote a target of the service,
// until the attempt ends or expires.
type Attempt struct {
	// Holder is the VM that makes the attempt.
	Holder string
	// Nonce distinguishes this attempt from all others of the same holder.
	Nonce string
	// Deposed is the primary being replaced.
	Deposed target.ID
}

// Catalog is the state that a VM has obtained from the store and from peers. It is immutable.
type Catalog struct {
	// Config is nil until a configuration was received.
	Config *Config
	// Targets by id.
	Targets map[target.ID]*Target
	// ByService lists a service's targets in the order of their ids.
	ByService map[string][]*Target
	// LeadershipRecords by service.
	LeadershipRecords map[string]*LeadershipRecord
	// VMs lists the fleet, in the order of their names.
	VMs []VM
	// TargetsRevision and FleetRevision are the store's revisions up to which Targets, and VMs with
	// LeadershipRecords, are complete.
	TargetsRevision, FleetRevision Revision
	// changes are the latest changes that lead to Config, the oldest first; each starts from the
	// version that the previous one ends with.
	changes []*Change
	// fleetHistory and targetsHistory are the same for VMs and Targets.
	fleetHistory   history[VM]
	targetsHistory history[Target]
	// fleetDigest and targetsDigest are the digests of VMs and Targets.
	fleetDigest, targetsDigest uint64
}

// VM is an entry of the fleet's own list.
type VM struct {
	// ID is the VM's name.
	ID   string
	Zone string
	// Peer is the address at which the VM answers its peers.
	Peer string
	// Incarnation is different for each run of the VM's process.
	Incarnation string
	// Capacity is the processor time available to the VM, in cores; 0 if not known.
	Capacity float64
	// Expiring is set if other VMs have announced to remove the entry because they do not reach the
	// VM, which writes it again unless it is dead.
	Expiring bool
	// Condition is what the VM says of its own state.
	Condition Condition
}

// Condition is what a VM can carry at present, as its own entry says. VMs of older programs, and
// values that are not known, count as Normal.
type Condition string

// Conditions.
const (
	// Normal: as much as its capacity says.
	Normal Condition = ""
	// Yielding: it is slow; it should be a gateway of few targets.
	Yielding Condition = "yielding"
)

// YieldingVMs returns the names of the VMs that yield, sorted.
func (c *Catalog) YieldingVMs() (out []string) {
	for i := range c.VMs {
		if c.VMs[i].Condition == Yielding {
			out = append(out, c.VMs[i].ID)
		}
	}
	return out
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

// Incarnation returns a target's incarnation; false if the catalog has no such target.
func (c *Catalog) Incarnation(id target.ID) (incarnation int64, known bool) {
	t := c.Targets[id]
	if t == nil {
		return 0, false
	}
	return t.Incarnation, true
}

// FleetDigest returns the digest of the fleet's list. Equal lists have equal digests, whatever their
// revisions; the digest of an empty list is 0.
func (c *Catalog) FleetDigest() uint64 { return c.fleetDigest }

// TargetsDigest is FleetDigest for the list of targets.
func (c *Catalog) TargetsDigest() uint64 { return c.targetsDigest }

// ConfigVersion returns the version of the configuration; 0 if there is none yet.
func (c *Catalog) ConfigVersion() int64 {
	if c.Config == nil {
		return 0
	}
	return c.Config.Version
}

// VM returns the named VM's entry; false if the fleet's list has no such VM.
func (c *Catalog) VM(name string) (VM, bool) {
	at, ok := slices.BinarySearchFunc(c.VMs, name, func(vm VM, name string) int { return cmp.Compare(vm.ID, name) })
	if !ok {
		return VM{}, false
	}
	return c.VMs[at], true
}

// VMNames returns the names of the fleet's VMs.
func (c *Catalog) VMNames() []string {
	out := make([]string, len(c.VMs))
	for i, vm := range c.VMs {
		out[i] = vm.ID
	}
	return out
}

// Complete reports whether the catalog suffices to serve requests: it has a configuration and
// targets.
func (c *Catalog) Complete() bool { return c.Config != nil && len(c.Targets) > 0 }
