package lane

import (
	"container/heap"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// AcquireOptions holds a request's queue priority and its workspace.
type AcquireOptions struct {
	// Due is the time by which the answer must be sent to meet the objective.
	Due clock.Time
	// Priority is set by the operator; 0 is the highest. It breaks ties, and takes precedence over
	// Due at an overloaded target.
	Priority int
	// Workspace is the workspace that the request belongs to; empty if none. Only a connection that
	// was opened for the workspace serves it.
	Workspace string
	// Class identifies requests of similar work at the target, so that their service time can be
	// estimated; 0 if unknown.
	Class uint32
}

// before reports whether a request takes precedence over another one.
func (o AcquireOptions) before(b AcquireOptions, byPriority bool) bool {
	if byPriority && o.Priority != b.Priority {
		return o.Priority < b.Priority
	}
	if o.Due != b.Due {
		return o.Due.Before(b.Due)
	}
	return o.Priority < b.Priority
}

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
// If late requests wait and none has been served for starvedAfter, the target is overloaded. Until
// the backlog of requests in time has shrunk below overloadEndBacklog, late requests are refused,
// and so are new requests that would be late. Requests in time are then ordered by the operator's
// priority first: ordered by due time alone, short requests that are due soon would meet a long
// queue of others and be refused, and those with the longest objectives would be served.
//
// All this applies only if requests wait in this queue for a slot of the target (detectsLate). A
// lane that may fill the target's own queue, which is first come, first served, cannot predict
// which requests will be late: there, requests are ordered by due time alone.
type queue struct {
	inTime, late waiters
	detectsLate  bool
	// statementTime is the average time that the target takes for a statement, its own queue
	// included. A request that gets its connection with less time than this left before it is due
	// is answered late.
	statementTime time.Duration
	// lateServed is when a late request was last served, or when the first of the waiting ones
	// became late.
	lateServed clock.Time
	overloaded bool
}

// starvedAfter is how long no late request must have been served for the target to count as
// overloaded. A burst that is short compared with the objectives of 150 to 500 ms passes by itself.
const starvedAfter = 250 * time.Millisecond

// ahead returns the number of waiting requests that take precedence over a request.
func (q *queue) ahead(o AcquireOptions) int {
	n := 0
	for _, w := range q.inTime.all {
		if !o.before(w.opts, q.inTime.byPriority) {
			n++
		}
	}
	return n
}

// setOverloaded records whether the target is overloaded.
func (q *queue) setOverloaded(overloaded bool) {
	q.overloaded = overloaded
	if q.inTime.byPriority != overloaded {
		q.inTime.byPriority = overloaded
		heap.Init(&q.inTime)
	}
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
	for w := q.inTime.take(fits); w != nil; w = q.inTime.take(fits) {
		if !q.detectsLate || w.opts.Due.After(now.Add(q.statementTime)) {
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

// first returns the first request for which fits returns true without removing it.
func (q *queue) first(fits func(*waiter) bool) *waiter {
	if w := q.inTime.best(fits); w != nil {
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

// shedLate removes and returns the late requests if the target is overloaded. It also detects the
// start of an overload.
func (q *queue) shedLate(now clock.Time) []*waiter {
	if q.late.Len() > 0 && now.Sub(q.lateServed) > starvedAfter {
		q.setOverloaded(true)
	}
	if !q.overloaded {
		return nil
	}
	q.moveLate(now)
	var out []*waiter
	for q.late.Len() > 0 {
		out = append(out, heap.Pop(&q.late).(*waiter))
	}
	return out
}

// moveLate moves the requests that can no longer be in time to the late ones. While requests are
// ordered by priority first, these are not always at the head of the queue.
func (q *queue) moveLate(now clock.Time) {
	var late []*waiter
	for _, w := range q.inTime.all {
		if !w.opts.Due.After(now.Add(q.statementTime)) {
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

// waiters is a heap of requests: by due time, latest first (latestDueFirst), or by priority first
// (byPriority).
type waiters struct {
	all                        []*waiter
	latestDueFirst, byPriority bool
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
	a, b := h.all[i].opts, h.all[j].opts
	if h.latestDueFirst && a.Due != b.Due {
		return b.Due.Before(a.Due)
	}
	return a.before(b, h.byPriority)
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
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	n := len(h.all) - 1
	w := h.all[n]
	h.all[n] = nil
	h.all = h.all[:n]
	w.in = nil
	return w
}
