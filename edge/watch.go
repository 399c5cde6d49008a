package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/retry"
)

const (
	// watchWait is how long one watch call waits for news of a kind that has no
	// bound of its own. A call that returns without news costs as much as one with.
	watchWait = 10 * time.Second
	// fleetWait is that of the fleet's own records: it bounds the age of the
	// list that permissions go by. It is below newsAge.
	fleetWait = 2 * time.Second
	// watchPart is the part of a bound that one watch call may wait: a change
	// that a silent watch has missed must still be in force in time, after
	// objects.AnswerWithin and the list that follows, and the evidence that a call brings must
	// reach all VMs before they look for themselves.
	watchPart = 0.25
	// callTimeout bounds a call to the store that changes or reads one small object.
	callTimeout = 1200 * time.Millisecond
	// thickWithin is how soon after it was sent a watch call must bring news for these
	// to come thick.
	thickWithin = 100 * time.Millisecond
	// thickFrom is how many calls in a row must have: the changes of one event, such
	// as a change of primary, are told at once.
	thickFrom = 2
	// minGather and maxGather bound the pause in which news that come thick gather.
	minGather = 50 * time.Millisecond
	maxGather = 400 * time.Millisecond
	// firstRetries and emptyPause are how often and after which pause a fleet that
	// starts for the first time reads empty lists again: what the others have written
	// just now is on them some seconds later, and nobody is served before.
	firstRetries = 3
	emptyPause   = time.Second
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
	// heard is called whenever the store has answered: all that was taken over is
	// complete as of a revision, and was at a moment.
	heard(revision int64, at clock.Time)
}

// watch keeps one kind of objects in step with the store.
type watch struct {
	kind string
	// short is how long one call waits for news.
	short time.Duration
	// others reports whether others look out, so that calls may wait for watchWait.
	others func() bool
	// idle reports whether peers tell enough, so that nothing is watched once
	// the kind was listed; nil never does.
	idle func() bool
	// resumeFrom returns the revision from which the watch goes on after a rest; nil, or
	// a result of 0, lists the kind anew.
	resumeFrom func() int64
	outage     *outage
	clk        clock.Clock
	store      *objects.Client
	log        *zap.Logger
	follower   follower
	revision   int64
	failures   int
	// listed is set once the kind was listed.
	listed bool
	// retries is how often a first list that is empty is read again.
	retries int
	// thick counts the calls in a row that brought news at once.
	thick int
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
		if errors.Is(err, errUnheard) {
			w.log.Info("watch-shortened", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
			continue
		}
		w.outage.note(err)
		w.note(err)
		if err == nil {
			w.gather(ctx)
			continue
		}
		wait.For(ctx, watchBackoff.Delay(w.failures, rnd))
	}
}

// gather lets news that come thick come together.
//
// Failure guarded against: sixty targets start one after the other, and each of them
// is a call of each VM that watches, for nothing but its own entry.
func (w *watch) gather(ctx context.Context) {
	if w.thick >= thickFrom {
		wait.For(ctx, min(minGather<<(w.thick-thickFrom), maxGather))
	}
}

// idleEvery is how often a watch that rests looks if it is needed.
const idleEvery = 500 * time.Millisecond

