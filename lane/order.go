package lane

import (
	"container/heap"

	"endivemoor.example/endivemoor/clock"
)

// Order says how urgent a request is.
type Order struct {
	// Due is when its answer should be there to meet the objective.
	Due clock.Time
	// Priority breaks ties; 0 is the highest.
	Priority int
}

// before reports whether a goes first. Those whose objective can still be met
// go before those that are late already: a late one earns little whenever it is
// served, and first come first served would let a short burst make every
// request after it late as well. Among equals the one due first goes first.
func (a *waiter) before(b *waiter) bool {
	if a.order.Due != b.order.Due {
		return a.order.Due < b.order.Due
	}
	return a.order.Priority < b.order.Priority
}

type delivery struct {
	conn *Conn
	err  error
}

type waiter struct {
	order   Order
	arrived clock.Time
	ready   chan delivery
	index   int
}

// queue is a heap of requests that wait.
type queue []*waiter

var _ heap.Interface = (*queue)(nil)

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	w := old[n]
	old[n] = nil
	*q = old[:n]
	w.index = -1
	return w
}
