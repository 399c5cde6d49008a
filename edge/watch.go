package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/retry"
)

const (
	// watchWait is how long one watch call waits for news of a kind that has no
	// bound of its own. A call that returns without news costs as much as one with.
	watchWait = 10 * time.Second
	// fleetWait is that of the fleet's own records: it bounds the age of the
	// list that permissions go by, and tells the VMs that wait long that the
	// store is heard of. It is below newsAge.
	fleetWait = 2 * time.Second
	// watchPart is the part of a bound that one watch call may wait: a change
	// that a silent watch has missed must still be in force in time, after
	// callTimeout and the list that follows.
	watchPart = 0.4
	// callTimeout bounds a call to the store beyond its waiting time.
	callTimeout = 1200 * time.Millisecond
)

// watchBackoff spreads the calls of VMs that lost the store together.
var watchBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: time.Second}

// follower takes over what a watch of one kind has learned.
type follower interface {
	// replace takes over all objects, after a list.
	replace(items map[string]*objects.Object)
	// apply takes over one change.
	apply(o *objects.Object, deleted bool)
	// settle is called after each list and each set of changes, with the
	// revision up to which all is known.
	settle(revision int64)
	// heard is called whenever the store has answered.
	heard()
}

// watch keeps one kind of objects in step with the store.
type watch struct {
	kind string
	// wait returns how long one call waits for news.
	wait func() time.Duration
	// idle reports whether peers tell enough, so that nothing is watched once
	// the kind was listed; nil never does.
	idle     func() bool
	outage   *outage
	store    *objects.Client
	log      *zap.Logger
	follower follower
	revision int64
	failures int
}

// run follows the kind until ctx ends.
func (w *watch) run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		if w.revision != 0 && w.idle != nil && w.idle() {
			w.rest(ctx)
			continue
		}
		if !w.outage.admit(ctx) {
			return
		}
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		w.outage.note(err)
		w.note(err)
		if err == nil {
			continue
		}
		wait.For(ctx, watchBackoff.Delay(w.failures, rnd))
	}
}

// idleEvery is how often a watch that rests looks if it is needed.
const idleEvery = 500 * time.Millisecond

// rest waits until peers tell too little. The kind is then listed anew: what
// peers told meanwhile is not in the follower's own books.
func (w *watch) rest(ctx context.Context) {
	for w.idle() && wait.For(ctx, idleEvery) {
		continue
	}
	w.revision = 0
}

// note logs the loss of the store and its return, once each.
func (w *watch) note(err error) {
	if err == nil {
		if w.failures > 0 {
			w.log.Info("store-regained", zap.String("kind", w.kind), zap.Int("failures", w.failures), zap.Int64("revision", w.revision))
		}
		w.failures = 0
		return
	}
	if w.failures == 0 {
		w.log.Warn("store-lost", zap.String("kind", w.kind), zap.Int64("revision", w.revision), zap.Error(err))
	}
	w.failures++
}

// step makes one call: a list if nothing is known, and else a watch.
func (w *watch) step(ctx context.Context) error {
	if w.revision == 0 {
		return w.list(ctx)
	}
	wait := w.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	p, err := w.store.Watch(ctx, w.kind, w.revision, wait)
	if errors.Is(err, objects.ErrHistoryGone) {
		w.log.Info("history-gone", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	for i := range p.Events {
		w.follower.apply(&p.Events[i].Object, p.Events[i].Deleted)
	}
	w.revision = max(w.revision, p.Revision)
	if len(p.Events) > 0 {
		w.follower.settle(w.revision)
	}
	w.follower.heard()
	return nil
}

// list reads all objects. The watch goes on from the revision of the first
// page: what changes while further pages are read is then told again.
func (w *watch) list(ctx context.Context) error {
	items := make(map[string]*objects.Object)
	first := int64(0)
	list := func(after string) (*objects.Page, error) { return w.page(ctx, after) }
	err := objects.EachPage(list, func(p *objects.Page) error {
		if first == 0 {
			first = p.Revision
		}
		for i := range p.Items {
			items[p.Items[i].Meta.Name] = &p.Items[i]
		}
		return nil
	})
	if err != nil {
		return err
	}
	w.follower.replace(items)
	w.revision = first
	w.follower.settle(first)
	w.follower.heard()
	return nil
}

func (w *watch) page(ctx context.Context, after string) (*objects.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.store.List(ctx, w.kind, after, false)
}
