package filter

import "endivemoor.example/endivemoor/internal/guard"

// Guards that a test may disable.
const (
	// GuardGate delays the report of a commit until it is proven that no promotion discards it.
	GuardGate guard.Name = "filter/acknowledge-gate"
	// GuardFloor queries the primary for the floor of a session without a token.
	GuardFloor guard.Name = "filter/witnessed-floor"
)
