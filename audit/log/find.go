package log

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/store"
)

// search holds the acts that were not found in the trail so far, and the segment from which the
// search continues.
type search struct {
	remaining []Pending
	from      int
}

func newSearch(acts []Pending) *search {
	s := &search{remaining: acts, from: acts[0].Since}
	for _, a := range acts {
		s.from = min(s.from, a.Since)
	}
	s.from = max(s.from, firstSegment)
	return s
}

func (s *search) missing() []Pending { return s.remaining }

// drop removes the acts that the segment contains.
func (s *search) drop(in stored) {
	var left []Pending
	for _, a := range s.remaining {
		if !in.has(a.ID) {
			left = append(left, a)
		}
	}
	s.remaining = left
}

// find searches for the acts from the first segment that may contain them to the last one. It
// returns the last segment and the head of the trail, which is in that segment or in the one before
// it.
func (l *Log) find(ctx context.Context, s *search) (stored, audit.Head, error) {
	for {
		at, err := l.read(ctx, s.from)
		if err != nil {
			return at, audit.Head{}, err
		}
		if at.version == 0 {
			head, err := l.headBefore(ctx, s.from)
			return at, head, err
		}
		if !l.guards.Disabled(GuardActID) {
			s.drop(at)
		}
		if !at.isFull() {
			return at, at.head(), nil
		}
		s.from++
	}
}

// headBefore returns the head at the end of the segment before number.
func (l *Log) headBefore(ctx context.Context, number int) (audit.Head, error) {
	if number == firstSegment {
		return audit.Head{}, nil
	}
	before, err := l.read(ctx, number-1)
	if err != nil {
		return audit.Head{}, err
	}
	if before.version == 0 {
		return audit.Head{}, errors.Errorf("audit segment %d is missing", number-1)
	}
	return before.head(), nil
}

// open finds the segment that may be appended to, starting at the hint.
func (l *Log) open(ctx context.Context) (stored, audit.Head, error) {
	from, err := l.hint(ctx)
	if err != nil {
		return stored{}, audit.Head{}, err
	}
	return l.find(ctx, &search{from: from})
}

func (l *Log) hint(ctx context.Context) (int, error) {
	o, err := l.store.Get(ctx, store.PurposeAudit, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return firstSegment, nil
	}
	if err != nil {
		return 0, err
	}
	var h hint
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return 0, errors.Wrap(err, "audit head hint")
	}
	return max(h.Segment, firstSegment), nil
}

// read returns a segment, with version 0 if it does not exist.
func (l *Log) read(ctx context.Context, number int) (stored, error) {
	o, err := l.store.Get(ctx, store.PurposeAudit, segmentKey(number))
	if errors.Is(err, store.ErrNotFound) {
		return stored{segment: segment{Number: number}}, nil
	}
	if err != nil {
		return stored{}, err
	}
	return decode(o, number)
}

// Has reports whether the trail contains the act.
func (l *Log) Has(ctx context.Context, act Pending) (bool, error) {
	search := newSearch([]Pending{act})
	_, _, err := l.find(ctx, search)
	return len(search.missing()) == 0, err
}

// All returns the whole trail in order. A missing segment leaves a gap, which audit.Verify reports.
func (l *Log) All(ctx context.Context) ([]audit.Entry, error) {
	end, err := l.hint(ctx)
	if err != nil {
		return nil, err
	}
	var entries []audit.Entry
	for number := firstSegment; ; number++ {
		s, err := l.read(ctx, number)
		if err != nil {
			return entries, err
		}
		if s.version == 0 && number >= end {
			return entries, nil
		}
		entries = append(entries, s.Entries...)
	}
}

// Tail returns the last n entries in order.
func (l *Log) Tail(ctx context.Context, n int) ([]audit.Entry, error) {
	last, _, err := l.open(ctx)
	if err != nil {
		return nil, err
	}
	entries := last.Entries
	for number := last.Number - 1; number >= firstSegment && len(entries) < n; number-- {
		s, err := l.read(ctx, number)
		if err != nil {
			return nil, err
		}
		entries = append(s.Entries[:len(s.Entries):len(s.Entries)], entries...)
	}
	return entries[max(0, len(entries)-n):], nil
}
