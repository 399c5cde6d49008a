package filter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/outcome"
)

// queueFullRetryAfter is the retry-after when the profile's queue on this proxy is full.
const queueFullRetryAfter = 250 * time.Millisecond

// QueueLimiter limits, for each profile, the number of requests that wait on this proxy.
//
// Failure guarded against: the backlog of one service fills the proxy's memory and queues, and the
// requests of every other service are late. The excess requests of that service are refused
// instead, immediately and before anything is sent to a target.
type QueueLimiter struct {
	waiting sync.Map // profile name -> *atomic.Int64
}

// Handle counts the request while it is queued or in flight.
func (b *QueueLimiter) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	p := r.Session.Profile
	n := b.counter(p.Name)
	defer n.Add(-1)
	if n.Add(1) > int64(p.MaxQueued) && p.MaxQueued > 0 {
		return Refusal(outcome.Refuse(outcome.CodeOverloaded, queueFullRetryAfter,
			"profile %q has %d requests waiting on this proxy", p.Name, p.MaxQueued))
	}
	return next(ctx, r)
}

func (b *QueueLimiter) counter(name string) *atomic.Int64 {
	if n, ok := b.waiting.Load(name); ok {
		return n.(*atomic.Int64)
	}
	n, _ := b.waiting.LoadOrStore(name, new(atomic.Int64))
	return n.(*atomic.Int64)
}
