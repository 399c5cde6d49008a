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
	// pause is the time between two read-backs, and the time before another try after a conflicting
	// write.
	pause time.Duration
	// guards are disabled only by tests.
	guards guard.Set
}

// Guards that a test may disable.
const (
	// GuardActID searches for an act by its ID before it is written.
	GuardActID guard.Name = "audit/act-id"
	// GuardReadBack determines by the acts' IDs whether an append whose answer was lost took effect.
	GuardReadBack guard.Name = "audit/read-back"
)

// New returns a log in the store.
func New(s store.Store) *Log { return &Log{store: s, pause: readback.DefaultPause} }

// WithPause returns a copy of the log with another pause between tries.
func (l *Log) WithPause(d time.Duration) *Log {
	next := *l
	next.pause = d
	return &next
}

// Pending is an act to be recorded, possibly by another command than the one that prepared it.
type Pending struct {
	audit.Draft
	// Since is the segment that was the last one when the act was prepared; no earlier segment
	// contains the act.
	Since int `json:"since"`
}

// Last returns the number of the segment that the next append goes to.
func (l *Log) Last(ctx context.Context) (int, error) {
	s, _, err := l.open(ctx)
	return s.Number, err
}

// UnknownError reports that the store stopped answering after an append was sent, so that the
// entries may or may not be in the trail. The caller must check again, with the same IDs.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string { return "audit entry may have been written: " + e.Cause.Error() }

func (e *UnknownError) Unwrap() error { return e.Cause }

// Append records those of the acts that the trail does not contain yet. It tries until the outcome
// is certain or ctx ends. A nil error means that the trail contains each act once. An *UnknownError
// means that it may contain some of them. Any other error means that this call added none since the
// last outcome that was certain.
func (l *Log) Append(ctx context.Context, acts ...Pending) error {
	left := acts
	for len(left) > 0 {
		n := batchLen(left)
		if err := l.appendBatch(ctx, left[:n]); err != nil {
			return err
		}
		left = left[n:]
	}
	return nil
}

// batchLen returns the number of acts that fit in one append, at least one.
func batchLen(acts []Pending) int {
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
			l.updateHeadHint(ctx, last)
			return nil
		case readback.Unknown:
			return &UnknownError{Cause: err}
		case readback.NotSent:
			return err
		}
		// Lost: another writer was first. Append after its entries.
		if !wait.For(ctx, l.pause) {
			return errors.WithMessage(store.ErrUnavailable, "other writers were first until the time ran out")
		}
	}
}

// extend returns the segment's entries with the acts chained behind head, or nil if there are no
// acts.
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
		// A later writer only adds to the segment, so the write took effect if the segment contains
		// its entries. They are compared by ID, because a concurrent command may have recorded the
		// same act.
		IsOwn: func(o store.Object) bool {
			s, err := decode(o, last.Number)
			return err == nil && s.hasAll(entries[len(last.Entries):]) && !l.guards.Disabled(GuardReadBack)
		},
	})
}

// updateHeadHint moves the hint after a new segment was started. It ignores errors, because an
// outdated hint only costs reads.
func (l *Log) updateHeadHint(ctx context.Context, last stored) {
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
