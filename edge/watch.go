package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/objects"
	"endivemoor.example/endivemoor/retry"
)

const (
	// watchWait is how long one watch call waits for changes of a kind that has no bound of its
	// own. A call that returns no changes costs as much as one that does.
	watchWait = 10 * time.Second
	// fleetWait is the wait for the fleet's own records. It bounds the age of the list that
	// permissions are based on. It is below maxEvidenceAge.
	fleetWait = 2 * time.Second
	// watchFraction is the fraction of a bound that one watch call may wait. A change that a
	// hanging watch has missed must still be in force within the bound, after objects.FirstByteTimeout
	// and the list that follows, and the evidence from a call must reach all VMs before they watch
	// the list themselves.
	watchFraction = 0.25
	// callTimeout bounds a call to the store that changes or reads one small object.
	callTimeout = 1200 * time.Millisecond
	// burstWithin is how soon after it was sent a watch call must return changes to count towards a
	// burst.
	burstWithin = 100 * time.Millisecond
	// burstFrom is how many such calls in a row make a burst. A single one does not delay the next
	// call, so that the changes of one event, such as a change of primary, are read without a pause.
	burstFrom = 2
	// minBatchDelay and maxBatchDelay bound the pause in which the changes of a burst are batched.
	minBatchDelay = 50 * time.Millisecond
	maxBatchDelay = 400 * time.Millisecond
	// emptyListRetries and emptyListDelay are how often, and after which pause, a fleet that starts
	// for the first time reads an empty list again. Entries that the others have just written
	// appear in the list some seconds later, and no consumer is served before that.
	emptyListRetries = 3
	emptyListDelay   = time.Second
)

// watchBackoff spreads the calls of VMs that lost the store at the same time.
var watchBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: time.Second}

// follower applies the objects of one kind that a watch receives.
type follower interface {
	// replace replaces all objects, after a list.
	replace(items map[string]*objects.Object)
	// apply applies one change.
	apply(o *objects.Object, deleted bool)
	// publish is called after each list and each set of changes, with the revision up to which the
	// objects are complete.
	publish(revision int64)
	// confirm is called after each reply of the store: the applied objects are complete as of the
	// revision, and were current at the given time.
	confirm(revision int64, at clock.Time)
	// adopt replaces all objects by those of a catalog, which peers have kept up to date.
	adopt(c *catalog.Catalog)
}

// watch keeps the objects of one kind in sync with the store.
type watch struct {
	kind string
	// short is the wait of one call while designated watchers do not cover the kind for this VM.
	short time.Duration
	// covered reports whether designated watchers cover the kind, so that calls may wait for
	// watchWait.
	covered func() bool
	// maySuspend reports whether peers provide enough updates for the watch to be suspended once
	// the kind was listed; nil never suspends.
	maySuspend func() bool
	// copyOf returns a catalog and the store's revision as of which its copy of the kind is complete; 0
	// if that is not known.
	copyOf   func() (*catalog.Catalog, int64)
	outage   *outage
	clk      clock.Clock
	store    *objects.Client
	log      *zap.Logger
	follower follower
	revision int64
	failures int
	// listed is set after the first list.
	listed bool
	// retries is how often an empty first list is read again.
	retries int
	// burst counts the calls in a row that returned changes at once.
	burst int
}

// run watches the kind until ctx ends.
func (w *watch) run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		if w.maySuspend != nil && w.maySuspend() {
			w.suspend(ctx)
			continue
		}
		if !w.outage.admit(ctx) {
			return
		}
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNotCovered) {
			w.log.Info("watch-shortened", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
			continue
		}
		w.outage.record(err)
		w.logResult(err)
		if err == nil {
			w.batch(ctx)
			continue
		}
		wait.For(ctx, watchBackoff.Delay(w.failures, rnd))
	}
}

// batch delays the next call during a burst so that its changes are batched.
//
// Failure guarded against: sixty targets start one after the other, and each of them costs one call
// of each VM that watches, only to receive its entry.
func (w *watch) batch(ctx context.Context) {
	if w.burst >= burstFrom {
		wait.For(ctx, min(minBatchDelay<<(w.burst-burstFrom), maxBatchDelay))
	}
}

// coverCheckInterval is how often a VM checks whether designated watchers still cover a kind.
const coverCheckInterval = 500 * time.Millisecond

