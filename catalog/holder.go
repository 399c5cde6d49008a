package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"endivemoor.example/endivemoor/target"
)

// Holder keeps the present Catalog. Reading it takes one atomic load; changes
// copy what they touch and are made one at a time.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Catalog]
	changed atomic.Pointer[chan struct{}]
}

// NewHolder returns a Holder with an empty Catalog.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&Catalog{})
	first := make(chan struct{})
	h.changed.Store(&first)
	return h
}

// Load returns the present Catalog.
func (h *Holder) Load() *Catalog { return h.current.Load() }

// Changed returns a channel that is closed by the next change. Take it before
// Load, or a change in between goes unseen.
func (h *Holder) Changed() <-chan struct{} { return *h.changed.Load() }

// SetConfig takes over a configuration unless a later one is in force, and
// reports whether it did.
//
// Failure guarded against: a configuration that goes back. It shows as a
// request handled by a route that was already replaced, after a restarted
// watch or a slower peer delivered an older version. The version only grows,
// so an older one is never taken.
func (h *Holder) SetConfig(c *Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Load()
	if old.Config != nil && old.Config.Version >= c.Version {
		return false
	}
	next := *old
	next.Config = c
	h.publish(&next)
	return true
}

// SetTargets replaces all targets.
func (h *Holder) SetTargets(targets map[target.ID]*Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.Load()
	next.Targets = targets
	next.ByService = byService(targets)
	h.publish(&next)
}

// SetFleet replaces the list of VMs and the records of reigns.
func (h *Holder) SetFleet(vms []VM, reigns map[string]*Reign) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.Load()
	next.VMs = slices.SortedFunc(slices.Values(vms), func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	next.Reigns = reigns
	h.publish(&next)
}

// SetReign takes over one service's record unless a later one is known.
func (h *Holder) SetReign(r *Reign) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Load()
	if known := old.Reigns[r.Service]; known != nil && known.Revision >= r.Revision {
		return
	}
	next := *old
	next.Reigns = maps.Clone(old.Reigns)
	if next.Reigns == nil {
		next.Reigns = make(map[string]*Reign)
	}
	next.Reigns[r.Service] = r
	h.publish(&next)
}

func (h *Holder) publish(c *Catalog) {
	h.current.Store(c)
	next := make(chan struct{})
	old := h.changed.Swap(&next)
	close(*old)
}

func byService(targets map[target.ID]*Target) map[string][]*Target {
	out := make(map[string][]*Target)
	for _, t := range targets {
		out[t.Service] = append(out[t.Service], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
