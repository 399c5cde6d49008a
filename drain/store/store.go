// Package store keeps the operators' drain marks in the platform's object store. An object
// "drains/<target>" means that the target takes no new work. Daemons watch the prefix and need only
// the presence of a mark. Begin with Store; the drain itself is in package drain.
//
// A mark contains the audit entry of its last change. To end a drain, a command first writes the
// audit entry into the mark, which is the update that takes effect, then appends the entry to the
// audit trail and deletes the mark. If a command is killed in between, the next one completes its
// work, because each command begins with Recover.
package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/readback"
	"endivemoor.example/endivemoor/target"
)

// Prefix is the prefix of the marks' keys.
const Prefix = "drains/"

const idBytes = 6

// Mark is the value of "drains/<target>".
type Mark struct {
	Target target.ID `json:"target"`
	Since  time.Time `json:"since"`
	// GraceMS is how long work in flight at the target may continue, in milliseconds.
	GraceMS int64  `json:"grace_ms"`
	Reason  string `json:"reason"`
	Actor   string `json:"actor"`
	// Ending marks are deleted as soon as their audit entry is recorded.
	Ending bool `json:"ending,omitempty"`
	// Entry is the audit entry of the last change of this mark.
	Entry auditlog.Pending `json:"act"`
	// Recorded reports whether the entry is known to be in the audit trail.
	Recorded bool `json:"recorded"`
}

// StateError reports that a drain was refused because the target is already draining, or that the end
// of a drain was refused because the target is not draining.
type StateError struct {
	Target target.ID
	// Present is the target's mark, or nil if there is none.
	Present *Mark
}

// Error names the target and, if it has a mark, the mark's time, actor and reason.
func (e *StateError) Error() string {
	if e.Present == nil {
		return "target " + string(e.Target) + " is not draining"
	}
	m := e.Present
	return "target " + string(e.Target) + " drains since " + m.Since.Format(time.RFC3339) + " by " + m.Actor + ": " + m.Reason
}

// UnknownError reports that the store stopped answering, so that the mark may have changed.
type UnknownError struct {
	Target target.ID
	Cause  error
}

