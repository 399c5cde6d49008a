package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// balancerNoticeTime is how long a leaving VM serves as before: the balancer polls once a
	// second and needs two refusals to send consumers elsewhere. Consumers whose idle sessions are
	// closed sooner reconnect to this VM.
	balancerNoticeTime = 2300 * time.Millisecond
	// interruptInterval is how often idle sessions are interrupted so that they notice the
	// shutdown.
	interruptInterval = 50 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process
	// before it is killed.
	exitReserve = 700 * time.Millisecond
	// transactionFraction is the fraction of the grace period during which open transactions may
	// continue.
	transactionFraction = 0.5
)

// shutdownState is the state of a daemon's shutdown.
type shutdownState struct{ leaving atomic.Bool }

// readyHandler handles the balancer's readiness checks. It responds 200 while this VM can serve and
// is not leaving.
func (e *Edge) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.shutdown.leaving.Load() || !e.catalog.Load().Complete() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// shutDownGracefully reports not ready at once, closes sessions between operations after the
// balancer has had time to notice, ends open transactions after their fraction of the grace period,
// and returns before the process is killed.
func (e *Edge) shutDownGracefully(ctx context.Context) {
	start := time.Now()
	grace := e.settings.StopTimeout()
	e.log.Info("leaving", zap.Int("sessions", e.sessions.count()), zap.Duration("grace", grace))
	e.shutdown.leaving.Store(true)
	go e.fleetEntry.remove(ctx)
	time.Sleep(min(balancerNoticeTime, grace/3))
	e.sessions.closing.Store(true)
	for e.sessions.count()+e.relay.Count() > 0 && time.Since(start) < grace-exitReserve {
		if time.Since(start) > time.Duration(float64(grace)*transactionFraction) {
			e.sessions.aborting.Store(true)
		}
		e.sessions.interrupt()
		time.Sleep(interruptInterval)
	}
	for _, ln := range e.listeners {
		_ = ln.Close()
	}
	for _, s := range e.servers {
		s.SetKeepAlivesEnabled(false)
	}
	e.log.Info("left", zap.Int("sessions", e.sessions.count()), zap.Duration("after", time.Since(start)))
}

// closesAsItLeaves closes each connection with its first reply once this VM is leaving.
//
// Failure guarded against: peers keep their connections to a process that ends. A statement sent as
// it exits is lost, and while it still answers it declines those meant for the VM's next process.
func (e *Edge) closesAsItLeaves(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.shutdown.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
