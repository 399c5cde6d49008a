package log

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/readback"
)

// Log appends to the trail and reads it. It is safe for concurrent use.
type Log struct {
	store store.Store
	// pause is the time between two read-backs, and after a lost race.
	pause time.Duration
	// guards are taken out by tests only.
	guards guard.Set
}

// Guards that a test may take out.
const (
	// GuardActID looks for an act by its ID before it is written.
	GuardActID guard.Name = "audit/act-id"
	// GuardReadBack judges by the acts' IDs what became of an append whose
	// answer was lost.
	GuardReadBack guard.Name = "audit/read-back"
)

// New returns a log in the store.
func New(s store.Store) *Log { return &Log{store: s, pause: readback.DefaultPause} }

// WithPause returns the log with another pause between tries.
func (l *Log) WithPause(d time.Duration) *Log {
	next := *l
	next.pause = d
	return &next
}

// Pending is an act that is to be recorded, maybe by another command than the
// one that prepared it.
type Pending struct {
	audit.Draft
	// Since is the segment that was the last when the act was prepared: the
	// act is in none before it.
	Since int `json:"since"`
}

// Last returns the number of the segment that the next append goes to.
func (l *Log) Last(ctx context.Context) (int, error) {
	s, _, err := l.open(ctx)
	return s.Number, err
}

// UnknownError says that the store stopped answering after an append was sent:
// whether the entries stand in the trail must be asked again, with the same
// IDs.
type UnknownError struct{ Cause error }

// Error names the cause.
func (e *UnknownError) Error() string { return "audit entry may have been written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Append records the acts, those only that the trail does not hold yet. It
// tries until it has a certain answer or ctx ends. A nil error says that all
// stand in the trail once; *UnknownError that some may; any other error that
// none was added by this call since its last certain answer.
func (l *Log) Append(ctx context.Context, acts ...Pending) error {
	left := acts
	for len(left) > 0 {
		n := batch(left)
		if err := l.appendBatch(ctx, left[:n]); err != nil {
			return err
		}
		left = left[n:]
	}
	return nil
}

// batch returns how many acts fit one append, at least one.
func batch(acts []Pending) int {
	size := 0
	for i, a := range acts {
		text, _ := json.Marshal(a.Draft)
		size += len(text)
		if size > batchBytes && i > 0 {
			return i
		}
	}
	return len(acts)
}

func (l *Log) appendBatch(ctx context.Context, acts []Pending) error {
	search := newSearch(acts)
	for {
		last, head, err := l.find(ctx, search)
		if err != nil {
			return err
		}
		next := extend(last.segment, head, search.missing())
		if next == nil {
			return nil
		}
		result, err := l.write(ctx, last, next)
		switch result.Outcome {
		case readback.Won:
			l.noteHead(ctx, last)
			return nil
		case readback.Unknown:
			return &UnknownError{Cause: err}
		case readback.NotSent:
			return err
		}
		// Lost: another writer was first. Chain behind it.
		if !wait.For(ctx, l.pause) {
			return errors.WithMessage(store.ErrUnavailable, "other writers were first until the time ran out")
		}
	}
}

// extend returns the segment with the acts chained behind head; nil if there
// are none.
func extend(s segment, head audit.Head, acts []Pending) []audit.Entry {
	if len(acts) == 0 {
		return nil
	}
	entries := append([]audit.Entry(nil), s.Entries...)
	for _, a := range acts {
		e := audit.Next(head, a.Draft)
		entries = append(entries, e)
		head = e.Head()
	}
	return entries
}

func (l *Log) write(ctx context.Context, last stored, entries []audit.Entry) (readback.Result, error) {
	value, err := json.Marshal(segment{Number: last.Number, Entries: entries})
	if err != nil {
		return readback.Result{Outcome: readback.NotSent}, errors.Wrap(err, "encode audit segment")
	}
	return readback.Put(ctx, l.store, readback.Write{
		Purpose: store.PurposeAudit,
		Key:     segmentKey(last.Number),
		Value:   value,
		Expect:  last.version,
		Pause:   l.pause,
		// A later writer only adds to the segment, so our entries tell. They are
		// judged by ID: a racing command may have recorded the very same act.
		Mine: func(o store.Object) bool {
			s, err := decode(o, last.Number)
			return err == nil && s.hasAll(entries[len(last.Entries):]) && !l.guards.Out(GuardReadBack)
		},
	})
}

// noteHead moves the hint when a new segment was begun. It is best effort: a
// hint that lags costs reads, nothing else.
func (l *Log) noteHead(ctx context.Context, last stored) {
	if last.version != 0 {
		return
	}
	o, err := l.store.Get(ctx, store.PurposeAudit, HeadKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	value, err := json.Marshal(hint{Segment: last.Number})
	if err != nil {
		return
	}
	_, _ = l.store.Put(ctx, store.PurposeAudit, HeadKey, value, o.Version)
}
