package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// noticeTime is how long a leaving VM goes on as before: the balancer asks
	// once a second, and needs two refusals to send consumers elsewhere. Idle
	// sessions that are closed sooner come back to this VM.
	noticeTime = 2300 * time.Millisecond
	// interruptEvery is how often sessions are woken to see that they end.
	interruptEvery = 50 * time.Millisecond
	// endReserve is left of the time to the kill, for the process's own end.
	endReserve = 700 * time.Millisecond
	// transactionPart is the part of that time which open transactions have.
	transactionPart = 0.5
)

// ends is the state of a daemon's end.
type ends struct{ leaving atomic.Bool }

// readyHandler answers the balancer: 200 while this VM can serve and stays.
func (e *Edge) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.ends.leaving.Load() || !e.catalog.Load().Complete() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// end leaves gracefully: not ready at once, sessions closed between operations
// once the balancer has had time to notice, open transactions ended after
// their part of the time, and gone before the kill.
func (e *Edge) end(ctx context.Context) {
	start := time.Now()
	grace := e.set.Stop()
	e.log.Info("leaving", zap.Int("sessions", e.sessions.count()), zap.Duration("grace", grace))
	e.ends.leaving.Store(true)
	go e.fleet.leave(ctx)
	time.Sleep(min(noticeTime, grace/3))
	e.sessions.closing.Store(true)
	for e.sessions.count()+e.relay.Count() > 0 && time.Since(start) < grace-endReserve {
		if time.Since(start) > time.Duration(float64(grace)*transactionPart) {
			e.sessions.aborting.Store(true)
		}
		e.sessions.interrupt()
		time.Sleep(interruptEvery)
	}
	for _, ln := range e.listeners {
		_ = ln.Close()
	}
	e.log.Info("left", zap.Int("sessions", e.sessions.count()), zap.Duration("after", time.Since(start)))
}
