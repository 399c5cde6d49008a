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

// By is who takes a step and why.
type By struct {
	Actor  string
	Reason string
}

// Create checks a text and, if nothing refuses it, stores it as a draft.
// Findings are returned in any case.
func (s *Store) Create(ctx context.Context, by By, file string, text []byte) (publication.Draft, finding.Findings, error) {
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

// Review records a reviewer's word on a draft against the record in force.
func (s *Store) Review(ctx context.Context, by By, id string, accepted []string) (publication.Draft, error) {
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
func (s *Store) Retire(ctx context.Context, by By, id string) (publication.Draft, error) {
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

// begin recovers what an earlier command left behind, and prepares a step.
func (s *Store) begin(ctx context.Context, by By) (publication.Step, *publication.Record, error) {
	var none publication.Step
	if !s.guards.Out(GuardRecover) {
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
	mark := publication.Mark{Time: s.now().UTC(), Since: since}
	return publication.Step{Actor: by.Actor, Reason: by.Reason, ID: s.newID(), Act: mark, Guards: s.guards}, current, nil
}

// write stores a draft after a step, with the step's act in it, and then
// records the act. When the recording fails the step stands all the same, and
// the next command records it.
func (s *Store) write(ctx context.Context, d publication.Draft, expect store.Version) error {
	value, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode draft")
	}
	own := d.Acts[len(d.Acts)-1].ID
	r, err := readback.Put(ctx, s.platform, readback.Write{
		Purpose: store.PurposeProfile, Key: DraftPrefix + d.ID, Value: value, Expect: expect, Pause: s.pause,
		Mine: func(o store.Object) bool { return draftHasAct(o, own) && !s.guards.Out(GuardReadBack) },
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

// settleWritten records the acts of the draft as it stands now. The step was
// accepted, so a store that fails only here does not fail the step.
func (s *Store) settleWritten(ctx context.Context, o store.Object) error {
	var d publication.Draft
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return errors.Wrap(err, "draft")
	}
	_ = s.settleDraft(ctx, d, o.Version)
	return nil
}

func draftHasAct(o store.Object, id string) bool {
	var d publication.Draft
	if json.Unmarshal(o.Value, &d) != nil {
		return false
	}
	for _, a := range d.Acts {
		if a.ID == id {
			return true
		}
	}
	return false
}

// lostDraft tells who changed the draft first.
func lostDraft(id string, o store.Object) error {
	var d publication.Draft
	if o.Version == 0 || json.Unmarshal(o.Value, &d) != nil || len(d.Acts) == 0 {
		return &publication.RefusedError{Rule: publication.RuleState, Message: "draft " + id + " was published or retired meanwhile"}
	}
	last := d.Acts[len(d.Acts)-1]
	return &publication.RefusedError{
		Rule:    publication.RuleState,
		Message: "draft " + id + " was changed meanwhile: " + string(last.Action) + " by " + last.Actor + ": " + last.Reason,
	}
}
