// Package target is the interface between endivemoor and one database server. Apart from running
// callers' statements, all requests of the fleet to a database are the four calls Status, Fence,
// Promote and Follow of Database. docs/DATABASE.md states how PostgreSQL answers each of them. The
// package does not implement them: pgtarget does.
package target

import (
	"context"

	"endivemoor.example/endivemoor/timeline"
)

// ID identifies a server within the fleet's configuration, such as "ledger-0-a".
type ID string

// Role is the role that a server reports for itself. A superseded primary still reports that it
// leads, so a role is a claim and never a proof.
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

// Status is a server's status report at one time.
type Status struct {
	// Server is the answering server.
	Server ID
	// Role is the role that the server claims.
	Role Role
	// Term is the term of the newest entry or branch that the server follows.
	Term timeline.Term
	// Promised is the highest term at which the server was fenced or promoted.
	// The server refuses writes and replication of any lower term.
	Promised timeline.Term
	// LSN is the end of its log: committed (primary) or applied (replica).
	LSN timeline.LSN
	// Start is the position at which Term began.
	Start timeline.LSN
}

// Position returns the end of the server's log.
func (s Status) Position() timeline.Position {
	return timeline.Position{Term: s.Term, LSN: s.LSN}
}

// Entry describes a committed transaction that a server discarded when it was rewound to follow a
// later term. It is recorded for the auditor.
type Entry struct {
	Position timeline.Position
	// Statement is a summary of the write, at most 256 bytes long.
	Statement string
}

// Database is one server's control interface. Every call is idempotent: after a lost answer, the
// call is repeated.
type Database interface {
	// Status returns the server's status report.
	Status(ctx context.Context) (Status, error)
	// Fence makes the server promise term: from its answer on, the server commits no write and
	// accepts no replication of a lower term, also for transactions that are already open. A server
	// that has promised a higher term returns a *FencedError.
	Fence(ctx context.Context, term timeline.Term) (Status, error)
	// Promote makes the server the primary of term, starting at the end of its log. The server must
	// have promised exactly term; otherwise it returns a *FencedError.
	Promote(ctx context.Context, term timeline.Term) (Status, error)
	// Follow makes the server replicate from primary in term, after it has rewound the entries
	// beyond the term's start. It returns the discarded entries.
	Follow(ctx context.Context, primary string, term timeline.Term) ([]Entry, error)
	// Close releases the control connection.
	Close(ctx context.Context) error
}

// FencedError means that a server refused a command because it has promised a higher term: the
// sender of the command has been superseded.
type FencedError struct {
	Server      ID
	CommandTerm timeline.Term
	Promised    timeline.Term
}

// Error returns the refusal with the server's name. CommandTerm and Promised hold the two terms.
func (e *FencedError) Error() string {
	return "server " + string(e.Server) + " has promised a higher term"
}