// rest waits until peers tell too little. Unless the watch can go on from where peers
// have come, the kind is then listed anew: what they told meanwhile is not in the
// follower's own books.
func (w *watch) rest(ctx context.Context) {
	w.log.Info("watch-rests", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
	for w.idle() {
		if !wait.For(ctx, idleEvery) {
			return
		}
	}
	w.revision = 0
	if w.resumeFrom != nil {
		w.revision = w.resumeFrom()
	}
	w.log.Info("watch-resumed", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
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
	sent := time.Now()
	p, err := w.await(ctx)
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
	w.thick++
	if len(p.Events) == 0 || time.Since(sent) > thickWithin {
		w.thick = 0
	}
	w.thick = min(w.thick, maxThick)
	if len(p.Events) > 0 {
		w.follower.settle(w.revision)
	}
	w.heard(p.Answered)
	return nil
}

// errUnheard says that a long call was ended because others look out no more.
var errUnheard = errors.New("others do not look out any more")

// await waits for news: shortly where this VM looks out, and long otherwise.
func (w *watch) await(ctx context.Context) (*objects.Page, error) {
	if w.others() {
		return w.awaitLong(ctx)
	}
	wait := time.Duration(float64(w.short) * (1 - shortSpread*rand.Float64()))
	return w.store.Watch(ctx, w.kind, w.revision, wait)
}

// shortSpread is the part of a short wait by which calls differ, so that those of the
// VMs that look out do not end together: the youngest evidence counts.
const shortSpread = 0.25

// awaitLong waits for news while others look out. It ends when they do not any more, as
// the call may have gone silent.
func (w *watch) awaitLong(ctx context.Context) (*objects.Page, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go w.cutShort(ctx, end)
	p, err := w.store.Watch(ctx, w.kind, w.revision, watchWait)
	if err != nil && errors.Is(context.Cause(ctx), errUnheard) {
		return nil, errUnheard
	}
	return p, err
}

// cutShort ends a long call once others do not look out any more.
func (w *watch) cutShort(ctx context.Context, end context.CancelCauseFunc) {
	tick := time.NewTicker(idleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !w.others() {
				end(errUnheard)
				return
			}
		}
	}
}

// heard tells the follower as of when it is up to date.
func (w *watch) heard(answered time.Time) {
	w.follower.heard(w.revision, w.clk.Now().Add(-time.Since(answered)))
}

// maxThick bounds the count of calls that brought news at once: more double the
// pause beyond its bound.
const maxThick = 8

// listFirst reads what the store had some moments ago, which costs it little, and
// nothing if many VMs do so at once. What has changed since is told by a watch from the
// latest revision that was read, or by peers, whose lists are of a later one. It
// reports whether there was anything; the store's word is not as of now, so that the
// follower has not heard of it.
//
// Failure guarded against: a fleet that starts as a whole reads every list once for
// each VM, beyond the store's rates.
func (w *watch) listFirst(ctx context.Context) (bool, error) {
	items, _, err := w.readAll(ctx, true)
	for n := 0; n < w.retries && err == nil && len(items) == 0 && wait.For(ctx, emptyPause); n++ {
		items, _, err = w.readAll(ctx, true)
	}
	if err != nil || len(items) == 0 {
		return false, err
	}
	latest := int64(0)
	for _, o := range items {
		latest = max(latest, o.Meta.Revision)
	}
	w.take(items, latest)
	return true, nil
}

// list reads all objects. The watch goes on from the revision of the first
// page: what changes while further pages are read is then told again.
func (w *watch) list(ctx context.Context) error {
	if !w.listed {
		if ok, err := w.listFirst(ctx); ok || err != nil {
			return err
		}
	}
	items, first, err := w.readAll(ctx, false)
	if err != nil {
		return err
	}
	w.take(items, first.Revision)
	w.heard(first.Answered)
	return nil
}

func (w *watch) take(items map[string]*objects.Object, revision int64) {
	w.listed = true
	w.follower.replace(items)
	w.revision = revision
	w.follower.settle(revision)
}

// readAll reads all objects by their names, and returns the first page as well.
func (w *watch) readAll(ctx context.Context, stale bool) (items map[string]*objects.Object, first *objects.Page, err error) {
	items = make(map[string]*objects.Object)
	list := func(after string) (*objects.Page, error) { return w.store.List(ctx, w.kind, after, stale) }
	err = objects.EachPage(list, func(p *objects.Page) error {
		if first == nil {
			first = p
		}
		for i := range p.Items {
			items[p.Items[i].Meta.Name] = &p.Items[i]
		}
		return nil
	})
	return items, first, err
}
