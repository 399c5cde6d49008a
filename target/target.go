// Package target is the narrow interface between endivemoor and one database
// server. Everything the fleet asks of a database, beyond running callers'
// statements, is one of four calls. docs/DATABASE.md says how PostgreSQL
// answers each of them.
package target

import (
	"context"

	"endivemoor.example/endivemoor/timeline"
)

// ID names a server within the fleet's configuration, such as "ledger-0-a".
type ID string

// Role is what a server believes itself to be. A superseded primary still
// believes that it leads, so a role is a claim and never a proof.
type Role uint8

const (
	// RoleUnknown is the zero value.
	RoleUnknown Role = iota
	// RolePrimary accepts writes of its term.
	RolePrimary
	// RoleReplica follows a primary.
	RoleReplica
)

// String returns the role's name on the wire.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// Status is a server's own account of itself at one moment.
type Status struct {
	// Server is the answering server.
	Server ID
	// Role is its claim.
	Role Role
	// Term is the term of the newest entry or branch that the server follows.
	Term timeline.Term
	// Promised is the highest term that the server was fenced or promoted at.
	// It refuses writes and replication of any lower term.
	Promised timeline.Term
	// LSN is the end of its log: committed (primary) or applied (replica).
	LSN timeline.LSN
	// Start is the position at which Term began.
	Start timeline.LSN
}

// Position is the end of the server's log.
func (s Status) Position() timeline.Position {
	return timeline.Position{Term: s.Term, LSN: s.LSN}
}

// Entry describes a committed transaction that a server discarded when it was
// rewound to follow a later term; it is listed for the auditor.
type Entry struct {
	Position timeline.Position
	// Statement is a summary of what was written, never longer than 256 bytes.
	Statement string
}

// Database is one server's control interface. Every call is idempotent: a lost
// answer is resolved by asking again.
type Database interface {
	// Status returns the server's account of itself.
	Status(ctx context.Context) (Status, error)
	// Fence makes the server promise term: from its answer on it commits no
	// write and accepts no replication of a lower term, also not for
	// transactions that are open. A server that has promised a higher term
	// answers ErrFenced.
	Fence(ctx context.Context, term timeline.Term) (Status, error)
	// Promote makes the server the primary of term, starting at the end of its
	// log. It must have promised exactly term; otherwise it answers ErrFenced.
	Promote(ctx context.Context, term timeline.Term) (Status, error)
	// Follow makes the server replicate from primary in term, after rewinding
	// what it has beyond the term's start. What it discarded is returned.
	Follow(ctx context.Context, primary string, term timeline.Term) ([]Entry, error)
	// Close releases the control connection.
	Close(ctx context.Context) error
}

// FencedError says that a server refused an order because it has promised a
// higher term: whoever sent the order has been superseded.
type FencedError struct {
	Server   ID
	Ordered  timeline.Term
	Promised timeline.Term
}

// Error returns the refusal with both terms.
func (e *FencedError) Error() string {
	return "server " + string(e.Server) + " has promised a higher term"
}
