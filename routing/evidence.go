package routing

import (
	"math"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// latencyGain is the weight of a new latency in the moving average.
	latencyGain = 0.1
	// failureGain is the weight of a new outcome in the failure average.
	failureGain = 0.2
	// maxGain bounds the weight, which grows with the time since the last answer relative to
	// averagingWindow: a server that receives only a trickle is assessed by its last few answers.
	maxGain         = 0.5
	averagingWindow = time.Second
)

// witness records that a replica had promised no term above promised when it was queried.
type witness struct {
	promised timeline.Term
	asked    clock.Time
	ok       bool
}

// report is a server's last status with the time at which it was queried. It is immutable except
// for counted.
type report struct {
	status target.Status
	asked  clock.Time
	// counted is set once the histogram includes the report's lag.
	counted atomic.Bool
	// current witnesses the server's newest promise, and previous the promise before it, so that
	// samples of the earlier term remain proven.
	current, previous witness
}

// witnessed returns the latest time at which the server, as a replica, had promised no term above
// the given one.
func (r *report) witnessed(term timeline.Term) (clock.Time, bool) {
	if r.current.ok && r.current.promised <= term {
		return r.current.asked, true
	}
	if r.previous.ok && r.previous.promised <= term {
		return r.previous.asked, true
	}
	return 0, false
}

// evidence is the Tracker's state for one server. All fields are atomics.
type evidence struct {
	report      atomic.Pointer[report]
	outstanding atomic.Int64
	// progress is the time of the last answer or, after an idle period, of the first request.
	progress atomic.Int64
	// answered is the time of the last answer.
	answered atomic.Int64
	// latency is the moving average in nanoseconds, as float64 bits.
	latency atomic.Uint64
	// failureAverage is the moving average of failures, from 0 to 1, as float64 bits.
	failureAverage atomic.Uint64
	// trickled is the time of the last request that was sent to detect a recovery.
	trickled atomic.Int64
	// lag is the distribution of the replica's lag.
	lag lagHistogram
}

func (e *evidence) observe(st target.Status, asked clock.Time) {
	for {
		old := e.report.Load()
		if old != nil && old.asked > asked {
			return
		}
		if e.report.CompareAndSwap(old, nextReport(old, st, asked)) {
			return
		}
	}
}

func nextReport(old *report, st target.Status, asked clock.Time) *report {
	next := &report{status: st, asked: asked}
	if old != nil {
		next.current, next.previous = old.current, old.previous
	}
	if st.Role != target.RoleReplica {
		return next
	}
	if next.current.ok && next.current.promised != st.Promised {
		next.previous = next.current
	}
	next.current = witness{promised: st.Promised, asked: asked, ok: true}
	return next
}

func (e *evidence) begin(now clock.Time) {
	if e.outstanding.Add(1) == 1 {
		e.progress.Store(int64(now))
	}
}

func (e *evidence) end(now clock.Time, latency time.Duration, failed bool) {
	e.outstanding.Add(-1)
	last := clock.Time(e.answered.Swap(int64(now)))
	e.progress.Store(int64(now))
	aged := min(float64(now.Sub(last))/float64(averagingWindow), maxGain)
	if failed {
		average(&e.failureAverage, 1, max(failureGain, aged))
		return
	}
	average(&e.failureAverage, 0, max(failureGain, aged))
	if latency > 0 {
		average(&e.latency, float64(latency), max(latencyGain, aged))
	}
}

// average moves the average in a toward x. The first latency replaces the initial value; an average
// of failures starts at zero.
func average(a *atomic.Uint64, x, gain float64) {
	for {
		bits := a.Load()
		old := math.Float64frombits(bits)
		next := old + gain*(x-old)
		if bits == 0 && x > 1 {
			next = x
		}
		if a.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

// stall returns how long the server has had outstanding requests without answering any of them.
func (e *evidence) stall(now clock.Time) time.Duration {
	if e.outstanding.Load() <= 0 {
		return 0
	}
	return max(now.Sub(clock.Time(e.progress.Load())), 0)
}

// service returns the expected time of a request: the average latency, or the current stall if that
// is longer.
func (e *evidence) service(now clock.Time) time.Duration {
	mean := time.Duration(math.Float64frombits(e.latency.Load()))
	return max(mean, e.stall(now))
}

func (e *evidence) failureRate() float64 {
	return math.Float64frombits(e.failureAverage.Load())
}

// recordLag records the lag of a report once. The report's data was current as of at when its query
// was sent.
func (e *evidence) recordLag(rep *report, at clock.Time) {
	if rep.counted.Load() || !rep.counted.CompareAndSwap(false, true) {
		return
	}
	e.lag.add(max(rep.asked.Sub(at), 0))
}

// claimTrickle reports whether a server that has answered nothing and was sent no trickle request
// for trickleInterval may receive one request now. If so, it records that request.
func (e *evidence) claimTrickle(now clock.Time) bool {
	last := max(e.trickled.Load(), e.answered.Load())
	if now.Sub(clock.Time(last)) < trickleInterval {
		return false
	}
	last = e.trickled.Load()
	return e.trickled.CompareAndSwap(last, int64(now))
}
