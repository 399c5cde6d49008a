// Package readback makes a conditional update whose answer may be lost, and determines with certainty
// whether the update took effect, as long as the store can be read. Begin with Put.
//
// A lost answer is resolved by reading the object, never by an unconditional write. There are three
// cases:
//
//   - The object contains this update: Won.
//   - The object has changed and does not contain this update: Lost. The result contains the object.
//   - The object is unchanged: the update was lost on the way to the store or has not yet been
//     applied, because a slow store may apply an update after its caller has timed out. The same
//     update, conditional on the same version, is then sent again. This is safe because each update
//     gives the object a new version, so that at most one of the two takes effect.
package readback

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/store"
)

// Outcome is the outcome of an update.
type Outcome uint8

const (
	// Unknown means that the update may have taken effect or may still do so: the store did not
	// answer until the context ended.
	Unknown Outcome = iota
	// Won means that the update took effect.
	Won
	// Lost means that another change came first and the update never takes effect.
	Lost
	// NotSent means that the update failed and had no effect.
	NotSent
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Won:
		return "won"
	case Lost:
		return "lost"
	case NotSent:
		return "not-sent"
	default:
		return "unknown"
	}
}

// DefaultPause is the time between two read-backs when Write.Pause is zero.
const DefaultPause = 50 * time.Millisecond

// Write is one conditional update.
type Write struct {
	Purpose store.Purpose
	Key     string
	Value   []byte
	Expect  store.Version
	// IsOwn reports whether an object whose version is no longer Expect contains this update. If it
	// is nil, whole values are compared, which distinguishes two writers only if their values differ,
	// and does not find an update that has since been overwritten.
	IsOwn func(store.Object) bool
	// Pause is the time between two read-backs.
	Pause time.Duration
}

// Result is the result of a Write.
type Result struct {
	Outcome Outcome
	// Current is the last known state of the object. For Won, it contains this update, possibly with
	// later changes. For Lost, it contains the change that came first, or has Version 0 if the
	// object was deleted.
	Current store.Object
	// ReadBack reports whether an answer or a read failed before the outcome was determined.
	ReadBack bool
}

// Put makes the update and resolves a lost answer. The error is nil for Won and Lost. For NotSent and
// Unknown, it is the last error of the store. Other errors, such as that of a value that is too large,
// have the outcome NotSent.
func Put(ctx context.Context, s store.Store, w Write) (Result, error) {
	if w.Pause <= 0 {
		w.Pause = DefaultPause
	}
	var r Result
	for {
		done, err := attempt(ctx, s, w, &r)
		if done {
			return r, err
		}
		if !wait.For(ctx, w.Pause) {
			r.Outcome = Unknown
			return r, errors.WithMessagef(err, "read back %s", w.Key)
		}
	}
}

// attempt sends the update once and, if the outcome is in doubt, reads the object back once. It
// reports whether the outcome is determined.
func attempt(ctx context.Context, s store.Store, w Write, r *Result) (bool, error) {
	version, err := s.Put(ctx, w.Purpose, w.Key, w.Value, w.Expect)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.Outcome = Won
		r.Current = store.Object{Key: w.Key, Version: version, Value: w.Value}
		return true, nil
	case errors.As(err, &conflict):
		return readBack(ctx, s, w, r)
	case errors.Is(err, store.ErrNoAnswer):
		r.ReadBack = true
		return readBack(ctx, s, w, r)
	case r.ReadBack:
		// The store refused this request, but an earlier one may have taken effect.
		return readBack(ctx, s, w, r)
	default:
		r.Outcome = NotSent
		return true, err
	}
}

// readBack reads the object and determines the outcome, unless the object is unchanged.
func readBack(ctx context.Context, s store.Store, w Write, r *Result) (bool, error) {
	o, err := s.Get(ctx, w.Purpose, w.Key)
	if errors.Is(err, store.ErrNotFound) {
		o, err = store.Object{Key: w.Key}, nil
	}
	if err != nil {
		// A conflict is an answer, but the object must still be read to determine which change came
		// first.
		r.ReadBack = true
		return false, err
	}
	if o.Version == w.Expect {
		return false, store.ErrNoAnswer
	}
	r.Current = o
	r.Outcome = Lost
	if o.Version != 0 && w.contains(o) {
		r.Outcome = Won
	}
	return true, nil
}

// contains reports whether o contains this update.
func (w Write) contains(o store.Object) bool {
	if w.IsOwn != nil {
		return w.IsOwn(o)
	}
	return bytes.Equal(o.Value, w.Value)
}
