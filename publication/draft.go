package publication

import (
	"slices"
	"strings"
	"time"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/diff"
)

// State is the stage of a draft.
type State string

// States of a draft. Retired is final. A published draft continues as a Record, which the next
// published Record replaces.
const (
	StateDraft    State = "draft"
	StateChecked  State = "checked"
	StateReviewed State = "reviewed"
	StateRetired  State = "retired"
)

// AuditPoint is the wall-clock time of a step, and the number of the last segment of the audit log
// at that time.
type AuditPoint struct {
	Time  time.Time
	Since int
}

// Review is a reviewer's approval of one text as the replacement of one record.
type Review struct {
	Reviewer string    `json:"reviewer"`
	Reason   string    `json:"reason"`
	Time     time.Time `json:"time"`
	// Digest identifies the reviewed text, Base the version that it would replace.
	Digest string  `json:"digest"`
	Base   Version `json:"base"`
	// Accepted lists the IDs of the accepted dangerous changes.
	Accepted []string `json:"accepted,omitempty"`
}

// Draft is a proposed text of the profiles. It is the value of "profiles/drafts/<id>". Its text is
// immutable: a different text requires a new draft.
type Draft struct {
	ID      string    `json:"id"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason"`
	Created time.Time `json:"created"`
	Text    string    `json:"text"`
	Digest  string    `json:"digest"`
	State   State     `json:"state"`
	Review  *Review   `json:"review,omitempty"`
	// Entries are the audit entries of the draft's steps, in order. The first Recorded of them are
	// known to be in the audit trail.
	Entries  []PendingEntry `json:"acts"`
	Recorded int            `json:"recorded"`
}

// NewDraft returns a draft of text in StateDraft.
func NewDraft(id string, text []byte, s Step) (Draft, error) {
	if err := s.check(); err != nil {
		return Draft{}, err
	}
	d := Draft{ID: id, Author: s.Actor, Reason: s.Reason, Created: s.At.Time, Text: string(text), Digest: profile.Digest(text), State: StateDraft}
	return d.record(s, audit.ProfileDrafted, "", d.Digest), nil
}

// Check returns the draft in StateChecked, unless a finding refuses its text.
func (d Draft) Check(findings finding.Findings, current *Record) (Draft, error) {
	if d.State != StateDraft {
		return d, refuse(RuleState, "draft %s is %s", d.ID, d.State)
	}
	if findings.Refused() {
		return d, refuse(RuleChecked, "the text has findings:\n%s", findings.Error())
	}
	if d.Digest == current.version().Digest {
		return d, refuse(RuleSameText, "the text is what generation %d says already", current.Generation)
	}
	d.State = StateChecked
	return d, nil
}

// Approve records a reviewer's approval. The changes are those from current to the draft's text;
// accepted must contain the ID of each dangerous one. A draft can be reviewed again, which is
// necessary after another publish replaced the record that it was reviewed against.
func (d Draft) Approve(s Step, current *Record, changes []diff.Change, accepted []string) (Draft, error) {
	if err := s.check(); err != nil {
		return d, err
	}
	if d.State != StateChecked && d.State != StateReviewed {
		return d, refuse(RuleState, "draft %s is %s, not checked", d.ID, d.State)
	}
	if d.Digest == current.version().Digest {
		return d, refuse(RuleSameText, "the text is what generation %d says already", current.Generation)
	}
	// Failure guarded against: one person publishes a change alone. Names are compared without
	// regard to case and surrounding space; otherwise "Aoife" could review a draft of "aoife".
	if samePerson(d.Author, s.Actor) && !s.Guards.Disabled(GuardReviewer) {
		return d, refuse(RuleOwnReview, "%s wrote draft %s, somebody else must review it", d.Author, d.ID)
	}
	if missing := notAccepted(changes, accepted); len(missing) > 0 && !s.Guards.Disabled(GuardDanger) {
		return d, refuse(RuleDanger, "accept each dangerous change by its ID:\n%s", strings.Join(missing, "\n"))
	}
	d.State = StateReviewed
	d.Review = &Review{
		Reviewer: s.Actor, Reason: s.Reason, Time: s.At.Time,
		Digest: d.Digest, Base: current.version(), Accepted: dangerousIDs(changes),
	}
	return d.record(s, audit.ProfileReviewed, current.version().Digest, d.Digest), nil
}

// Retire withdraws the draft, which can then no longer be published.
func (d Draft) Retire(s Step) (Draft, error) {
	if err := s.check(); err != nil {
		return d, err
	}
	if d.State == StateRetired {
		return d, refuse(RuleState, "draft %s is %s", d.ID, d.State)
	}
	d.State = StateRetired
	return d.record(s, audit.ProfileRetired, d.Digest, ""), nil
}

// Publish returns the record that puts the draft in force in place of current, which is nil before
// the first publish.
func (d Draft) Publish(s Step, current *Record) (*Record, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if d.State != StateReviewed {
		return nil, refuse(RuleState, "draft %s is %s, not reviewed", d.ID, d.State)
	}
	ownReview := samePerson(d.Author, d.Review.Reviewer) && !s.Guards.Disabled(GuardReviewer)
	if ownReview || d.Review.Digest != d.Digest {
		return nil, refuse(RuleOwnReview, "the review of draft %s does not stand", d.ID)
	}
	// Failure guarded against: two concurrent publishes, or a publish whose changes differ from
	// the reviewed ones. The reviewer saw only the changes relative to Base.
	if d.Review.Base != current.version() && !s.Guards.Disabled(GuardBase) {
		return nil, Superseded(current, "draft %s was reviewed against generation %d; review it again", d.ID, d.Review.Base.Generation)
	}
	next := Version{Generation: current.version().Generation + 1, Digest: d.Digest}
	entry := s.newEntry(audit.ProfilePublished, "profiles", label(current.version()), label(next))
	entry.Reviewer = d.Review.Reviewer
	return &Record{
		Version: next, Text: d.Text, Draft: d.ID,
		Author: d.Author, Reviewer: d.Review.Reviewer, Publisher: s.Actor, Published: s.At.Time,
		Accepted: d.Review.Accepted, Replaced: current.version(), Entry: entry,
	}, nil
}

func (d Draft) record(s Step, action audit.Action, from, to string) Draft {
	entry := s.newEntry(action, "profiles/drafts/"+d.ID, from, to)
	if d.Review != nil {
		entry.Reviewer = d.Review.Reviewer
	}
	d.Entries = append(slices.Clone(d.Entries), entry)
	return d
}

func (s Step) newEntry(action audit.Action, subject, from, to string) PendingEntry {
	return PendingEntry{
		Draft: audit.Draft{ID: s.ID, Time: s.At.Time, Actor: s.Actor, Action: action, Reason: s.Reason, Subject: subject, From: from, To: to},
		Since: s.At.Since,
	}
}
