package controller

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/target"
)

// Evidence holds, for each server, the newest successful status reply that this VM received
// itself. Queries from peers are answered from it. Cached statuses that other VMs obtained are
// never added.
type Evidence struct {
	mu   sync.RWMutex
	good map[target.ID]control.Answer
	// firstEnded is when the first status query to a server ended, and lastEnded when the newest
	// one did, with or without a reply.
	firstEnded, lastEnded map[target.ID]clock.Time
}

// NewEvidence returns an empty Evidence.
func NewEvidence() *Evidence {
	return &Evidence{good: map[target.ID]control.Answer{}, firstEnded: map[target.ID]clock.Time{}, lastEnded: map[target.ID]clock.Time{}}
}

// Add records the result of one status query.
func (e *Evidence) Add(id target.ID, a control.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.firstEnded[id]; !ok {
		e.firstEnded[id] = a.Answered
	}
	e.lastEnded[id] = max(e.lastEnded[id], a.Answered)
	if err == nil && !a.Asked.Before(e.good[id].Asked) {
		e.good[id] = a
	}
}

// Newest returns the newest successful reply of a server.
func (e *Evidence) Newest(id target.ID) (control.Answer, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	a, ok := e.good[id]
	return a, ok
}

// QueriedSince reports whether a status query to the server ended at t or later.
func (e *Evidence) QueriedSince(id target.ID, t clock.Time) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	at, ok := e.lastEnded[id]
	return ok && !at.Before(t)
}

// WatchedFor returns the time since the first status query to a server ended, or 0 if none has
// ended.
func (e *Evidence) WatchedFor(id target.ID, now clock.Time) time.Duration {
	e.mu.RLock()
	defer e.mu.RUnlock()
	at, ok := e.firstEnded[id]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
