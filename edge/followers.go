package edge

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/platform/published"
	"endivemoor.example/endivemoor/recency"
	"endivemoor.example/endivemoor/target"
)

const (
	kindConfig  = published.KindConfig
	kindTargets = published.KindTargets
)

// configFollower applies the operator's configuration to the catalog.
type configFollower struct {
	edge *Edge
	// refused is set while the store's version cannot be decoded.
	refused bool
}

func (f *configFollower) replace(items map[string]*objects.Object) {
	if o := items[published.NameConfig]; o != nil {
		f.apply(o, false)
	}
}

func (f *configFollower) apply(o *objects.Object, deleted bool) {
	if o.Meta.Name != published.NameConfig || deleted {
		return
	}
	c, err := published.Config(o)
	f.refused = err != nil
	if err != nil {
		f.edge.log.Error("configuration-refused", zap.Int64("revision", o.Meta.Revision), zap.Error(err))
		return
	}
	if f.edge.catalog.SetConfig(c) {
		f.edge.log.Info("configuration", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	}
}

func (f *configFollower) publish(int64) {}

func (f *configFollower) adopt(*catalog.Catalog) {}

func (f *configFollower) confirm(revision int64, at clock.Time) {
	if !f.refused {
		f.edge.recordConfirmation(recency.Config, revision, at)
	}
}

// removalGrace is how long a target is retained after its entry was removed without a drain.
//
// Failure guarded against: entries expire while the store is down although their targets are
// running, and return about two seconds after the store does. Without the grace period every
// session would lose all targets of its service at once.
const removalGrace = 2500 * time.Millisecond

// targetFollower applies the entries of targets to the catalog.
type targetFollower struct {
	edge     *Edge
	mu       sync.Mutex
	targets  map[target.ID]*catalog.Target
	removals map[target.ID]*time.Timer
	// refused holds the reason why an existing entry does not describe a target.
	refused map[target.ID]string
	// revision is the store's revision up to which targets is complete.
	revision int64
	// complete is the latest confirmed revision at which removals was empty; 0 if there is none.
	complete int64
	// unpublished is set while targets differs from the list that was last published.
	unpublished bool
	// published is the digest of that list.
	published uint64
}

func newTargetFollower(e *Edge) *targetFollower {
	return &targetFollower{edge: e, targets: make(map[target.ID]*catalog.Target), removals: make(map[target.ID]*time.Timer), refused: make(map[target.ID]string)}
}

func (f *targetFollower) replace(items map[string]*objects.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.targets {
		if items[string(id)] == nil {
			f.entryRemoved(id)
		}
	}
	for id := range f.refused {
		if items[string(id)] == nil {
			delete(f.refused, id)
		}
	}
	for _, o := range items {
		f.put(o)
	}
	f.unpublished = true
}

func (f *targetFollower) adopt(c *catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, timer := range f.removals {
		timer.Stop()
		delete(f.removals, id)
	}
	clear(f.refused)
	f.targets = maps.Clone(c.Targets)
	f.unpublished, f.published = false, c.TargetsDigest()
}

func (f *targetFollower) apply(o *objects.Object, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deleted {
		delete(f.refused, target.ID(o.Meta.Name))
		f.entryRemoved(target.ID(o.Meta.Name))
		return
	}
	f.put(o)
}

func (f *targetFollower) put(o *objects.Object) {
	t, err := published.Target(o)
	if err != nil {
		f.refuse(target.ID(o.Meta.Name), err)
		return
	}
	delete(f.refused, t.ID)
	if timer := f.removals[t.ID]; timer != nil {
		timer.Stop()
		delete(f.removals, t.ID)
	}
	old := f.targets[t.ID]
	if old == nil || *old != *t {
		f.targets[t.ID] = t
		f.unpublished = true
		f.edge.log.Info("target", zap.String("target", string(t.ID)), zap.String("service", t.Service), zap.String("addr", t.Addr),
			zap.String("at", t.Zone), zap.Bool("draining", t.Draining), zap.Stringer("role", t.Role), zap.Int64("incarnation", t.Incarnation))
	}
}

// maxRefused bounds the number of refused entries that are remembered, at 200 B each.
const maxRefused = 1000

// refuse treats an entry that does not describe a target as a removed entry.
//
// Failure guarded against: another writer overwrites a target's entry. Applied as the target's own,
// it would direct requests to a wrong address; ignored for good, it would hide that the target was
// removed. The target rewrites its entry about every second, so its last valid entry stays in force
// until the next one is due, as after an entry that expired. Each cause is logged once, however
// often the entry is written.
func (f *targetFollower) refuse(id target.ID, cause error) {
	if f.refused[id] != cause.Error() && len(f.refused) < maxRefused {
		f.refused[id] = cause.Error()
		f.edge.log.Error("target-refused", zap.String("target", string(id)), zap.Bool("known", f.targets[id] != nil), zap.Error(cause))
	}
	f.removeLater(id)
}

// entryRemoved removes a target: at once if it was draining, and otherwise after removalGrace.
func (f *targetFollower) entryRemoved(id target.ID) {
	t := f.targets[id]
	if t != nil && t.Draining && f.removals[id] == nil {
		f.remove(id, "left")
		return
	}
	f.removeLater(id)
}

// removeLater removes a target after removalGrace, unless its entry returns.
func (f *targetFollower) removeLater(id target.ID) {
	if f.targets[id] == nil || f.removals[id] != nil {
		return
	}
	f.removals[id] = time.AfterFunc(removalGrace, func() {
		f.mu.Lock()
		if f.removals[id] == nil {
			f.mu.Unlock()
			return
		}
		f.remove(id, "lost")
		revision := f.revision
		f.mu.Unlock()
		f.publish(revision)
	})
}

func (f *targetFollower) remove(id target.ID, reason string) {
	delete(f.targets, id)
	delete(f.removals, id)
	f.unpublished = true
	f.edge.log.Info("target-gone", zap.String("target", string(id)), zap.String("reason", reason))
}

// confirm counts the list as complete only up to the last revision at which no target was retained
// without its entry. A VM that resumes its watch from there receives the removals again.
func (f *targetFollower) confirm(revision int64, at clock.Time) {
	f.mu.Lock()
	if len(f.removals) == 0 {
		f.complete = revision
	}
	complete := f.complete
	f.mu.Unlock()
	f.edge.recordConfirmation(recency.Targets, complete, at)
}

// publish installs the targets in the catalog if they have changed, or if another list was installed
// there since.
//
// Failure guarded against: a store may report every heartbeat of a target as an event. Installed as a
// new list, each batch of them would make every VM of the fleet receive, compare and distribute the
// list of all targets several times a second, although nothing has changed.
func (f *targetFollower) publish(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	if !f.unpublished && f.edge.catalog.Load().TargetsDigest() == f.published {
		return
	}
	if f.edge.catalog.SetTargets(maps.Clone(f.targets), revision) {
		f.unpublished, f.published = false, catalog.DigestOfTargets(f.targets)
	}
}
