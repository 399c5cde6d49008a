package pool

import "endivemoor.example/endivemoor/internal/guard"

// Guards that a test may disable.
const (
	// GuardOwner refuses the use of a connection by its former owner.
	GuardOwner guard.Name = "pool/one-owner"
	// GuardClean closes connections that are released before their transaction has finished.
	GuardClean guard.Name = "pool/clean-on-return"
	// GuardReset resets a connection, so that the target drops its owner's session state.
	GuardReset guard.Name = "pool/reset-proven"
	// GuardAlive detects idle connections that the target has closed.
	GuardAlive guard.Name = "pool/alive"
)
