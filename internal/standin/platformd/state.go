package platformd

import (
	"bytes"
	"slices"
	"strings"
	"sync"

	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/wire"
)

// firstRevision is not 0, since a watch from 0 asks for the present objects and
// would return at once for ever on an empty store.
const firstRevision = 1

type entry struct {
	object   store.Object
	revision int64
}

// state holds the objects. A deleted object stays as an entry of Version 0, so
// that watches learn of it.
type state struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]entry
	// changed is closed and replaced by every change.
	changed chan struct{}
}

func newState() *state {
	return &state{revision: firstRevision, entries: map[string]entry{}, changed: make(chan struct{})}
}

func (s *state) get(key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.object.Version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return e.object, nil
}

func (s *state) list(prefix string) []store.Object {
	objects, _, _ := s.since(prefix, 0)
	return objects
}

// since returns the changes below prefix after revision, the revision to go on
// from and a channel that the next change closes. A revision that the store
// has not reached was another store's: all present objects are returned.
func (s *state) since(prefix string, revision int64) ([]store.Object, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := revision == 0 || revision > s.revision
	var out []store.Object
	for key, e := range s.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if whole && e.object.Version != 0 || !whole && e.revision > revision {
			out = append(out, e.object)
		}
	}
	slices.SortFunc(out, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, s.changed
}

func (s *state) put(key string, value []byte, expect store.Version) (store.Version, error) {
	if len(value) > store.MaxValue {
		return 0, &wire.TooLargeError{Key: key, Size: len(value)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(key, expect); err != nil {
		return 0, err
	}
	next := store.Version(s.revision + 1)
	s.store(store.Object{Key: key, Version: next, Value: bytes.Clone(value)})
	return next, nil
}

func (s *state) remove(key string, expect store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].object.Version == 0 {
		return store.ErrNotFound
	}
	if err := s.check(key, expect); err != nil {
		return err
	}
	s.store(store.Object{Key: key})
	return nil
}

func (s *state) check(key string, expect store.Version) error {
	if current := s.entries[key].object.Version; current != expect {
		return &store.ConflictError{Key: key, Current: current}
	}
	return nil
}

func (s *state) store(o store.Object) {
	s.revision++
	s.entries[o.Key] = entry{object: o, revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}
