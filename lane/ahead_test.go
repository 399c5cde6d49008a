package lane

import (
	"strconv"
	"testing"
	"time"

	"endivemoor.example/endivemoor/clock"
)

// pressedQueue returns a pressed queue of 500 requests of 85 workspaces.
func pressedQueue() *queue {
	q := &queue{detectsLate: true}
	for i := range 500 {
		q.push(&waiter{opts: AcquireOptions{Due: clock.Time(i), Workspace: "tenant-" + strconv.Itoa(i*7%85)}, work: 20 * time.Millisecond})
	}
	q.setOrder(1, byPriority)
	for i := range 85 {
		q.shares.charge("tenant-"+strconv.Itoa(i), time.Duration(i)*time.Millisecond)
	}
	return q
}

// BenchmarkAheadByShare measures the decision about one arrival.
func BenchmarkAheadByShare(b *testing.B) {
	q, w := pressedQueue(), &waiter{opts: AcquireOptions{Due: 250, Workspace: "tenant-3"}}
	for b.Loop() {
		q.ahead(w)
	}
}

// BenchmarkBestByShare measures the choice of the next request.
func BenchmarkBestByShare(b *testing.B) {
	q := pressedQueue()
	for b.Loop() {
		q.bestByShare(anyone)
	}
}
