package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	auditlog "endivemoor.example/endivemoor/audit/log"
	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/diff"
	"endivemoor.example/endivemoor/profile/inifile"
	"endivemoor.example/endivemoor/publication"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/readback"
)

// Keys of the objects.
const (
	CurrentKey  = "profiles/current"
	DraftPrefix = "profiles/drafts/"
	SetPrefix   = "profiles/sets/"
)

const idBytes = 6

// ErrNoDraft reports that no open draft has the ID.
var ErrNoDraft = errors.New("no such open draft")

// UnknownError reports that a change was sent and the store stopped answering, so that the change may
// have taken effect. Reading the draft or the status later resolves the doubt.
type UnknownError struct {
	What  string
	Cause error
}

// Error names the change and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether %s took effect: %v", e.What, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Store holds drafts and records.
type Store struct {
	platform store.Store
	log      *auditlog.Log
	now      func() time.Time
	pause    time.Duration
	newID    func() string
	// guards is set by tests only, to disable guards.
	guards guard.Set
}

// Guards that a test can disable.
const (
	// GuardReadBack determines, by the audit entry that the object carries, the outcome of an update
	// whose answer was lost.
	GuardReadBack guard.Name = "publication/read-back"
	// GuardSettle settles a record before the next one replaces it.
	GuardSettle guard.Name = "publication/settle-before-replace"
	// GuardArchiveLast archives a record, which marks it as settled, only after its audit entry is
	// recorded.
	GuardArchiveLast guard.Name = "publication/archive-last"
	// GuardOvertaken distinguishes a publish that won and was replaced from one that lost.
	GuardOvertaken guard.Name = "publication/overtaken"
	// GuardRecover completes, at the start of each command, what an interrupted one left undone.
	GuardRecover guard.Name = "publication/recover"
)

// New returns a Store on the platform's object store. now returns the wall-clock time.
func New(p store.Store, now func() time.Time) *Store {
	return &Store{platform: p, log: auditlog.New(p), now: now, pause: readback.DefaultPause, newID: NewID}
}

// WithPause returns a copy of the store that pauses for d between retries.
func (s *Store) WithPause(d time.Duration) *Store {
	next := *s
	next.log, next.pause = s.log.WithPause(d), d
	return &next
}

// WithIDs returns a copy of the store that takes its IDs from newID, which must not repeat them.
func (s *Store) WithIDs(newID func() string) *Store {
	next := *s
	next.newID = newID
	return &next
}

// Compile parses a record's text into a profile.Set. It returns nil for a nil record.
func Compile(r *publication.Record) (*profile.Set, error) {
	if r == nil {
		return nil, nil
	}
	name := fmt.Sprintf("%s%d", SetPrefix, r.Generation)
	set, findings := inifile.Parse(name, []byte(r.Text))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	set.Generation = r.Generation
	return set, nil
}

// Current returns the record in force, or nil before the first publish.
func (s *Store) Current(ctx context.Context) (*publication.Record, error) {
	r, _, err := s.current(ctx)
	return r, err
}

func (s *Store) current(ctx context.Context) (*publication.Record, store.Version, error) {
	o, err := s.platform.Get(ctx, store.PurposeProfile, CurrentKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := publication.Decode(o.Value)
	return r, o.Version, err
}

// Set returns the archived record of a generation, or nil if there is none.
func (s *Store) Set(ctx context.Context, g profile.Generation) (*publication.Record, error) {
	o, err := s.platform.Get(ctx, store.PurposeProfile, setKey(g))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return publication.Decode(o.Value)
}

func setKey(g profile.Generation) string { return fmt.Sprintf("%s%010d", SetPrefix, g) }

// History returns up to n records, newest first.
func (s *Store) History(ctx context.Context, n int) ([]*publication.Record, error) {
	r, err := s.Current(ctx)
	var out []*publication.Record
	for r != nil && err == nil && len(out) < n {
		out = append(out, r)
		if r.Replaced.Generation == 0 {
			break
		}
		r, err = s.Set(ctx, r.Replaced.Generation)
	}
	return out, err
}

// Drafts returns the open drafts.
func (s *Store) Drafts(ctx context.Context) ([]publication.Draft, error) {
	objects, err := s.platform.List(ctx, store.PurposeProfile, DraftPrefix)
	if err != nil {
		return nil, err
	}
	drafts := make([]publication.Draft, len(objects))
	for i, o := range objects {
		if err := json.Unmarshal(o.Value, &drafts[i]); err != nil {
			return nil, errors.Wrapf(err, "draft %s", o.Key)
		}
	}
	return drafts, nil
}

// Draft returns one open draft.
func (s *Store) Draft(ctx context.Context, id string) (publication.Draft, error) {
	d, _, err := s.draft(ctx, id)
	return d, err
}

func (s *Store) draft(ctx context.Context, id string) (publication.Draft, store.Version, error) {
	var d publication.Draft
	o, err := s.platform.Get(ctx, store.PurposeProfile, DraftPrefix+id)
	if errors.Is(err, store.ErrNotFound) {
		return d, 0, errors.WithMessagef(ErrNoDraft, "draft %s", id)
	}
	if err != nil {
		return d, 0, err
	}
	err = json.Unmarshal(o.Value, &d)
	return d, o.Version, errors.Wrapf(err, "draft %s", id)
}

// Changes returns the changes from the record in force to the text, and the findings of the text.
func (s *Store) Changes(ctx context.Context, file string, text []byte) ([]diff.Change, finding.Findings, error) {
	current, err := s.Current(ctx)
	if err != nil {
		return nil, nil, err
	}
	next, findings := inifile.Parse(file, text)
	if next == nil {
		return nil, findings, nil
	}
	changes, err := changesTo(current, next)
	return changes, findings, err
}

func changesTo(current *publication.Record, next *profile.Set) ([]diff.Change, error) {
	before, err := Compile(current)
	if err != nil {
		return nil, err
	}
	return diff.Sets(before, next), nil
}

// NewID returns a random ID for a draft or an audit entry.
func NewID() string {
	var b [idBytes]byte
	// rand.Read never returns an error: it crashes the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
