package dbd

import (
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/target"
)

// Role is the role of a server at its start.
type Role string

const (
	// RolePrimary is the primary of term 1.
	RolePrimary Role = "primary"
	// RoleReplica starts with the seed entry and follows Options.Primary, if it is set.
	RoleReplica Role = "replica"
	// RoleBlank has lost its storage: it refuses to be fenced or promoted until it has followed a
	// primary.
	RoleBlank Role = "blank"
)

// RequestTable creates the table of the keys of requests that run at most once. It is the first
// statement of each group's log.
const RequestTable = `CREATE TABLE endivemoor_requests (
	key TEXT PRIMARY KEY,
	digest TEXT NOT NULL,
	answer TEXT
)`

// Options configures one server. The zero value of a field means its default.
type Options struct {
	ID target.ID
	// Listen is the SQL address, by default a free port of 127.0.0.1.
	Listen string
	// Control is the HTTP address of ControlHandler; "" means none.
	Control string
	Zone    string
	Role    Role
	// Primary is the SQL address that a replica follows from the start.
	Primary string
	// Connections limits the number of connections, not counting those of control and replication.
	Connections int
	// Slots limits the number of statements that run at once.
	Slots int
	// ConnectCost is the time that opening a connection takes.
	ConnectCost time.Duration
	// StatementCost is the minimum time that a statement holds its slot.
	StatementCost time.Duration
	// Delay is the replication delay of this server.
	Delay time.Duration
	// Seed lists the statements that each server of a group runs after RequestTable.
	Seed []string
	// Users maps names to passwords for SCRAM-SHA-256; none means trust.
	Users map[string]string
	// LockTimeout bounds the wait for the write lock.
	LockTimeout time.Duration
	// IdleInTransaction is the time after which a connection that is idle in a transaction is
	// closed: it holds the only write lock, where PostgreSQL has a lock for each row.
	IdleInTransaction time.Duration
	Log               *zap.Logger
}

const (
	defaultConnections       = 25
	defaultSlots             = 3
	defaultLockTimeout       = 5 * time.Second
	defaultIdleInTransaction = 10 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Role == "" {
		o.Role = RoleReplica
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.LockTimeout == 0 {
		o.LockTimeout = defaultLockTimeout
	}
	if o.IdleInTransaction == 0 {
		o.IdleInTransaction = defaultIdleInTransaction
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}
