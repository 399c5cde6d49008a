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
	// watchWait limits the wait of one watch call. Each call counts against the store's rate
	// limit, also one that waits.
	watchWait = 20 * time.Second
	// inactivePause is how often a VM that is not a watcher checks whether it has become one.
	inactivePause = time.Second
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 5 * time.Second
)

// handler receives the objects that changed up to a revision of the store. An object of version 0
// was deleted.
type handler func(ctx context.Context, changed []store.Object, revision int64)

// Watcher watches the objects below one prefix while this VM is one of the few designated watchers
// of its availability zone. All other VMs receive the changes from peers.
type Watcher struct {
	Store   store.Store
	Purpose store.Purpose
	Prefix  string
	Handle  handler
	// Active reports whether this VM currently watches the store.
	Active func() bool
	Rand   *rand.Rand
	Log    *zap.Logger

	// since is the revision from which the next watch continues. It is 0 until the first reply:
	// every VM makes the first call, because it needs the current objects once.
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
		err := w.watchOnce(ctx)
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

func (w *Watcher) watchOnce(ctx context.Context) error {
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

// jitter randomizes the retries of watchers that lost the store at the same time, so that they do
// not all call it at once when it is available again.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.Rand.Int64N(int64(d/2)+1))
}
