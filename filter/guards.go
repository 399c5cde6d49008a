package filter

import "endivemoor.example/endivemoor/internal/guard"

// Guards that a test may take out.
const (
	// GuardGate holds commits back until they are shown to be kept.
	GuardGate guard.Name = "filter/acknowledge-gate"
	// GuardFloor asks for the floor of a session without a token.
	GuardFloor guard.Name = "filter/witnessed-floor"
)
