package publication

import (
	"fmt"
	"strings"

	"endivemoor.example/endivemoor/internal/guard"
)

// Guards that a test can disable.
const (
	// GuardReviewer requires a reviewer other than the author.
	GuardReviewer guard.Name = "publication/other-reviewer"
	// GuardBase requires that the record in force is the one that the draft was reviewed against.
	GuardBase guard.Name = "publication/reviewed-base"
	// GuardDanger requires that the reviewer accepts each dangerous change.
	GuardDanger guard.Name = "publication/dangerous-changes"
)

// Rule names the rule that refused a step.
type Rule string

const (
	// RuleActor requires the name of the actor.
	RuleActor Rule = "actor"
	// RuleReason requires a reason.
	RuleReason Rule = "reason"
	// RuleState refuses a step that the draft's state does not allow.
	RuleState Rule = "state"
	// RuleChecked refuses a text with findings.
	RuleChecked Rule = "checked"
	// RuleSameText refuses a draft that changes nothing.
	RuleSameText Rule = "same-text"
	// RuleOwnReview prevents authors from reviewing their own changes.
	RuleOwnReview Rule = "own-review"
	// RuleDanger requires that the reviewer accepts each dangerous change.
	RuleDanger Rule = "danger"
	// RuleSuperseded refuses a publish whose base record another publish has replaced.
	RuleSuperseded Rule = "superseded"
)

// RefusedError reports that a step was refused and changed nothing.
type RefusedError struct {
	Rule    Rule
	Message string
	// Winner is the record in force, for RuleSuperseded.
	Winner *Record
}

// Error names the rule, the reason and, if there is one, the winning record.
func (e *RefusedError) Error() string {
	text := fmt.Sprintf("refused (%s): %s", e.Rule, e.Message)
	if w := e.Winner; w != nil {
		text += fmt.Sprintf("; generation %d (%.12s) was published by %s at %s from draft %s: %s",
			w.Generation, w.Digest, w.Publisher, w.Published.Format("2006-01-02T15:04:05Z07:00"), w.Draft, w.Entry.Reason)
	}
	return text
}

func refuse(rule Rule, format string, args ...any) error {
	return &RefusedError{Rule: rule, Message: fmt.Sprintf(format, args...)}
}

// Superseded returns the error of a publish that lost a race. It names the winning record.
func Superseded(winner *Record, format string, args ...any) error {
	return &RefusedError{Rule: RuleSuperseded, Message: fmt.Sprintf(format, args...), Winner: winner}
}

// Step describes a step on a draft: its actor, reason and time.
type Step struct {
	Actor  string
	Reason string
	// ID identifies the step in the audit trail. It is chosen at random, once, before anything is
	// written.
	ID string
	At AuditPoint
	// Guards is set by tests only, to disable guards.
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
