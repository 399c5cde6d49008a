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

func pending(entries ...publication.PendingEntry) []auditlog.Pending {
	out := make([]auditlog.Pending, len(entries))
	for i, e := range entries {
		out[i] = auditlog.Pending{Draft: e.Draft, Since: e.Since}
	}
	return out
}

// closeDraft records the pending audit entries of a published draft, then the entry of the publish,
// and removes the draft.
func (s *Store) closeDraft(ctx context.Context, r *publication.Record) error {
	d, version, err := s.draft(ctx, r.Draft)
	removed := errors.Is(err, ErrNoDraft)
	if err != nil && !removed {
		return err
	}
	entries := append(d.Entries[d.Recorded:len(d.Entries):len(d.Entries)], r.Entry)
	if err := s.log.Append(ctx, pending(entries...)...); err != nil {
		return err
	}
	if removed {
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

// settleDraft records the audit entries of a draft that are not known to be in the audit trail, and
// removes a retired draft.
func (s *Store) settleDraft(ctx context.Context, d publication.Draft, version store.Version) error {
	if d.Recorded < len(d.Entries) {
		if err := s.log.Append(ctx, pending(d.Entries[d.Recorded:]...)...); err != nil {
			return err
		}
	}
	if d.State == publication.StateRetired {
		return s.remove(ctx, d.ID, version)
	}
	if d.Recorded == len(d.Entries) {
		return nil
	}
	d.Recorded = len(d.Entries)
	value, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode draft")
	}
	_, err = s.platform.Put(ctx, store.PurposeProfile, DraftPrefix+d.ID, value, version)
	if errors.Is(err, store.ErrNoAnswer) {
		// Recorded only saves the next command some reads, so its loss does no harm.
		return nil
	}
	return ignoreRace(err)
}

// remove deletes a draft whose audit entries are recorded. A command that changed the draft meanwhile
// settles it itself. A lost answer is resolved by deleting the same version again: the retry finds
// the draft absent or deletes it, and cannot delete a later draft, which has another version.
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

// ignoreRace returns nil for an error which shows that another command changed or removed the object
// first.
func ignoreRace(err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
