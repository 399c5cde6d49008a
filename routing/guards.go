package routing

import "endivemoor.example/endivemoor/internal/guard"

// Guards of this package.
const (
	// GuardFloor requires a server to cover the session's floor.
	GuardFloor guard.Name = "routing/floor"
	// GuardAge requires a replica's data to be no older than MaxAge.
	GuardAge guard.Name = "routing/age"
	// GuardWitness limits the use of a primary's status reports to those up to the latest time at
	// which a replica witnessed that the primary was not superseded.
	GuardWitness guard.Name = "routing/witness"
	// GuardHistory excludes a superseded primary and a server with discarded entries.
	GuardHistory guard.Name = "routing/history"
)
