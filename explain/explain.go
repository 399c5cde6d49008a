// Package explain keeps recorded decisions with the evidence as it was when
// they were taken, so that an operator can ask why a request went where it did
// or why a server was promoted. It holds the newest records of this daemon
// only; what must last goes into the audit trail.
package explain

import "sync"

// Ring holds at most its capacity of records, by id; the oldest is dropped
// first. It is safe for use by many goroutines.
type Ring struct {
	mu    sync.RWMutex
	order []string
	next  int
	byID  map[string]any
}

// NewRing returns a ring of the given capacity, at least 1.
func NewRing(capacity int) *Ring {
	capacity = max(capacity, 1)
	return &Ring{order: make([]string, capacity), byID: make(map[string]any, capacity)}
}

// Add stores record under id. A record is immutable from then on. Adding an id
// again replaces its record and keeps its age.
func (r *Ring) Add(id string, record any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[id]; !known {
		r.claimSlot(id)
	}
	r.byID[id] = record
}

func (r *Ring) claimSlot(id string) {
	if old := r.order[r.next]; old != "" {
		delete(r.byID, old)
	}
	r.order[r.next] = id
	r.next = (r.next + 1) % len(r.order)
}

// Get returns the record of id.
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
