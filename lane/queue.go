package lane

import (
	"container/heap"
	"math/bits"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// AcquireOptions holds a request's queue priority and its workspace.
type AcquireOptions struct {
	// Due is the time by which the answer must be sent to meet the objective.
	Due clock.Time
	// Priority is set by the operator; 0 is the highest. It breaks ties, and takes precedence over
	// Due while not all requests can be in time.
	Priority int
	// Workspace is the workspace that the request belongs to; empty if none. Only a connection that
	// was opened for the workspace serves it.
	Workspace string
	// Class identifies requests of similar work at the target, so that their service time can be
	// estimated; 0 if unknown.
	Class uint32
	// Caller is a hash of who asks what, equal for the tries of one caller; 0 if unknown.
	Caller uint64
}

// before reports whether a request takes precedence over another one.
func (w *waiter) before(b *waiter, by order) bool {
	if by >= byPriority && w.opts.Priority != b.opts.Priority {
		return w.opts.Priority < b.opts.Priority
	}
	if by >= byWork && w.size() != b.size() {
		return w.size() < b.size()
	}
	if w.opts.Due != b.opts.Due {
		return w.opts.Due.Before(b.opts.Due)
	}
	return w.opts.Priority < b.opts.Priority
}

// size returns the magnitude of the request's expected work. Work that differs less than twofold is
// not told apart, because the estimates move by as much.
func (w *waiter) size() int { return bits.Len64(uint64(w.work / time.Millisecond)) }

// order is what the order of the requests in time is decided by.
type order uint8

const (
	byDue order = iota
	// byPriority is by priority, then by due time.
	byPriority
	// byWork is by priority, then by the magnitude of the expected work, then by due time.
	byWork
)

type delivery struct {
	conn *Conn
	err  error
}

type waiter struct {
	opts  AcquireOptions
	ready chan delivery
	held  *Conn // of a transaction that waits to run its next statement
	in    *waiters
	index int

	arrived clock.Time
	expires clock.Time    // when its caller waits no longer
	work    time.Duration // expected service time
	startBy clock.Time    // until when it must get its connection to be answered in time
}

// queue holds the waiting requests. Requests that can still meet their objective are served first,
// earliest due first. Late requests, which cannot, are served after them, latest due first.
//
// The order is designed for a load above the target's capacity, such as when both replicas of a
// service lag and all its reads go to the primary. Ordered by due time alone, late requests would
// be served before those that could still be in time, and every request would be served just after
// it was due. A late answer is of less use to its caller at any time; among the late requests the
// one due last has the most time left until its caller times out.
//
// The queue is pressed once a request arrives that would be in time but for the work ahead of it.
// Requests in time are then ordered by the operator's priority first: ordered by due time alone,
// short requests that are due soon would meet a long queue of others and be late, and those with
// the longest objectives would be served.
//
// If late requests wait and none has been served for starvedAfter, the target is overloaded. Of
// equal priority, those of less work go first then, because more of them can be in time; so that the
// others are not starved, one in fairTurn goes to the request that has waited for longest. Late
// requests are refused, unless their callers can wait for as long again as the queue has been pressed.
//
// Both states end when the work of the requests in time has shrunk below overloadEndBacklog.
//
// All this applies only if requests wait in this queue for a slot of the target (detectsLate). A
// lane that may fill the target's own queue, which is first come, first served, cannot predict
// which requests will be late: there, requests are ordered by due time alone.
type queue struct {
	inTime, late waiters
	detectsLate  bool
	// byCount is set if requests are admitted by their number instead of their expected work.
	byCount bool
	// times are how long the target takes for a statement, its own queue included. A request that
	// gets its connection with less time than this left before it is due is answered late.
	times serviceTimes
	// lateServed is when a late request was last served, or when the first of the waiting ones
	// became late.
	lateServed clock.Time
	// pressedSince is when the queue was last pressed.
	pressedSince clock.Time
	// shares are the workspaces' shares of the target.
	shares shares
	// turn counts the requests in time that were served.
	turn int
}

const (
	// starvedAfter is how long no late request must have been served for the target to count as
	// overloaded. A burst that is short compared with the objectives of 150 to 500 ms passes by
	// itself.
	starvedAfter = 250 * time.Millisecond
	// fairTurn bounds the wait of costly requests while short ones go first.
	fairTurn = 16
)

// ahead returns the number and the expected work of the waiting requests that take precedence over
// a request.
func (q *queue) ahead(w *waiter) (n int, work time.Duration) {
	if q.servesByShare() {
		return q.aheadByShare(w)
	}
	for _, other := range q.inTime.all {
		if !w.before(other, q.inTime.by) {
			n++
			work += other.work
		}
	}
	return n, work
}

// setOrder sets the order of the requests in time. The queue is overloaded from overloadOrder on.
func (q *queue) setOrder(now clock.Time, by order) {
	if q.inTime.by == by {
		return
	}
	if q.inTime.by == byDue {
		q.pressedSince = now
		q.shares.clear()
	}
	q.inTime.by = by
	heap.Init(&q.inTime)
}

// pressed reports whether some request cannot be in time because of the work ahead of it.
func (q *queue) pressed() bool { return q.inTime.by >= byPriority }

// overloaded reports whether late requests are not served.
func (q *queue) overloaded() bool { return q.inTime.by >= q.overloadOrder() }

// expect sets what is expected of a request that arrives now and may wait until the timeout.
func (q *queue) expect(w *waiter, now clock.Time, timeout time.Duration) {
	mean, deviation := q.times.of(now, w.opts.Class)
	if q.byCount {
		mean, deviation = q.times.average.mean, 0
	}
	w.arrived, w.expires, w.work, w.startBy = now, now.Add(timeout), mean, w.opts.Due.Add(-mean-deviation)
}

// outlasts reports whether a late request's caller may still wait when the queue is no longer
// pressed: if it has been for some time, it is expected to be for as long again.
func (q *queue) outlasts(w *waiter, now clock.Time) bool {
	return w.expires.Sub(now) > now.Sub(q.pressedSince)+w.work
}

// Len returns the number of waiting requests.
func (q *queue) Len() int { return q.inTime.Len() + q.late.Len() }

func (q *queue) push(w *waiter) {
	q.late.latestDueFirst = true
	q.inTime.push(w)
}

// anyone matches every request.
func anyone(*waiter) bool { return true }

// next removes and returns the first request for which fits returns true; nil if there is none.
func (q *queue) next(now clock.Time, fits func(*waiter) bool) *waiter {
	for w := q.takeInTime(fits); w != nil; w = q.takeInTime(fits) {
		if !q.detectsLate || now.Before(w.startBy) {
			q.turn++
			return w
		}
		if q.late.Len() == 0 {
			q.lateServed = now
		}
		q.late.push(w)
	}
	w := q.late.take(fits)
	if w != nil {
		q.lateServed = now
	}
	return w
}

// longestFirst reports whether it is the turn of the request that has waited for longest.
func (q *queue) longestFirst() bool { return q.inTime.by == byWork && q.turn%fairTurn == 0 }

// bestInTime returns the request in time whose turn it is.
func (q *queue) bestInTime(fits func(*waiter) bool) *waiter {
	if q.servesByShare() {
		return q.bestByShare(fits)
	}
	if !q.longestFirst() {
		return q.inTime.best(fits)
	}
	var longest *waiter
	for _, w := range q.inTime.all {
		if (longest == nil || w.arrived.Before(longest.arrived)) && fits(w) {
			longest = w
		}
	}
	return longest
}

// takeInTime removes and returns the result of bestInTime.
func (q *queue) takeInTime(fits func(*waiter) bool) *waiter {
	w := q.bestInTime(fits)
	if w != nil {
		w.remove()
	}
	return w
}

// first returns the first request for which fits returns true without removing it.
func (q *queue) first(fits func(*waiter) bool) *waiter {
	if w := q.bestInTime(fits); w != nil {
		return w
	}
	return q.late.best(fits)
}

// countByWorkspace returns the number of waiting requests of each workspace.
func (q *queue) countByWorkspace() map[string]int {
	out := make(map[string]int)
	for _, w := range q.inTime.all {
		out[w.opts.Workspace]++
	}
	for _, w := range q.late.all {
		out[w.opts.Workspace]++
	}
	return out
}

// shedLate removes and returns the late requests that are refused: those that can no longer be served
// before their callers time out, and those that are not expected to be because the target is
// overloaded. It also detects the start of an overload.
func (q *queue) shedLate(now clock.Time) []*waiter {
	if q.late.Len() > 0 && now.Sub(q.lateServed) > starvedAfter {
		q.setOrder(now, q.overloadOrder())
	}
	if q.overloaded() {
		q.moveLate(now)
	}
	var out []*waiter
	for _, w := range q.late.all {
		if q.isShed(w, now) {
			out = append(out, w)
		}
	}
	for _, w := range out {
		w.remove()
	}
	return out
}

// isShed reports whether a late request is refused.
func (q *queue) isShed(w *waiter, now clock.Time) bool {
	if q.byCount {
		return q.overloaded()
	}
	return !now.Add(w.work).Before(w.expires) || q.overloaded() && !q.outlasts(w, now)
}

// moveLate moves the requests that can no longer be in time to the late ones. While requests are
// ordered by priority first, these are not always at the head of the queue.
func (q *queue) moveLate(now clock.Time) {
	var late []*waiter
	for _, w := range q.inTime.all {
		if !now.Before(w.startBy) {
			late = append(late, w)
		}
	}
	for _, w := range late {
		heap.Remove(&q.inTime, w.index)
		q.late.push(w)
	}
}

// remove removes a request that waits no longer, and reports whether it was still queued.
func (w *waiter) remove() bool {
	if w.in == nil {
		return false
	}
	heap.Remove(w.in, w.index)
	return true
}

// waiters is a heap of requests, in an order or by due time, latest first.
type waiters struct {
	all            []*waiter
	latestDueFirst bool
	by             order
	work           time.Duration // of all
	workspaces     map[string]int
}

var _ heap.Interface = (*waiters)(nil)

func (h *waiters) push(w *waiter) { heap.Push(h, w) }

// best returns the first request for which fits returns true; nil if there is none.
func (h *waiters) best(fits func(*waiter) bool) *waiter {
	best := -1
	for i, w := range h.all {
		if !fits(w) {
			continue
		}
		if i == 0 {
			return w
		}
		if best < 0 || h.Less(i, best) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return h.all[best]
}

// take removes and returns the result of best.
func (h *waiters) take(fits func(*waiter) bool) *waiter {
	w := h.best(fits)
	if w != nil {
		heap.Remove(h, w.index)
	}
	return w
}

// Len implements heap.Interface.
func (h *waiters) Len() int { return len(h.all) }

// Less implements heap.Interface.
func (h *waiters) Less(i, j int) bool {
	a, b := h.all[i], h.all[j]
	if h.latestDueFirst && a.opts.Due != b.opts.Due {
		return b.opts.Due.Before(a.opts.Due)
	}
	return a.before(b, h.by)
}

// Swap implements heap.Interface.
func (h *waiters) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].index, h.all[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.in, w.index = h, len(h.all)
	h.all = append(h.all, w)
	h.work += w.work
	if h.workspaces == nil {
		h.workspaces = make(map[string]int)
	}
	h.workspaces[w.opts.Workspace]++
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	n := len(h.all) - 1
	w := h.all[n]
	h.all[n] = nil
	h.all = h.all[:n]
	h.work -= w.work
	if h.workspaces[w.opts.Workspace]--; h.workspaces[w.opts.Workspace] == 0 {
		delete(h.workspaces, w.opts.Workspace)
	}
	w.in = nil
	return w
}
