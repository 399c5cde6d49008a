package routing

import "endivemoor.example/endivemoor/internal/guard"

// Guards of this package.
const (
	// GuardFloor is the rule that a server holds the session's floor.
	GuardFloor guard.Name = "routing/floor"
	// GuardAge is the rule that a replica's data is no older than MaxAge.
	GuardAge guard.Name = "routing/age"
	// GuardWitness is the rule that a primary's word counts only up to the
	// instant at which a replica witnessed that it was not superseded.
	GuardWitness guard.Name = "routing/witness"
	// GuardHistory is the rule that a superseded primary, or a server with
	// discarded entries, serves nothing.
	GuardHistory guard.Name = "routing/history"
)