// Error names the target and the cause.
func (e *UnknownError) Error() string {
	return "it is not known whether the drain of " + string(e.Target) + " changed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Store writes marks.
type Store struct {
	platform store.Store
	log      *auditlog.Log
	now      func() time.Time
	pause    time.Duration
}

// New returns a Store on the platform's object store. now returns the wall-clock time.
func New(p store.Store, now func() time.Time) *Store {
	return &Store{platform: p, log: auditlog.New(p), now: now, pause: readback.DefaultPause}
}

// Request is an operator's request to drain a target or to end its drain.
type Request struct {
	Target target.ID
	Actor  string
	Reason string
	// Grace is how long work in flight at the target may continue; for Drain only.
	Grace time.Duration
}

// Drain marks the target as draining.
func (s *Store) Drain(ctx context.Context, r Request) (Mark, error) {
	present, version, err := s.begin(ctx, r.Target)
	if err != nil {
		return Mark{}, err
	}
	if present != nil {
		return Mark{}, &StateError{Target: r.Target, Present: present}
	}
	entry, err := s.newEntry(ctx, r, audit.TargetDrained, "serving", "draining "+r.Grace.String())
	if err != nil {
		return Mark{}, err
	}
	m := Mark{Target: r.Target, Since: entry.Time, GraceMS: r.Grace.Milliseconds(), Reason: r.Reason, Actor: r.Actor, Entry: entry}
	return m, s.write(ctx, m, version)
}

// Undrain ends the drain of the target.
func (s *Store) Undrain(ctx context.Context, r Request) (Mark, error) {
	present, version, err := s.begin(ctx, r.Target)
	if err != nil {
		return Mark{}, err
	}
	if present == nil {
		return Mark{}, &StateError{Target: r.Target}
	}
	entry, err := s.newEntry(ctx, r, audit.TargetUndrained, "draining since "+present.Since.Format(time.RFC3339), "serving")
	if err != nil {
		return Mark{}, err
	}
	m := *present
	m.Ending, m.Entry, m.Recorded = true, entry, false
	return m, s.write(ctx, m, version)
}

// Marks returns the marks in the store.
func (s *Store) Marks(ctx context.Context) ([]Mark, error) {
	objects, err := s.platform.List(ctx, store.PurposeDrain, Prefix)
	if err != nil {
		return nil, err
	}
	marks := make([]Mark, len(objects))
	for i, o := range objects {
		if err := json.Unmarshal(o.Value, &marks[i]); err != nil {
			return nil, errors.Wrapf(err, "mark %s", o.Key)
		}
	}
	return marks, nil
}

// Recover records the audit entries that killed commands did not record, and deletes ended marks.
func (s *Store) Recover(ctx context.Context) error {
	objects, err := s.platform.List(ctx, store.PurposeDrain, Prefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if err := s.settle(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// begin recovers and returns the target's mark with its version, or nil if there is none.
func (s *Store) begin(ctx context.Context, id target.ID) (*Mark, store.Version, error) {
	if err := s.Recover(ctx); err != nil {
		return nil, 0, err
	}
	o, err := s.platform.Get(ctx, store.PurposeDrain, Prefix+string(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	m := &Mark{}
	return m, o.Version, errors.Wrapf(json.Unmarshal(o.Value, m), "mark %s", o.Key)
}

func (s *Store) newEntry(ctx context.Context, r Request, action audit.Action, from, to string) (auditlog.Pending, error) {
	since, err := s.log.Last(ctx)
	var id [idBytes]byte
	_, _ = rand.Read(id[:])
	return auditlog.Pending{Draft: audit.Draft{
		ID: hex.EncodeToString(id[:]), Time: s.now().UTC(), Actor: r.Actor, Action: action,
		Reason: r.Reason, Subject: "targets/" + string(r.Target), From: from, To: to,
	}, Since: since}, err
}

// write makes the conditional update by which the request takes effect, and then settles the mark.
// Errors in settling are ignored because the next command settles the mark.
func (s *Store) write(ctx context.Context, m Mark, expect store.Version) error {
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode mark")
	}
	r, err := readback.Put(ctx, s.platform, readback.Write{
		Purpose: store.PurposeDrain, Key: Prefix + string(m.Target), Value: value, Expect: expect, Pause: s.pause,
		IsOwn: func(o store.Object) bool {
			var present Mark
			return json.Unmarshal(o.Value, &present) == nil && present.Entry.ID == m.Entry.ID
		},
	})
	switch r.Outcome {
	case readback.Won:
		_ = s.settle(ctx, r.Current)
		return nil
	case readback.Lost:
		return s.resolveLost(ctx, m, r.Current)
	case readback.Unknown:
		return &UnknownError{Target: m.Target, Cause: err}
	default:
		return err
	}
}

// resolveLost distinguishes a request that lost a race from one that took effect, and whose mark
// another command settled or ended before the lost answer could be read back. The entry of the latter
// is in the audit trail, because no command changes a mark before its entry is recorded.
func (s *Store) resolveLost(ctx context.Context, m Mark, seen store.Object) error {
	recorded, err := s.log.Has(ctx, m.Entry)
	if err != nil {
		return &UnknownError{Target: m.Target, Cause: err}
	}
	if recorded {
		return nil
	}
	var present *Mark
	if seen.Version != 0 {
		present = &Mark{}
		if err := json.Unmarshal(seen.Value, present); err != nil {
			return errors.Wrapf(err, "mark %s", seen.Key)
		}
	}
	return &StateError{Target: m.Target, Present: present}
}

// settle records the audit entry of the mark in o. It then deletes an ending mark, and sets Recorded in
// any other.
func (s *Store) settle(ctx context.Context, o store.Object) error {
	var m Mark
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return errors.Wrapf(err, "mark %s", o.Key)
	}
	if m.Recorded && !m.Ending {
		return nil
	}
	if m.Entry.ID != "" && !m.Recorded {
		if err := s.log.Append(ctx, m.Entry); err != nil {
			return err
		}
	}
	if m.Ending {
		return s.remove(ctx, o)
	}
	m.Recorded = true
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode mark")
	}
	_, err = s.platform.Put(ctx, store.PurposeDrain, o.Key, value, o.Version)
	return ignoreRace(err)
}

// remove deletes an ended mark. A lost answer is resolved by deleting the same version again.
func (s *Store) remove(ctx context.Context, o store.Object) error {
	for {
		err := s.platform.Delete(ctx, store.PurposeDrain, o.Key, o.Version)
		if !errors.Is(err, store.ErrNoAnswer) {
			return ignoreRace(err)
		}
		if !wait.For(ctx, s.pause) {
			return err
		}
	}
}

// ignoreRace returns nil for an error which shows that another command settled the same mark, and for
// a lost answer, because Recorded only saves reads.
func ignoreRace(err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrNoAnswer) {
		return nil
	}
	return err
}
