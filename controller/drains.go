package controller

import (
	"maps"
	"sync"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// Drains knows which targets leave. It is the only writer of view.View.Draining.
// The store's watchers bring marks in, and peers pass them on: most VMs do not
// watch the store, and a target that leaves must get no new work from any.
type Drains struct {
	views *view.Holder
	log   *zap.Logger

	mu    sync.Mutex
	marks map[target.ID]mark
}

// mark is what is known of one target, as of a revision of the store.
type mark struct {
	draining bool
	revision int64
}

// NewDrains returns a holder that knows of no drain.
func NewDrains(views *view.Holder, log *zap.Logger) *Drains {
	return &Drains{views: views, log: log, marks: map[target.ID]mark{}}
}

// Offer takes what a watcher or a peer says of a target, and reports if that
// changed whether the target takes work. An older revision changes nothing, so
// a late peer cannot bring a drain back that was ended.
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

// messages returns what is known, for peers.
func (d *Drains) messages() []*peerpb.Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*peerpb.Drain
	for id, m := range d.marks {
		out = append(out, &peerpb.Drain{Target: string(id), Draining: m.draining, Revision: m.revision})
	}
	return out
}
