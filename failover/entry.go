package failover

import (
	"time"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Step names a transition of the Machine. The names are stable: they appear in the audit trail and
// are the columns of the fault matrix.
type Step string

// Steps in the order of a promotion.
const (
	// StepSuspected: the primary does not answer probes.
	StepSuspected Step = "suspected"
	// StepCleared: the primary answers again, and no promotion attempt was started.
	StepCleared Step = "cleared"
	// StepReserved: the store has reserved terms for this VM.
	StepReserved Step = "reserved"
	// StepStarted: a promotion attempt begins.
	StepStarted Step = "started"
	// StepHandover: a planned change fences the primary and waits for a replica to reach the
	// primary's last position.
	StepHandover Step = "handover"
	// StepFenced: a majority has promised the term.
	StepFenced Step = "fenced"
	// StepPromoted: the candidate is the primary of the term.
	StepPromoted Step = "promoted"
	// StepPublished: the store has the new primary.
	StepPublished Step = "published"
	// StepFollowing: a server follows the new primary; Discarded lists the entries that the server
	// had beyond the term's start.
	StepFollowing Step = "following"
	// StepSteppedBack: the attempt ended because a server has promised a later term to another VM.
	StepSteppedBack Step = "stepped-back"
	// StepCandidateLost: the candidate did not answer, so the next term is due.
	StepCandidateLost Step = "candidate-lost"
	// StepGivenUp: no server answered an attempt.
	StepGivenUp Step = "given-up"
	// StepAdopted: an unannounced primary of a later term was found.
	StepAdopted Step = "adopted"
	// StepRepaired: a server that did not replicate from the primary was commanded to follow it.
	StepRepaired Step = "repaired"
)

// Entry is one audit record, with the evidence at the time of the step.
type Entry struct {
	Step   Step
	Group  string
	VM     string
	Term   timeline.Term
	Server target.ID
	// Reason is a human-readable explanation.
	Reason string
	// Evidence lists the observations of the servers, by this VM and by its peers.
	Evidence []Evidence
	// Discarded lists the entries that Server discarded when it was rewound.
	Discarded []target.Entry
}

// Evidence is one VM's newest observation of one server.
type Evidence struct {
	VM     string
	Zone   string
	Server target.ID
	// Silent reports whether the VM considered the server unresponsive.
	Silent bool
	// Age is the age of the newest successful answer.
	Age    time.Duration
	Status target.Status
}
