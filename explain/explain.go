// Package explain keeps recorded decisions, each with the evidence at the time of the decision, so
// that an operator can find out why a request was routed to a server or why a server was promoted.
// Ring holds only the newest records of this daemon; permanent records belong in the audit trail.
package explain

import "sync"

// Ring holds a limited number of records by ID and drops the oldest first. It is safe for
// concurrent use.
type Ring struct {
	mu    sync.RWMutex
	order []string
	next  int
	byID  map[string]any
}

// NewRing returns a ring of the given capacity, which is at least 1.
func NewRing(capacity int) *Ring {
	capacity = max(capacity, 1)
	return &Ring{order: make([]string, capacity), byID: make(map[string]any, capacity)}
}

// Add stores record under id. The record must not be modified afterwards. Adding an ID again
// replaces its record and keeps its place in the order.
func (r *Ring) Add(id string, record any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[id]; !known {
		r.takeSlot(id)
	}
	r.byID[id] = record
}

func (r *Ring) takeSlot(id string) {
	if old := r.order[r.next]; old != "" {
		delete(r.byID, old)
	}
	r.order[r.next] = id
	r.next = (r.next + 1) % len(r.order)
}

func (r *Ring) Get(id string) (any, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, ok := r.byID[id]
	return rec, ok
}

// Newest returns up to n records, the newest first.
func (r *Ring) Newest(n int) []any {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []any
	for i := 1; i <= len(r.order) && len(out) < n; i++ {
		id := r.order[(r.next-i+len(r.order))%len(r.order)]
		if rec, ok := r.byID[id]; ok {
			out = append(out, rec)
		}
	}
	return out
}
