package failover

import (
	"time"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Step names a transition of the Machine. The names are stable: they appear in
// the audit trail and are the columns of the fault matrix.
type Step string

// Steps in the order of a promotion.
const (
	// StepSuspected: the primary's probes are not answered.
	StepSuspected Step = "suspected"
	// StepCleared: it answers again, and no promotion was started.
	StepCleared Step = "cleared"
	// StepReserved: the store has given terms to this VM.
	StepReserved Step = "reserved"
	// StepStarted: an attempt in a term begins.
	StepStarted Step = "started"
	// StepHandover: a planned change has fenced the primary, and waits for a
	// replica to reach the primary's last position.
	StepHandover Step = "handover"
	// StepFenced: a majority has promised the term.
	StepFenced Step = "fenced"
	// StepPromoted: the candidate is primary of the term.
	StepPromoted Step = "promoted"
	// StepPublished: the store holds the new primary.
	StepPublished Step = "published"
	// StepFollowing: a server follows the new primary; Discarded lists what it
	// had beyond the term's start.
	StepFollowing Step = "following"
	// StepSteppedBack: a server has promised a later term to another VM.
	StepSteppedBack Step = "stepped-back"
	// StepCandidateLost: the candidate did not answer; the next term is due.
	StepCandidateLost Step = "candidate-lost"
	// StepGivenUp: no server answered an attempt.
	StepGivenUp Step = "given-up"
	// StepAdopted: a primary of a later term was found that nobody announced.
	StepAdopted Step = "adopted"
	// StepRepaired: a server that follows nobody was told to follow.
	StepRepaired Step = "repaired"
)

// Entry is one act for the audit trail, with the evidence as it was.
type Entry struct {
	Step   Step
	Group  string
	VM     string
	Term   timeline.Term
	Server target.ID
	// Reason is for people.
	Reason string
	// Evidence holds what was known of the servers, own and peers'.
	Evidence []Evidence
	// Discarded lists what Server dropped when it was rewound.
	Discarded []target.Entry
}

// Evidence is what one VM knew of one server.
type Evidence struct {
	VM     string
	Zone   string
	Server target.ID
	// Silent is true when the server had not answered for too long.
	Silent bool
	// Age is the age of the newest good answer.
	Age    time.Duration
	Status target.Status
}
