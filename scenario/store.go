package scenario

import (
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/store"
)

// fakeStore is a fake of the platform's object API, with faults. The versions that it holds are
// counts; answers have versions that combine the count with the store's era, as those of package
// store/client do.
type fakeStore struct {
	*node
	objects     map[string]store.Object
	lastVersion store.Version
	now         func() clock.Time
	writes      []storedWrite
	era         int64
	knownEras   map[process]int64
	down        bool
	slow        time.Duration
	// loseAnswers is how many answers to writes are still to be lost after the write took effect.
	loseAnswers int
	effects     map[string]int
}

// storedWrite is a write that took effect.
type storedWrite struct {
	at     clock.Time
	object store.Object
}

// process is one life of a node.
type process struct {
	name  string
	epoch int
}

func processOf(n *node) process { return process{n.name, n.epoch} }

func (w *World) addStore() *fakeStore {
	w.store = &fakeStore{
		node: w.addNode("store"), objects: make(map[string]store.Object),
		knownEras: make(map[process]int64), now: w.Now, effects: w.effects,
	}
	return w.store
}

// restore replaces the content by the copy that was made at the given time, and begins a new era.
func (s *fakeStore) restore(copied clock.Time) {
	writes := s.writes
	s.objects, s.writes, s.lastVersion = make(map[string]store.Object), nil, 0
	s.era++
	for _, wr := range writes {
		if wr.at.After(copied) {
			s.effects[effectRestored]++
			continue
		}
		s.writes = append(s.writes, wr)
		s.objects[wr.object.Key] = wr.object
		s.lastVersion = wr.object.Version
	}
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
	o.Version = s.versionOf(o.Version)
	return o, nil
}

func (s *fakeStore) versionOf(count store.Version) store.Version {
	return store.Version(catalog.RevisionOf(s.era, int64(count)))
}

// put compares counts only: a condition of an earlier era holds if the object has the same count by
// accident.
func (s *fakeStore) put(key string, value []byte, expect store.Version) (store.Version, error) {
	if s.down {
		s.effects[effectDown]++
		return 0, store.ErrUnavailable
	}
	if current := s.objects[key].Version; int64(current) != catalog.CountOf(int64(expect)) {
		return 0, &store.ConflictError{Key: key, Current: s.versionOf(current)}
	}
	s.lastVersion++
	s.objects[key] = store.Object{Key: key, Version: s.lastVersion, Value: value}
	s.writes = append(s.writes, storedWrite{s.now(), s.objects[key]})
	if s.loseAnswers > 0 {
		s.loseAnswers--
		s.effects[effectLost]++
		return 0, store.ErrNoAnswer
	}
	return s.versionOf(s.lastVersion), nil
}

// learnEra records the era of an answer that a process receives. It returns false if the process
// knows a later era, so that its client drops the answer.
func (s *fakeStore) learnEra(p process, era int64) bool {
	if era < s.knownEras[p] {
		return false
	}
	s.knownEras[p] = era
	return true
}

// getFrom reads an object over the network.
func (w *World) getFrom(from *node, key string, done func(store.Object, error)) {
	w.storeCall(from, func() func() {
		o, err := w.store.get(key)
		era := w.store.era
		return func() {
			if w.store.learnEra(processOf(from), era) {
				done(o, err)
			}
		}
	})
}

// putFrom writes an object over the network. As package store/client does, it sends no condition of
// an era that is known to be over, and takes a write that took effect in a later era for unanswered.
func (w *World) putFrom(from *node, key string, value []byte, expect store.Version, done func(store.Version, error)) {
	expectEra := catalog.EraOf(int64(expect))
	if expect != 0 && expectEra < w.store.knownEras[processOf(from)] {
		w.after(from, 0, func() { done(0, &store.ConflictError{Key: key}) })
		return
	}
	w.storeCall(from, func() func() {
		v, err := w.store.put(key, value, expect)
		if err == store.ErrNoAnswer {
			return nil
		}
		era := w.store.era
		return func() {
			current := w.store.learnEra(processOf(from), era)
			if current && (err != nil || expect == 0 || era == expectEra) {
				done(v, err)
			}
		}
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
