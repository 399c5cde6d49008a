package controller

import (
	"sync"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/target"
)

// Evidence keeps, for each server, the newest good answer that this VM had
// itself. It answers peers that ask; hearsay never enters it.
type Evidence struct {
	mu   sync.RWMutex
	good map[target.ID]control.Answer
	// first is when the server was first asked.
	first map[target.ID]clock.Time
}

// NewEvidence returns an empty store.
func NewEvidence() *Evidence {
	return &Evidence{good: map[target.ID]control.Answer{}, first: map[target.ID]clock.Time{}}
}

// Add takes the result of one ask.
func (e *Evidence) Add(id target.ID, a control.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.first[id]; !ok {
		e.first[id] = a.Asked
	}
	if err == nil && !a.Asked.Before(e.good[id].Asked) {
		e.good[id] = a
	}
}

// Newest returns the newest good answer of a server.
func (e *Evidence) Newest(id target.ID) (control.Answer, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	a, ok := e.good[id]
	return a, ok
}

// Watched reports whether this VM has asked the server at all.
func (e *Evidence) Watched(id target.ID) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	_, ok := e.first[id]
	return ok
}
