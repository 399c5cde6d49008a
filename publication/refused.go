package publication

import (
	"fmt"
	"strings"

	"endivemoor.example/endivemoor/internal/guard"
)

// Guards that a test may take out.
const (
	// GuardReviewer asks for a reviewer other than the author.
	GuardReviewer guard.Name = "publication/other-reviewer"
	// GuardBase asks that a review still stands against what is in force.
	GuardBase guard.Name = "publication/reviewed-base"
	// GuardDanger asks for the word on each dangerous change.
	GuardDanger guard.Name = "publication/dangerous-changes"
)

// Rule is why a step was refused.
type Rule string

const (
	// RuleActor asks for a name of who acts.
	RuleActor Rule = "actor"
	// RuleReason asks for a reason.
	RuleReason Rule = "reason"
	// RuleState refuses a step that the draft's state does not allow.
	RuleState Rule = "state"
	// RuleChecked refuses a text with findings.
	RuleChecked Rule = "checked"
	// RuleSameText refuses a draft that changes nothing.
	RuleSameText Rule = "same-text"
	// RuleOwnReview keeps authors from reviewing their own change.
	RuleOwnReview Rule = "own-review"
	// RuleDanger asks for the reviewer's word on each dangerous change.
	RuleDanger Rule = "danger"
	// RuleSuperseded refuses a review or publish against a record that another
	// publish has replaced.
	RuleSuperseded Rule = "superseded"
)

// RefusedError says that a step was not taken, and changed nothing.
type RefusedError struct {
	Rule    Rule
	Message string
	// Winner is who and what came first, for RuleSuperseded.
	Winner *Record
}

// Error names rule and reason, and the winner of a race.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("refused (%s): %s", e.Rule, e.Message)
	if w := e.Winner; w != nil {
		text += fmt.Sprintf("; generation %d (%.12s) was published by %s at %s from draft %s: %s",
			w.Generation, w.Digest, w.Publisher, w.Published.Format("2006-01-02T15:04:05Z07:00"), w.Draft, w.Act.Reason)
	}
	return text
}

func refuse(rule Rule, format string, args ...any) error {
	return &RefusedError{Rule: rule, Message: fmt.Sprintf(format, args...)}
}

// Superseded is what the loser of a race is told: who won, and with what.
func Superseded(winner *Record, format string, args ...any) error {
	return &RefusedError{Rule: RuleSuperseded, Message: fmt.Sprintf(format, args...), Winner: winner}
}

// Step is who takes a step, when and why.
type Step struct {
	Actor  string
	Reason string
	// ID names the step in the audit trail; it is chosen at random once, before
	// anything is written.
	ID  string
	Act Mark
	// Guards are taken out by tests only.
	Guards guard.Set
}

func (s Step) check() error {
	if strings.TrimSpace(s.Actor) == "" {
		return refuse(RuleActor, "no actor is named")
	}
	if strings.TrimSpace(s.Reason) == "" {
		return refuse(RuleReason, "no reason is given")
	}
	return nil
}
