package scenario

import (
	"time"

	"endivemoor.example/endivemoor/store"
)

// fakeStore is a fake of the platform's object API, with faults.
type fakeStore struct {
	*node
	objects     map[string]store.Object
	lastVersion store.Version
	down        bool
	slow        time.Duration
	// loseAnswers is how many answers to writes are still to be lost after the write took effect.
	loseAnswers int
	effects     map[string]int
}

func (w *World) addStore() *fakeStore {
	w.store = &fakeStore{node: w.addNode("store"), objects: make(map[string]store.Object), effects: w.effects}
	return w.store
}

func (s *fakeStore) get(key string) (store.Object, error) {
	if s.down {
		s.effects[effectDown]++
		return store.Object{}, store.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return store.Object{Key: key}, store.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) put(key string, value []byte, expect store.Version) (store.Version, error) {
	if s.down {
		s.effects[effectDown]++
		return 0, store.ErrUnavailable
	}
	if current := s.objects[key].Version; current != expect {
		return 0, &store.ConflictError{Key: key, Current: current}
	}
	s.lastVersion++
	s.objects[key] = store.Object{Key: key, Version: s.lastVersion, Value: value}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		s.effects[effectLost]++
		return 0, store.ErrNoAnswer
	}
	return s.lastVersion, nil
}

// getFrom reads an object over the network.
func (w *World) getFrom(from *node, key string, done func(store.Object, error)) {
	w.storeCall(from, func() func() {
		o, err := w.store.get(key)
		return func() { done(o, err) }
	})
}

// putFrom writes an object over the network.
func (w *World) putFrom(from *node, key string, value []byte, expect store.Version, done func(store.Version, error)) {
	w.storeCall(from, func() func() {
		v, err := w.store.put(key, value, expect)
		if err == store.ErrNoAnswer {
			return nil
		}
		return func() { done(v, err) }
	})
}

// storeCall calls the store, after a delay when the store is slow.
func (w *World) storeCall(from *node, handle func() func()) {
	epoch := from.epoch
	if w.store.slow > 0 {
		w.effects[effectSlow]++
	}
	w.at(w.now.Add(w.store.slow), func() {
		if from.up && from.epoch == epoch {
			w.call(from, w.store.node, handle, func() {})
		}
	})
}
