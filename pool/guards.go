package pool

import "endivemoor.example/endivemoor/internal/guard"

// Guards that a test may take out.
const (
	// GuardOwner refuses the use of a connection by its former owner.
	GuardOwner guard.Name = "pool/one-owner"
	// GuardClean closes connections that come back unfinished.
	GuardClean guard.Name = "pool/clean-on-return"
	// GuardReset makes the target drop a caller's state.
	GuardReset guard.Name = "pool/reset-proven"
	// GuardAlive finds idle connections that the target has closed.
	GuardAlive guard.Name = "pool/alive"
)
