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
	if old.Config != nil {
		next.changes = remembered(old.changes, Between(old.Config, c), c.entries())
	}
	h.publish(&next)
	return true
}

// SetTargets replaces all targets by those that the store had at a revision,
// unless a later list is known. It reports whether it did.
func (h *Holder) SetTargets(targets map[target.ID]*Target, revision int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.Load()
	if revision < next.TargetsRevision {
		return false
	}
	next.targetsHistory = next.targetsHistory.next(listOfTargets(next.Targets), listOfTargets(targets), next.TargetsRevision, revision)
	next.Targets, next.TargetsRevision = targets, revision
	next.ByService = byService(targets)
	h.publish(&next)
	return true
}

// SetFleet replaces the list of VMs by the one that the store had at a
// revision, unless a later one is known, and takes over later records of
// reigns. It reports whether the list was taken.
func (h *Holder) SetFleet(vms []VM, reigns map[string]*Reign, revision int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.Load()
	next.Reigns = laterReigns(next.Reigns, reigns)
	taken := revision >= next.FleetRevision
	if taken && EraOf(revision) > EraOf(next.FleetRevision) {
		next.Reigns = ofEra(next.Reigns, EraOf(revision))
	}
	if taken {
		next.setVMs(slices.SortedFunc(slices.Values(vms), byName), revision)
	}
	h.publish(&next)
	return taken
}

// setVMs takes over a list, and remembers what has changed since the one before.
func (c *Catalog) setVMs(vms []VM, revision int64) {
	c.fleetHistory = c.fleetHistory.next(listOf(c.VMs), listOf(vms), c.FleetRevision, revision)
	c.VMs, c.FleetRevision = vms, revision
}

func laterReigns(known, offered map[string]*Reign) map[string]*Reign {
	out := make(map[string]*Reign, len(offered))
	maps.Copy(out, known)
	for service, r := range offered {
		if old := out[service]; old == nil || old.Revision < r.Revision {
			out[service] = r
		}
	}
	return out
}

// ofEra replaces the records that the store has lost as it came back from an older copy:
// those that are not on its list any more.
func ofEra(reigns map[string]*Reign, era int64) map[string]*Reign {
	out := make(map[string]*Reign, len(reigns))
	for service, r := range reigns {
		if EraOf(r.Revision) < era {
			r = &Reign{Service: service, Lost: true}
		}
		out[service] = r
	}
	return out
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
	next.Reigns = laterReigns(old.Reigns, map[string]*Reign{r.Service: r})
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
