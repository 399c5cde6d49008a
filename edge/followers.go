package edge

import (
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

// configFollower takes over the operator's configuration.
type configFollower struct {
	edge *Edge
	// refused is set while the store's version is one that cannot be decoded.
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

func (f *configFollower) settle(int64) {}

func (f *configFollower) heard(revision int64, at clock.Time) {
	if !f.refused {
		f.edge.confirm(recency.Config, revision, at)
	}
}

// lostGrace is how long a target whose entry vanished without notice is kept.
//
// Failure guarded against: entries lapse while the store is down, though their
// targets live, and are back about two seconds after its return. Without the
// grace every session would lose all targets of its service at once.
const lostGrace = 2500 * time.Millisecond

// targetFollower takes over the entries of targets.
type targetFollower struct {
	edge    *Edge
	mu      sync.Mutex
	targets map[target.ID]*catalog.Target
	lost    map[target.ID]*time.Timer
	// refused says why an entry that is there names no target.
	refused map[target.ID]string
	// revision is the store's up to which targets is complete.
	revision int64
}

func newTargetFollower(e *Edge) *targetFollower {
	return &targetFollower{edge: e, targets: make(map[target.ID]*catalog.Target), lost: make(map[target.ID]*time.Timer), refused: make(map[target.ID]string)}
}

func (f *targetFollower) replace(items map[string]*objects.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.targets {
		if items[string(id)] == nil {
			f.lose(id)
		}
	}
	for id := range f.refused {
		if items[string(id)] == nil {
			delete(f.refused, id)
		}
	}
	for _, o := range items {
		f.take(o)
	}
}

func (f *targetFollower) apply(o *objects.Object, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deleted {
		delete(f.refused, target.ID(o.Meta.Name))
		f.lose(target.ID(o.Meta.Name))
		return
	}
	f.take(o)
}

func (f *targetFollower) take(o *objects.Object) {
	t, err := published.Target(o)
	if err != nil {
		f.refuse(target.ID(o.Meta.Name), err)
		return
	}
	delete(f.refused, t.ID)
	if timer := f.lost[t.ID]; timer != nil {
		timer.Stop()
		delete(f.lost, t.ID)
	}
	old := f.targets[t.ID]
	f.targets[t.ID] = t
	if old == nil || *old != *t {
		f.edge.log.Info("target", zap.String("target", string(t.ID)), zap.String("service", t.Service), zap.String("addr", t.Addr),
			zap.String("at", t.Zone), zap.Bool("draining", t.Draining), zap.Stringer("role", t.Role), zap.Int64("incarnation", t.Incarnation))
	}
}

// maxRefused bounds the refused entries that are remembered, 200 B each.
const maxRefused = 1000

// refuse takes an entry that names no target for one that is not there.
//
// Failure guarded against: another writer's words in the place of a target's entry.
// Taken for the target's own they would send requests nowhere; kept out for good
// they would hide that the target is gone. The target itself writes about every
// second, so that its last good word holds until its next one is due, as after an
// entry that lapsed. It is logged once for each cause, however often it is written.
func (f *targetFollower) refuse(id target.ID, cause error) {
	if f.refused[id] != cause.Error() && len(f.refused) < maxRefused {
		f.refused[id] = cause.Error()
		f.edge.log.Error("target-refused", zap.String("target", string(id)), zap.Bool("known", f.targets[id] != nil), zap.Error(cause))
	}
	f.loseLater(id)
}

// lose takes a target out: at once if it had said that it leaves, and else
// after the grace.
func (f *targetFollower) lose(id target.ID) {
	t := f.targets[id]
	if t != nil && t.Draining && f.lost[id] == nil {
		f.remove(id, "left")
		return
	}
	f.loseLater(id)
}

// loseLater takes a target out after the grace, unless its entry comes back.
func (f *targetFollower) loseLater(id target.ID) {
	if f.targets[id] == nil || f.lost[id] != nil {
		return
	}
	f.lost[id] = time.AfterFunc(lostGrace, func() {
		f.mu.Lock()
		if f.lost[id] == nil {
			f.mu.Unlock()
			return
		}
		f.remove(id, "lost")
		revision := f.revision
		f.mu.Unlock()
		f.settle(revision)
	})
}

func (f *targetFollower) remove(id target.ID, why string) {
	delete(f.targets, id)
	delete(f.lost, id)
	f.edge.log.Info("target-gone", zap.String("target", string(id)), zap.String("reason", why))
}

func (f *targetFollower) heard(revision int64, at clock.Time) {
	f.edge.confirm(recency.Targets, revision, at)
}

func (f *targetFollower) settle(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = revision
	out := make(map[target.ID]*catalog.Target, len(f.targets))
	for id, t := range f.targets {
		out[id] = t
	}
	f.edge.catalog.SetTargets(out, revision)
}
