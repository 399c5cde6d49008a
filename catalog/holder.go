package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"endivemoor.example/endivemoor/target"
)

// Holder holds the current Catalog. Reading it takes one atomic load; changes copy what they modify
// and are made one at a time.
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

// Load returns the current Catalog.
func (h *Holder) Load() *Catalog { return h.current.Load() }

// Changed returns a channel that is closed by the next change. Call it before Load, or a change in
// between is missed.
func (h *Holder) Changed() <-chan struct{} { return *h.changed.Load() }

// SetConfig installs a configuration unless one of the same or a later version is in force, and
// reports whether it did.
//
// Failure guarded against: a restarted watch or a slow peer delivers an older version, the
// configuration goes back to it, and requests use a route that was already replaced. The version
// only grows, so an older one is never installed.
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
		next.changes = appendBounded(old.changes, Diff(old.Config, c), c.entries())
	}
	h.publish(&next)
	return true
}

// SetTargets replaces all targets by those in the store at a revision, unless a later list is
// installed. It reports whether it did. A list of equal targets only advances the revision, which
// does not count as a change.
func (h *Holder) SetTargets(targets map[target.ID]*Target, revision int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.Load()
	if revision < next.TargetsRevision {
		return false
	}
	h.install(&next, next.setTargets(targets, revision))
	return true
}

// setTargets installs a list, retains the change from the previous one, and reports whether it
// differs from that one.
func (c *Catalog) setTargets(targets map[target.ID]*Target, revision int64) (changed bool) {
	change := differenceOfTargets(c.Targets, targets)
	if change.entries() == 0 && sameEra(c.TargetsRevision, revision) {
		c.TargetsRevision = revision
		return false
	}
	change.Digest = change.digestAfter(c.targetsDigest, c.target)
	c.ByService = c.byServiceAfter(change, targets)
	c.targetsHistory = c.targetsHistory.next(change, c.TargetsRevision, revision, len(targets))
	c.Targets, c.TargetsRevision, c.targetsDigest = targets, revision, change.Digest
	return true
}

// SetFleet replaces the list of VMs by the one in the store at a revision, unless a later one is
// installed, and merges the leadership records that are later than the installed ones. It reports
// whether the list was replaced. As in SetTargets, equal entries do not count as a change.
func (h *Holder) SetFleet(vms []VM, records map[string]*LeadershipRecord, revision int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Load()
	next := *old
	next.LeadershipRecords = laterRecords(old.LeadershipRecords, records)
	later := revision >= old.FleetRevision
	if later && EraOf(revision) > EraOf(old.FleetRevision) {
		next.LeadershipRecords = markLost(next.LeadershipRecords, EraOf(revision))
	}
	changed := !maps.Equal(old.LeadershipRecords, next.LeadershipRecords)
	if later && next.setVMs(slices.SortedFunc(slices.Values(vms), byName), revision) {
		changed = true
	}
	h.install(&next, changed)
	return later
}

// setVMs is setTargets for the list of VMs.
func (c *Catalog) setVMs(vms []VM, revision int64) (changed bool) {
	change := DifferenceOfVMs(c.VMs, vms)
	if change.entries() == 0 && sameEra(c.FleetRevision, revision) {
		c.FleetRevision = revision
		return false
	}
	change.Digest = change.digestAfter(c.fleetDigest, c.VM)
	c.fleetHistory = c.fleetHistory.next(change, c.FleetRevision, revision, len(vms))
	c.VMs, c.FleetRevision, c.fleetDigest = vms, revision, change.Digest
	return true
}

// sameEra reports whether a list was installed in the era of a revision.
func sameEra(installed, revision Revision) bool {
	return installed != 0 && EraOf(installed) == EraOf(revision)
}

func laterRecords(current, offered map[string]*LeadershipRecord) map[string]*LeadershipRecord {
	out := make(map[string]*LeadershipRecord, len(offered))
	maps.Copy(out, current)
	for service, r := range offered {
		if old := out[service]; old == nil || old.Revision < r.Revision {
			out[service] = r
		}
	}
	return out
}

// markLost replaces the records that are not on the store's list of the new era: they were lost when
// the store was restored from an older copy.
func markLost(records map[string]*LeadershipRecord, era int64) map[string]*LeadershipRecord {
	out := make(map[string]*LeadershipRecord, len(records))
	for service, r := range records {
		if EraOf(r.Revision) < era {
			r = &LeadershipRecord{Service: service, Lost: true}
		}
		out[service] = r
	}
	return out
}

// SetLeadershipRecord installs one service's record unless the same or a later one is installed.
func (h *Holder) SetLeadershipRecord(r *LeadershipRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Load()
	if known := old.LeadershipRecords[r.Service]; known != nil && known.Revision >= r.Revision {
		return
	}
	next := *old
	next.LeadershipRecords = laterRecords(old.LeadershipRecords, map[string]*LeadershipRecord{r.Service: r})
	h.publish(&next)
}

// install replaces the catalog, and wakes those that wait for a change if it is one.
func (h *Holder) install(c *Catalog, changed bool) {
	if !changed {
		h.current.Store(c)
		return
	}
	h.publish(c)
}

func (h *Holder) publish(c *Catalog) {
	h.current.Store(c)
	next := make(chan struct{})
	old := h.changed.Swap(&next)
	close(*old)
}

// byServiceAfter returns ByService after a change that leads to the given targets.
func (c *Catalog) byServiceAfter(change *ListChange[Target], targets map[target.ID]*Target) map[string][]*Target {
	if len(c.ByService) == 0 {
		return byService(targets)
	}
	out := maps.Clone(c.ByService)
	for i := range change.Updated {
		t := &change.Updated[i]
		if old := c.Targets[t.ID]; old != nil {
			out[old.Service] = without(out[old.Service], t.ID)
		}
		out[t.Service] = inOrder(append(without(out[t.Service], t.ID), t))
	}
	for _, id := range change.Removed {
		service := c.Targets[target.ID(id)].Service
		out[service] = without(out[service], target.ID(id))
	}
	maps.DeleteFunc(out, func(_ string, list []*Target) bool { return len(list) == 0 })
	return out
}

// without returns a copy of a list without one target.
func without(list []*Target, id target.ID) []*Target {
	return slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return t.ID == id })
}

// inOrder sorts a service's targets by id and returns them.
func inOrder(list []*Target) []*Target {
	slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func byService(targets map[target.ID]*Target) map[string][]*Target {
	out := make(map[string][]*Target)
	for _, t := range targets {
		out[t.Service] = append(out[t.Service], t)
	}
	for _, list := range out {
		inOrder(list)
	}
	return out
}
