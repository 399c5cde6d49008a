package request

// Step names a transition of a request. The order of the constants is the
// order in which a request passes them.
type Step uint8

// Steps of a request.
const (
	// StepReceived is when the whole request was read from the caller.
	StepReceived Step = iota
	// StepRouted is when a server was chosen.
	StepRouted
	// StepAdmitted is when a slot of the server was given.
	StepAdmitted
	// StepConnected is when a connection of the pool is owned.
	StepConnected
	// StepSent is just before the first byte goes to the target.
	StepSent
	// StepExecuted is when the target answered all statements; a keyed request
	// is not committed yet.
	StepExecuted
	// StepCommitSent is just before the first byte of a COMMIT of the proxy's
	// own goes to the target; only keyed requests pass it.
	StepCommitSent
	// StepCommitted is when the target reported the commit.
	StepCommitted
	// StepAcknowledged is when the gate found the write safe to acknowledge.
	StepAcknowledged
	// StepReplied is when the answer was handed to the caller's socket.
	StepReplied
)

// Steps lists every step in order.
var Steps = []Step{
	StepReceived, StepRouted, StepAdmitted, StepConnected, StepSent,
	StepExecuted, StepCommitSent, StepCommitted, StepAcknowledged, StepReplied,
}

var stepNames = [...]string{
	"received", "routed", "admitted", "connected", "sent",
	"executed", "commit-sent", "committed", "acknowledged", "replied",
}

// String returns the step's name in logs, records and scenarios.
func (s Step) String() string {
	if int(s) < len(stepNames) {
		return stepNames[s]
	}
	return "invalid"
}

// State is what may be concluded from the last step.
type State uint8

const (
	// Queued means that no byte of the request has left for a target.
	Queued State = iota
	// Sent means that a target may have run it.
	Sent
	// Answered means that its whole answer is known.
	Answered
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Sent:
		return "sent"
	default:
		return "answered"
	}
}

func stateOf(s Step) State {
	switch {
	case s < StepSent:
		return Queued
	case s < StepAcknowledged:
		return Sent
	default:
		return Answered
	}
}
