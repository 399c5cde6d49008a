package request

// Step names a transition of a request. The order of the constants is the
// order in which a request passes them.
type Step uint8

// Steps of a request.
const (
	// StepReceived: the complete request was read from the caller.
	StepReceived Step = iota
	// StepRouted: a server was chosen.
	StepRouted
	// StepAdmitted: admission granted a slot of the server.
	StepAdmitted
	// StepConnected: a connection was acquired from the pool.
	StepConnected
	// StepSent: the first byte is about to be sent to the target.
	StepSent
	// StepExecuted: the target has answered all statements; a keyed request
	// is not committed yet.
	StepExecuted
	// StepCommitSent: the first byte of the proxy's own COMMIT is about to be
	// sent to the target; only keyed requests pass this step.
	StepCommitSent
	// StepCommitted: the target has reported the commit.
	StepCommitted
	// StepAcknowledged: the gate has found the write safe to acknowledge.
	StepAcknowledged
	// StepReplied: the answer was written to the caller's socket.
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

// State is the state of a request, as derived from its steps.
type State uint8

const (
	// Queued means that no byte of the request was sent to a target.
	Queued State = iota
	// Sent means that a target may have run it.
	Sent
	// Answered means that its complete answer is known.
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
