// Package readback makes a conditional update whose answer may be lost, and
// says for certain whether it won, as far as the store can be asked.
//
// A lost answer is resolved by reading the object, never by writing blindly.
// Three things may be seen. The object carries our change: won. It carries
// another's and not ours: lost, and the reader learns to whom. It is as it was
// before: the change was lost on the way or still is on its way, for a slow
// store applies late what its caller gave up on. Then the very same update,
// conditional on the same version, is sent again. That is safe because each
// update gives the object a new version: of the two at most one takes effect.
package readback

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/store"
)

// Outcome is what became of an update.
type Outcome uint8

const (
	// Unknown means the update may have taken effect, or may still: the store
	// did not answer until the context ended.
	Unknown Outcome = iota
	// Won means the update took effect.
	Won
	// Lost means another change came first and ours never takes effect.
	Lost
	// NotSent means the store refused the update before any effect.
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
	// Mine reports whether an object that has moved on from Expect carries this
	// update. Nil compares whole values, which tells two writers apart only if
	// their values differ, and misses an update that was overwritten since.
	Mine func(store.Object) bool
	// Pause is the time between two read-backs.
	Pause time.Duration
}

// Result of a Write.
type Result struct {
	Outcome Outcome
	// Current is the object as last seen. For Won it is this update or a later
	// one that still carries it; for Lost it is whose change came first, with
	// Version 0 if the object is gone.
	Current store.Object
	// ReadBack says that an answer was lost on the way to the outcome.
	ReadBack bool
}

// Put makes the update and resolves a lost answer. The error is nil for Won
// and Lost; for NotSent and Unknown it is why the store did not answer. Other
// errors, such as a value too large, are NotSent.
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

// attempt sends the update once and, if that leaves a doubt, reads back once.
func attempt(ctx context.Context, s store.Store, w Write, r *Result) (bool, error) {
	version, err := s.Put(ctx, w.Purpose, w.Key, w.Value, w.Expect)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.Outcome = Won
		r.Current = store.Object{Key: w.Key, Version: version, Value: w.Value}
		return true, nil
	case errors.As(err, &conflict):
		return settle(ctx, s, w, r)
	case errors.Is(err, store.ErrNoAnswer):
		r.ReadBack = true
		return settle(ctx, s, w, r)
	case r.ReadBack:
		// Refused now, but an earlier sending may have taken effect.
		return settle(ctx, s, w, r)
	default:
		r.Outcome = NotSent
		return true, err
	}
}

// settle reads the object and decides, unless it is as it was before.
func settle(ctx context.Context, s store.Store, w Write, r *Result) (bool, error) {
	o, err := s.Get(ctx, w.Purpose, w.Key)
	if errors.Is(err, store.ErrNotFound) {
		o, err = store.Object{Key: w.Key}, nil
	}
	if err != nil {
		// The conflict is an answer, but to whom it was lost must still be read.
		r.ReadBack = true
		return false, err
	}
	if o.Version == w.Expect {
		return false, store.ErrNoAnswer
	}
	r.Current = o
	r.Outcome = Lost
	if o.Version != 0 && w.mine(o) {
		r.Outcome = Won
	}
	return true, nil
}

func (w Write) mine(o store.Object) bool {
	if w.Mine != nil {
		return w.Mine(o)
	}
	return bytes.Equal(o.Value, w.Value)
}
