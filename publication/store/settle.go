package store

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
)

func pending(acts ...publication.Act) []auditlog.Pending {
	out := make([]auditlog.Pending, len(acts))
	for i, a := range acts {
		out[i] = auditlog.Pending{Draft: a.Draft, Since: a.Since}
	}
	return out
}

// closeDraft records what is left of a published draft's acts, then the
// publish, and removes the draft.
func (s *Store) closeDraft(ctx context.Context, r *publication.Record) error {
	d, version, err := s.draft(ctx, r.Draft)
	gone := errors.Is(err, ErrNoDraft)
	if err != nil && !gone {
		return err
	}
	acts := append(d.Acts[d.Recorded:len(d.Acts):len(d.Acts)], r.Act)
	if err := s.log.Append(ctx, pending(acts...)...); err != nil {
		return err
	}
	if gone {
		return nil
	}
	return s.remove(ctx, r.Draft, version)
}

func (s *Store) settleObject(ctx context.Context, o store.Object) error {
	var d publication.Draft
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return errors.Wrapf(err, "draft %s", o.Key)
	}
	return s.settleDraft(ctx, d, o.Version)
}

// settleDraft records the acts of a draft that are not known to stand in the
// trail, and removes a retired draft.
func (s *Store) settleDraft(ctx context.Context, d publication.Draft, version store.Version) error {
	if d.Recorded < len(d.Acts) {
		if err := s.log.Append(ctx, pending(d.Acts[d.Recorded:]...)...); err != nil {
			return err
		}
	}
	if d.State == publication.StateRetired {
		return s.remove(ctx, d.ID, version)
	}
	if d.Recorded == len(d.Acts) {
		return nil
	}
	d.Recorded = len(d.Acts)
	value, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode draft")
	}
	_, err = s.platform.Put(ctx, store.PurposeProfile, DraftPrefix+d.ID, value, version)
	if errors.Is(err, store.ErrNoAnswer) {
		// The mark only saves the next command some reads.
		return nil
	}
	return ignoreRace(err)
}

// remove deletes a draft whose acts are recorded. Whoever changed it meanwhile
// settles it. A lost answer is resolved by deleting the same version again: it
// is gone, or goes now, and a later draft has another version.
func (s *Store) remove(ctx context.Context, id string, version store.Version) error {
	for {
		err := s.platform.Delete(ctx, store.PurposeProfile, DraftPrefix+id, version)
		if !errors.Is(err, store.ErrNoAnswer) {
			return ignoreRace(err)
		}
		if !wait.For(ctx, s.pause) {
			return err
		}
	}
}

// ignoreRace forgives that another command was first.
func ignoreRace(err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
