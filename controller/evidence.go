package controller

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/target"
)

// Evidence keeps, for each server, the newest good answer that this VM had
// itself. It answers peers that ask; hearsay never enters it.
type Evidence struct {
	mu   sync.RWMutex
	good map[target.ID]control.Answer
	// began is when the first ask of a server ended, and ended when the newest
	// did, with or without an answer.
	began, ended map[target.ID]clock.Time
}

// NewEvidence returns an empty store.
func NewEvidence() *Evidence {
	return &Evidence{good: map[target.ID]control.Answer{}, began: map[target.ID]clock.Time{}, ended: map[target.ID]clock.Time{}}
}

// Add takes the result of one ask.
func (e *Evidence) Add(id target.ID, a control.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.began[id]; !ok {
		e.began[id] = a.Answered
	}
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

// WatchedFor returns how long ago the first ask of a server ended.
func (e *Evidence) WatchedFor(id target.ID, now clock.Time) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	at, ok := e.began[id]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
