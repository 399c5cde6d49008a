// Package store keeps the operators' drain marks in the platform: an object
// "drains/<target>" says that the target takes no new work. Daemons watch the
// prefix; its presence is all that they need.
//
// A mark carries the audit entry of the act that wrote it. To end a drain, the
// act is first written into the mark, which decides; then it goes to the audit
// trail and the mark is deleted. A command that is killed in between is finished
// by Recover, with which each one begins.
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

// Prefix of the marks' keys.
const Prefix = "drains/"

const idBytes = 6

// Mark is the value of "drains/<target>".
type Mark struct {
	Target target.ID `json:"target"`
	Since  time.Time `json:"since"`
	// GraceMS is how long the target keeps the work it has, in milliseconds.
	GraceMS int64  `json:"grace_ms"`
	Reason  string `json:"reason"`
	Actor   string `json:"actor"`
	// Ending marks are deleted as soon as their act is recorded.
	Ending bool `json:"ending,omitempty"`
	// Act is the audit entry of the last change of this mark.
	Act auditlog.Pending `json:"act"`
	// Recorded says that the act stands in the audit trail.
	Recorded bool `json:"recorded"`
}

// StateError refuses a drain of a target that drains, and the end of a drain of
// one that does not.
type StateError struct {
	Target target.ID
	// Present is the mark that is there, nil if there is none.
	Present *Mark
}

// Error names who marked the target, when and why.
func (e *StateError) Error() string {
	if e.Present == nil {
		return "target " + string(e.Target) + " is not draining"
	}
	m := e.Present
	return "target " + string(e.Target) + " drains since " + m.Since.Format(time.RFC3339) + " by " + m.Actor + ": " + m.Reason
}

// UnknownError says that the store stopped answering: the mark may have
// changed.
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

// New returns a store in the platform. now gives the wall clock.
func New(p store.Store, now func() time.Time) *Store {
	return &Store{platform: p, log: auditlog.New(p), now: now, pause: readback.DefaultPause}
}

// Order is one operator's order about a target.
type Order struct {
	Target target.ID
	Actor  string
	Reason string
	// Grace is how long the target keeps the work it has; for Drain only.
	Grace time.Duration
}

// Drain marks the target.
func (s *Store) Drain(ctx context.Context, o Order) (Mark, error) {
	present, version, err := s.begin(ctx, o.Target)
	if err != nil {
		return Mark{}, err
	}
	if present != nil {
		return Mark{}, &StateError{Target: o.Target, Present: present}
	}
	act, err := s.act(ctx, o, audit.TargetDrained, "serving", "draining "+o.Grace.String())
	if err != nil {
		return Mark{}, err
	}
	m := Mark{Target: o.Target, Since: act.Time, GraceMS: o.Grace.Milliseconds(), Reason: o.Reason, Actor: o.Actor, Act: act}
	return m, s.write(ctx, m, version)
}

// Undrain ends the drain of the target.
func (s *Store) Undrain(ctx context.Context, o Order) (Mark, error) {
	present, version, err := s.begin(ctx, o.Target)
	if err != nil {
		return Mark{}, err
	}
	if present == nil {
		return Mark{}, &StateError{Target: o.Target}
	}
	act, err := s.act(ctx, o, audit.TargetUndrained, "draining since "+present.Since.Format(time.RFC3339), "serving")
	if err != nil {
		return Mark{}, err
	}
	m := *present
	m.Ending, m.Act, m.Recorded = true, act, false
	return m, s.write(ctx, m, version)
}

// Marks returns the present marks.
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

// Recover records the acts that killed commands left, and deletes ended marks.
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

func (s *Store) act(ctx context.Context, o Order, action audit.Action, from, to string) (auditlog.Pending, error) {
	since, err := s.log.Last(ctx)
	var id [idBytes]byte
	_, _ = rand.Read(id[:])
	return auditlog.Pending{Draft: audit.Draft{
		ID: hex.EncodeToString(id[:]), Time: s.now().UTC(), Actor: o.Actor, Action: action,
		Reason: o.Reason, Subject: "targets/" + string(o.Target), From: from, To: to,
	}, Since: since}, err
}

// write makes the update that decides, and then settles it. A store that fails
// only in settling does not fail the order: the next command settles it.
func (s *Store) write(ctx context.Context, m Mark, expect store.Version) error {
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode mark")
	}
	r, err := readback.Put(ctx, s.platform, readback.Write{
		Purpose: store.PurposeDrain, Key: Prefix + string(m.Target), Value: value, Expect: expect, Pause: s.pause,
		Mine: func(o store.Object) bool {
			var present Mark
			return json.Unmarshal(o.Value, &present) == nil && present.Act.ID == m.Act.ID
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

// resolveLost tells an order that lost a race from one that another command
// settled, or ended, before its lost answer could be read back: such an order
// stands in the audit trail, for nobody changes a mark before its act does.
func (s *Store) resolveLost(ctx context.Context, m Mark, seen store.Object) error {
	recorded, err := s.log.Has(ctx, m.Act)
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

func (s *Store) settle(ctx context.Context, o store.Object) error {
	var m Mark
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return errors.Wrapf(err, "mark %s", o.Key)
	}
	if m.Recorded && !m.Ending {
		return nil
	}
	if m.Act.ID != "" && !m.Recorded {
		if err := s.log.Append(ctx, m.Act); err != nil {
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

// remove deletes an ended mark. A lost answer is resolved by deleting the same
// version again.
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

// ignoreRace forgives that another command settled the same mark, and a lost
// answer: the mark of a recorded act only saves reads.
func ignoreRace(err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrNoAnswer) {
		return nil
	}
	return err
}
