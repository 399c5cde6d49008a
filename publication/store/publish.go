package store

import (
	"context"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/readback"
)

// Published is an accepted publish. Settled is false if its audit entry is not yet recorded in the
// audit trail; the next command then records it.
type Published struct {
	Record  *publication.Record `json:"record"`
	Settled bool                `json:"settled"`
}

// Publish puts a reviewed draft in force by one conditional update. The error is nil if and only if
// the publish was accepted. A *publication.RefusedError names the winner of a race, an *UnknownError
// reports that the store stopped answering, and any other error means that nothing was changed.
func (s *Store) Publish(ctx context.Context, by Attribution, id string) (Published, error) {
	step, _, err := s.begin(ctx, by)
	if err != nil {
		return Published{}, err
	}
	d, _, err := s.draft(ctx, id)
	if err != nil {
		return Published{}, err
	}
	// The record is read again after Recover, so that the settled record is the one that the update
	// replaces.
	current, version, err := s.current(ctx)
	if err != nil {
		return Published{}, err
	}
	if !s.guards.Disabled(GuardSettle) {
		if err := s.settle(ctx, current); err != nil {
			return Published{}, err
		}
	}
	next, err := d.Publish(step, current)
	if err != nil {
		return Published{}, err
	}
	if err := s.replace(ctx, next, version); err != nil {
		return Published{}, err
	}
	return Published{Record: next, Settled: s.settle(ctx, next) == nil}, nil
}

// replace makes the conditional update of profiles/current by which the publish takes effect.
func (s *Store) replace(ctx context.Context, next *publication.Record, expect store.Version) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	r, err := readback.Put(ctx, s.platform, readback.Write{
		Purpose: store.PurposeProfile, Key: CurrentKey, Value: value, Expect: expect, Pause: s.pause,
		IsOwn: func(o store.Object) bool { return isRecord(o, next) && !s.guards.Disabled(GuardReadBack) },
	})
	switch r.Outcome {
	case readback.Won:
		return nil
	case readback.Lost:
		return s.resolveLost(ctx, next, r.Current)
	case readback.Unknown:
		return &UnknownError{What: "the publish", Cause: err}
	default:
		return err
	}
}

func isRecord(o store.Object, next *publication.Record) bool {
	r, err := publication.Decode(o.Value)
	return err == nil && r.Entry.ID == next.Entry.ID
}

// resolveLost distinguishes a publish that lost from one that won, lost its answer and was replaced
// by the next publish before it could be read back. It looks for the record in the archive, because
// every publish archives the record in force before replacing it.
//
// Failure guarded against: the operator receives "refused" for a set that was in force.
func (s *Store) resolveLost(ctx context.Context, next *publication.Record, seen store.Object) error {
	winner, err := publication.Decode(seen.Value)
	if err != nil {
		return err
	}
	for winner.Generation > next.Generation && !s.guards.Disabled(GuardOvertaken) {
		archived, err := s.Set(ctx, next.Generation)
		switch {
		case err == nil && archived != nil && archived.Entry.ID == next.Entry.ID:
			return nil
		case err == nil:
			return publication.Superseded(winner, "another publish came first")
		case !wait.For(ctx, s.pause):
			return &UnknownError{What: "the publish", Cause: err}
		}
	}
	return publication.Superseded(winner, "another publish came first")
}

// Recover completes the work of commands that were killed between a change and the recording of its
// audit entry. It is idempotent and may run concurrently with other calls.
func (s *Store) Recover(ctx context.Context) error {
	current, err := s.Current(ctx)
	if err != nil {
		return err
	}
	if err := s.settle(ctx, current); err != nil {
		return err
	}
	objects, err := s.platform.List(ctx, store.PurposeProfile, DraftPrefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if err := s.settleObject(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// settle records the audit entries of the draft and of the publish, removes the draft and finally
// archives the record. A record in the archive is therefore settled.
func (s *Store) settle(ctx context.Context, r *publication.Record) error {
	if r == nil {
		return nil
	}
	archived, err := s.Set(ctx, r.Generation)
	if err != nil || archived != nil {
		return err
	}
	if s.guards.Disabled(GuardArchiveLast) {
		if err := s.archive(ctx, r); err != nil {
			return err
		}
	}
	if err := s.closeDraft(ctx, r); err != nil {
		return err
	}
	return s.archive(ctx, r)
}

func (s *Store) archive(ctx context.Context, r *publication.Record) error {
	value, err := r.Encode()
	if err != nil {
		return err
	}
	result, err := readback.Put(ctx, s.platform, readback.Write{
		Purpose: store.PurposeProfile, Key: setKey(r.Generation), Value: value, Pause: s.pause,
		IsOwn: func(o store.Object) bool { return isRecord(o, r) },
	})
	if result.Outcome == readback.Lost {
		return errors.Errorf("profile generation %d is archived with another content", r.Generation)
	}
	return err
}
