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
	// ended is when the newest ask of a server ended, with or without an answer.
	ended map[target.ID]clock.Time
}

// NewEvidence returns an empty store.
func NewEvidence() *Evidence {
	return &Evidence{good: map[target.ID]control.Answer{}, ended: map[target.ID]clock.Time{}}
}

// Add takes the result of one ask.
func (e *Evidence) Add(id target.ID, a control.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[id] = max(e.ended[id], a.Answered)
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

// AskedSince reports whether an ask of the server ended at t or later.
func (e *Evidence) AskedSince(id target.ID, t clock.Time) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	at, ok := e.ended[id]
	return ok && !at.Before(t)
}
