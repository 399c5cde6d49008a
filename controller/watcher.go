package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/store"
)

const (
	// watchWait is how long one watch call may wait; each call counts against
	// the store's rate, also one that waits.
	watchWait = 20 * time.Second
	// inactivePause is how often a VM that is no watcher asks if it became one.
	inactivePause = time.Second
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 5 * time.Second
)

// handler takes objects that changed up to a revision of the store; an object of
// version 0 was deleted.
type handler func(ctx context.Context, changed []store.Object, revision int64)

// Watcher follows the objects below one prefix, while this VM is among the few
// watchers of its availability zone. The rest of the fleet learns from peers.
type Watcher struct {
	Store   store.Store
	Purpose store.Purpose
	Prefix  string
	Handle  handler
	// Active says if this VM watches now.
	Active func() bool
	Rand   *rand.Rand
	Log    *zap.Logger

	// since is the revision to go on from; 0 until the first answer, which
	// every VM asks for: it needs the present objects once.
	since int64
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := watchRetryMin
	for ctx.Err() == nil {
		if w.since != 0 && !w.Active() {
			wait.For(ctx, inactivePause)
			continue
		}
		err := w.once(ctx)
		if err == nil {
			pause = watchRetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.Log.Warn("watch_failed", zap.String("prefix", w.Prefix), zap.Error(err))
		wait.For(ctx, w.jitter(pause))
		pause = min(2*pause, watchRetryMax)
	}
}

func (w *Watcher) once(ctx context.Context) error {
	changed, revision, err := w.Store.Watch(ctx, w.Purpose, w.Prefix, w.since, watchWait)
	if err != nil {
		return err
	}
	w.since = revision
	if len(changed) > 0 {
		w.Handle(ctx, changed, revision)
	}
	return nil
}

// jitter spreads the watchers of a fleet that lost the store together, so that
// its return is not answered by all of them at once.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.Rand.Int64N(int64(d/2)+1))
}
