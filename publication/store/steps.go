package store

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/profile/inifile"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/readback"
)

// Attribution names the actor of a step and the actor's reason.
type Attribution struct {
	Actor  string
	Reason string
}

// Create checks a text and, unless a finding refuses it, stores it as a draft. It returns the
// findings in both cases.
func (s *Store) Create(ctx context.Context, by Attribution, file string, text []byte) (publication.Draft, finding.Findings, error) {
	step, current, err := s.begin(ctx, by)
	if err != nil {
		return publication.Draft{}, nil, err
	}
	d, err := publication.NewDraft(s.newID(), text, step)
	if err != nil {
		return d, nil, err
	}
	_, findings := inifile.Parse(file, text)
	d, err = d.Check(findings, current)
	if err != nil {
		return d, findings, err
	}
	return d, findings, s.write(ctx, d, 0)
}

// Review records a reviewer's approval of a draft as the replacement of the record in force.
func (s *Store) Review(ctx context.Context, by Attribution, id string, accepted []string) (publication.Draft, error) {
	step, current, err := s.begin(ctx, by)
	if err != nil {
		return publication.Draft{}, err
	}
	d, version, err := s.draft(ctx, id)
	if err != nil {
		return d, err
	}
	next, findings := inifile.Parse(DraftPrefix+id, []byte(d.Text))
	if next == nil {
		return d, findings
	}
	changes, err := changesTo(current, next)
	if err != nil {
		return d, err
	}
	d, err = d.Approve(step, current, changes, accepted)
	if err != nil {
		return d, err
	}
	return d, s.write(ctx, d, version)
}

// Retire withdraws a draft.
func (s *Store) Retire(ctx context.Context, by Attribution, id string) (publication.Draft, error) {
	step, _, err := s.begin(ctx, by)
	if err != nil {
		return publication.Draft{}, err
	}
	d, version, err := s.draft(ctx, id)
	if err != nil {
		return d, err
	}
	d, err = d.Retire(step)
	if err != nil {
		return d, err
	}
	return d, s.write(ctx, d, version)
}

// begin completes what an interrupted command left undone, and prepares a step. It also returns the
// record in force.
func (s *Store) begin(ctx context.Context, by Attribution) (publication.Step, *publication.Record, error) {
	var none publication.Step
	if !s.guards.Disabled(GuardRecover) {
		if err := s.Recover(ctx); err != nil {
			return none, nil, err
		}
	}
	current, err := s.Current(ctx)
	if err != nil {
		return none, nil, err
	}
	since, err := s.log.Last(ctx)
	if err != nil {
		return none, nil, err
	}
	at := publication.AuditPoint{Time: s.now().UTC(), Since: since}
	return publication.Step{Actor: by.Actor, Reason: by.Reason, ID: s.newID(), At: at, Guards: s.guards}, current, nil
}

// write stores a draft after a step, together with the step's audit entry, and then appends the entry
// to the audit trail. If the append fails, the step remains in effect and the next command appends
// the entry.
func (s *Store) write(ctx context.Context, d publication.Draft, expect store.Version) error {
	value, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode draft")
	}
	entryID := d.Entries[len(d.Entries)-1].ID
	r, err := readback.Put(ctx, s.platform, readback.Write{
		Purpose: store.PurposeProfile, Key: DraftPrefix + d.ID, Value: value, Expect: expect, Pause: s.pause,
		IsOwn: func(o store.Object) bool { return draftHasEntry(o, entryID) && !s.guards.Disabled(GuardReadBack) },
	})
	switch r.Outcome {
	case readback.Won:
		return s.settleWritten(ctx, r.Current)
	case readback.Lost:
		return lostDraft(d.ID, r.Current)
	case readback.Unknown:
		return &UnknownError{What: "the step on draft " + d.ID, Cause: err}
	default:
		return err
	}
}

// settleWritten records the audit entries of the draft in o, as last read. Its errors from the store
// are ignored because the step has already taken effect.
func (s *Store) settleWritten(ctx context.Context, o store.Object) error {
	var d publication.Draft
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return errors.Wrap(err, "draft")
	}
	_ = s.settleDraft(ctx, d, o.Version)
	return nil
}

func draftHasEntry(o store.Object, id string) bool {
	var d publication.Draft
	if json.Unmarshal(o.Value, &d) != nil {
		return false
	}
	for _, e := range d.Entries {
		if e.ID == id {
			return true
		}
	}
	return false
}

// lostDraft returns the error of a step that lost a race. It names the competing change of the draft.
func lostDraft(id string, o store.Object) error {
	var d publication.Draft
	if o.Version == 0 || json.Unmarshal(o.Value, &d) != nil || len(d.Entries) == 0 {
		return &publication.RefusedError{Rule: publication.RuleState, Message: "draft " + id + " was published or retired meanwhile"}
	}
	last := d.Entries[len(d.Entries)-1]
	return &publication.RefusedError{
		Rule:    publication.RuleState,
		Message: "draft " + id + " was changed meanwhile: " + string(last.Action) + " by " + last.Actor + ": " + last.Reason,
	}
}
