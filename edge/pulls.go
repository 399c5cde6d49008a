package edge

import (
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/wait"
)

// updatesLostAfter is how long no peer must have answered before a VM logs that it receives no
// updates.
const updatesLostAfter = time.Second

// isolatedAfter is how long no peer must have been reached before a VM considers itself isolated:
// two rounds of pulls and the timeout of a call.
const isolatedAfter = 600 * time.Millisecond

// Results of pulls, as labels of the metric.
const (
	pullAnswered = "answered"
	pullTimedOut = "timed-out"
	pullFailed   = "failed"
)

// pullOutcomes records the results of pulls: counters by result, and a log line when updates stop
// and when they resume.
type pullOutcomes struct {
	log     *zap.Logger
	results *prometheus.CounterVec

	mu       sync.Mutex
	answered clock.Time
	// reached is when a peer last answered, or its host last refused a connection.
	reached clock.Time
	missed  int
	lost    bool
}

func newPullOutcomes(log *zap.Logger, r prometheus.Registerer, started clock.Time) pullOutcomes {
	results := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivemoor_pulls_total", Help: "Pulls of news from peers, by result."}, []string{"result"})
	r.MustRegister(results)
	return pullOutcomes{log: log, results: results, answered: started, reached: started}
}

// record records the result of one pull from a peer.
func (o *pullOutcomes) record(now clock.Time, peer string, err error) {
	o.results.WithLabelValues(pullResult(err)).Inc()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		o.reached = now
	}
	if err != nil {
		o.missed++
		o.logLost(now, peer, err)
		return
	}
	if o.lost {
		o.log.Info("news-regained", zap.Duration("after", now.Sub(o.answered)), zap.Int("missed", o.missed), zap.String("peer", peer))
	}
	o.answered, o.missed, o.lost = now, 0, false
}

func (o *pullOutcomes) logLost(now clock.Time, peer string, err error) {
	if o.lost || now.Sub(o.answered) < updatesLostAfter {
		return
	}
	o.lost = true
	o.log.Warn("news-lost", zap.Int("missed", o.missed), zap.String("peer", peer), zap.String("result", pullResult(err)), zap.Error(err))
}

// reaches reports whether this VM has recently reached any peer, or has not tried.
func (o *pullOutcomes) reaches(now clock.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.missed == 0 || now.Sub(o.reached) < isolatedAfter
}

func pullResult(err error) string {
	switch {
	case err == nil:
		return pullAnswered
	case wait.IsTimeout(err):
		return pullTimedOut
	default:
		return pullFailed
	}
}
