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
	// maxGain is the weight when the last answer is memory or more ago: a
	// server that gets only a trickle is judged by its last few answers.
	maxGain = 0.5
	memory  = time.Second
)

// witness says that a replica had promised no more than promised when asked.
type witness struct {
	promised timeline.Term
	asked    clock.Time
	ok       bool
}

// report is a server's last status with the instant it was asked for. It is
// immutable but for counted.
type report struct {
	status target.Status
	asked  clock.Time
	// counted is set once the report's lag is in the histogram.
	counted atomic.Bool
	// now and before witness for the promise that the server holds and for the
	// one that it held before: samples of the older term stay proven.
	now, before witness
}

// witnessed returns the latest instant at which the server, as a replica, had
// promised nothing above term.
func (r *report) witnessed(term timeline.Term) (clock.Time, bool) {
	if r.now.ok && r.now.promised <= term {
		return r.now.asked, true
	}
	if r.before.ok && r.before.promised <= term {
		return r.before.asked, true
	}
	return 0, false
}

// evidence is what the Board knows of one server. All fields are atomics.
type evidence struct {
	report      atomic.Pointer[report]
	outstanding atomic.Int64
	// progress is the instant of the last answer, or of the first request
	// after a pause.
	progress atomic.Int64
	// answered is the instant of the last answer.
	answered atomic.Int64
	// latency is the moving average in nanoseconds, as float64 bits.
	latency atomic.Uint64
	// failing is the moving average of failures, from 0 to 1, as float64 bits.
	failing atomic.Uint64
	// trickled is the instant of the last request sent to learn of a recovery.
	trickled atomic.Int64
	// lag counts how long the replica took to reach positions.
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
		next.now, next.before = old.now, old.before
	}
	if st.Role != target.RoleReplica {
		return next
	}
	if next.now.ok && next.now.promised != st.Promised {
		next.before = next.now
	}
	next.now = witness{promised: st.Promised, asked: asked, ok: true}
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
	aged := min(float64(now.Sub(last))/float64(memory), maxGain)
	if failed {
		average(&e.failing, 1, max(failureGain, aged))
		return
	}
	average(&e.failing, 0, max(failureGain, aged))
	if latency > 0 {
		average(&e.latency, float64(latency), max(latencyGain, aged))
	}
}

// average moves the average in a towards x. The first value is taken whole for
// a latency; a failure average starts at zero by nature.
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

// stall is how long the server has had work without answering any of it.
func (e *evidence) stall(now clock.Time) time.Duration {
	if e.outstanding.Load() <= 0 {
		return 0
	}
	return max(now.Sub(clock.Time(e.progress.Load())), 0)
}

// service is the time that a request is expected to take: the average latency,
// or the present stall if that is already longer.
func (e *evidence) service(now clock.Time) time.Duration {
	mean := time.Duration(math.Float64frombits(e.latency.Load()))
	return max(mean, e.stall(now))
}

func (e *evidence) failureShare() float64 {
	return math.Float64frombits(e.failing.Load())
}

// countLag notes the lag of a report, once: its data was current as of at when
// it was asked for.
func (e *evidence) countLag(rep *report, at clock.Time) {
	if rep.counted.Load() || !rep.counted.CompareAndSwap(false, true) {
		return
	}
	e.lag.add(max(rep.asked.Sub(at), 0))
}

// takeTrickle reports whether a server that has answered nothing for a while
// may get one request now.
func (e *evidence) takeTrickle(now clock.Time) bool {
	last := max(e.trickled.Load(), e.answered.Load())
	if now.Sub(clock.Time(last)) < trickleEvery {
		return false
	}
	last = e.trickled.Load()
	return e.trickled.CompareAndSwap(last, int64(now))
}
