package log

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/store"
)

// Object keys of the trail.
const (
	SegmentPrefix = "audit/segments/"
	HeadKey       = "audit/head"
)

// SegmentBytes is the size at which a segment is full. It is far below store.MaxValue, because each
// append rewrites the whole segment.
const SegmentBytes = 48 << 10

// batchBytes limits one append, so that a segment stays below store.MaxValue even after the append
// that fills it.
const batchBytes = 256 << 10

const firstSegment = 1

// segment is the value of a segment's object.
type segment struct {
	Number  int           `json:"number"`
	Entries []audit.Entry `json:"entries"`
}

// stored is a segment as read from the store. Its version is 0 if it does not exist yet.
type stored struct {
	segment
	version store.Version
	size    int
}

func segmentKey(number int) string { return fmt.Sprintf("%s%08d", SegmentPrefix, number) }

func (s stored) isFull() bool { return s.size >= SegmentBytes }

func (s stored) has(id string) bool {
	return slices.ContainsFunc(s.Entries, func(e audit.Entry) bool { return e.ID == id })
}

func (s stored) hasAll(entries []audit.Entry) bool {
	return !slices.ContainsFunc(entries, func(e audit.Entry) bool { return !s.has(e.ID) })
}

func (s stored) head() audit.Head { return s.Entries[len(s.Entries)-1].Head() }

func decode(o store.Object, number int) (stored, error) {
	s := stored{version: o.Version, size: len(o.Value)}
	if err := json.Unmarshal(o.Value, &s.segment); err != nil {
		return s, errors.Wrapf(err, "audit segment %d", number)
	}
	if s.Number != number || len(s.Entries) == 0 {
		return s, errors.Errorf("audit segment %d is damaged: it says number %d with %d entries", number, s.Number, len(s.Entries))
	}
	return s, nil
}

// hint is the value of HeadKey.
type hint struct {
	Segment int `json:"segment"`
}
