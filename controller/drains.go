package controller

import (
	"maps"
	"sync"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// Drains holds the drain state of targets. It is the only writer of view.View.Draining. The VMs
// that watch the store read the drain marks and peers forward them, because most VMs do not watch
// the store, and no VM may send new work to a draining target.
type Drains struct {
	views *view.Holder
	log   *zap.Logger

	mu    sync.Mutex
	marks map[target.ID]mark
}

// mark is the drain state of one target as of a revision of the store.
type mark struct {
	draining bool
	revision int64
}

// NewDrains returns a Drains without any mark.
func NewDrains(views *view.Holder, log *zap.Logger) *Drains {
	return &Drains{views: views, log: log, marks: map[target.ID]mark{}}
}

// Offer records the drain state of a target that a watcher or a peer reports, and reports whether
// the target's state changed. A revision that is not newer than the recorded one is ignored, so an
// outdated peer cannot restore a drain that has ended.
func (d *Drains) Offer(id target.ID, draining bool, revision int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.marks[id]
	if revision <= old.revision {
		return false
	}
	d.marks[id] = mark{draining, revision}
	if old.draining == draining {
		return false
	}
	d.publish(id, draining)
	d.log.Info("target_drain", zap.String("server", string(id)), zap.Bool("draining", draining))
	return true
}

func (d *Drains) publish(id target.ID, draining bool) {
	d.views.Update(func(v *view.View) {
		next := make(map[target.ID]bool, len(v.Draining)+1)
		maps.Copy(next, v.Draining)
		delete(next, id)
		if draining {
			next[id] = true
		}
		v.Draining = next
	})
}

// messages returns the recorded states as messages to peers.
func (d *Drains) messages() []*peerpb.Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*peerpb.Drain
	for id, m := range d.marks {
		out = append(out, &peerpb.Drain{Target: string(id), Draining: m.draining, Revision: m.revision})
	}
	return out
}