// suspend waits until peers provide too few updates. The watch then resumes from the copy that peers
// have provided, or lists the kind again if it is not known as of when that copy is complete.
//
// Failure guarded against: updates from peers stop for many VMs at once, as when the store is slow,
// and each of them lists VMs and targets anew. The store becomes slower, and more VMs follow.
func (w *watch) suspend(ctx context.Context) {
	w.log.Info("watch-rests", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
	for w.maySuspend() {
		if !wait.For(ctx, coverCheckInterval) {
			return
		}
	}
	c, revision := w.copyOf()
	if w.revision = revision; revision != 0 {
		w.follower.adopt(c)
	}
	w.log.Info("watch-resumed", zap.String("kind", w.kind), zap.Int64("revision", w.revision))
}

// logResult logs the loss of the store and its recovery, once each.
func (w *watch) logResult(err error) {
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

// step makes one call: a list if no revision is known, and otherwise a watch.
func (w *watch) step(ctx context.Context) error {
	if w.revision == 0 {
		return w.list(ctx)
	}
	sent := time.Now()
	p, err := w.call(ctx)
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
	w.burst++
	if len(p.Events) == 0 || time.Since(sent) > burstWithin {
		w.burst = 0
	}
	w.burst = min(w.burst, maxBurst)
	if len(p.Events) > 0 {
		w.follower.publish(w.revision)
	}
	w.confirm(p.Answered)
	return nil
}

// errNotCovered reports that a long call was ended because designated watchers no longer cover the
// list.
var errNotCovered = errors.New("long watch call ended: designated watchers no longer cover the list")

// call waits for changes, with a long wait if designated watchers cover the kind and a short one
// otherwise.
func (w *watch) call(ctx context.Context) (*objects.Page, error) {
	if w.covered() {
		return w.callLong(ctx)
	}
	wait := time.Duration(float64(w.short) * (1 - shortWaitJitter*rand.Float64()))
	return w.store.Watch(ctx, w.kind, w.revision, wait)
}

// shortWaitJitter is the fraction of a short wait by which calls vary, so that the calls of the
// designated watchers do not end together: the most recent evidence counts.
const shortWaitJitter = 0.25

// callLong waits for changes while designated watchers cover the kind. It ends when they no longer
// do, because the call may be hanging.
func (w *watch) callLong(ctx context.Context) (*objects.Page, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go w.endIfNotCovered(ctx, end)
	p, err := w.store.Watch(ctx, w.kind, w.revision, watchWait)
	if err != nil && errors.Is(context.Cause(ctx), errNotCovered) {
		return nil, errNotCovered
	}
	return p, err
}

// endIfNotCovered ends a long call once designated watchers no longer cover the kind.
func (w *watch) endIfNotCovered(ctx context.Context, end context.CancelCauseFunc) {
	tick := time.NewTicker(coverCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if !w.covered() {
				end(errNotCovered)
				return
			}
		}
	}
}

// confirm passes to the follower the time as of which its objects are current.
func (w *watch) confirm(answered time.Time) {
	w.follower.confirm(w.revision, w.clk.Now().Add(-time.Since(answered)))
}

// maxBurst bounds burst: higher counts would only double the pause beyond its bound.
const maxBurst = 8

// listStale reads a slightly outdated list. Such a read costs the store little, and nothing extra
// if many VMs make it at once. Later changes are received from a watch that starts at the latest
// revision on the list's first page, or from peers, whose lists are more recent and whose digests
// show whether a change leads to the same list. It reports whether the list had any objects. The
// reply is not current, so the follower is not confirmed.
//
// Failure guarded against: an object changes on a page that was already read, and a later page has
// an object that changed after it. A watch from the latest revision of all pages would never report
// the first change.
//
// Failure guarded against: when a whole fleet starts, each VM reads every list once, which exceeds
// the store's rates.
func (w *watch) listStale(ctx context.Context) (bool, error) {
	items, first, err := w.readAll(ctx, true)
	for n := 0; n < w.retries && err == nil && len(items) == 0 && wait.For(ctx, emptyListDelay); n++ {
		items, first, err = w.readAll(ctx, true)
	}
	if err != nil || len(items) == 0 {
		return false, err
	}
	latest, latestOfFirst := int64(0), int64(0)
	for _, o := range items {
		latest = max(latest, o.Meta.Revision)
	}
	for i := range first.Items {
		latestOfFirst = max(latestOfFirst, first.Items[i].Meta.Revision)
	}
	w.replace(items, latest)
	w.revision = latestOfFirst
	return true, nil
}

// list reads all objects. The watch continues from the revision of the first page, so that changes
// made while further pages are read are received again.
func (w *watch) list(ctx context.Context) error {
	if !w.listed {
		if ok, err := w.listStale(ctx); ok || err != nil {
			return err
		}
	}
	items, first, err := w.readAll(ctx, false)
	if err != nil {
		return err
	}
	w.replace(items, first.Revision)
	w.confirm(first.Answered)
	return nil
}

func (w *watch) replace(items map[string]*objects.Object, revision int64) {
	w.listed = true
	w.follower.replace(items)
	w.revision = revision
	w.follower.publish(revision)
}

// readAll reads all objects, keyed by name, and also returns the first page.
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
