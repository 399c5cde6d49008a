package filter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/outcome"
)

// comeBackSoon is the advice when a queue on this proxy is full.
const comeBackSoon = 250 * time.Millisecond

// Bounder bounds the requests of each profile that wait on this proxy.
//
// Failure guarded against: one service's backlog fills the proxy's memory and
// queues, which shows as every other service being late. Its own requests are
// refused instead, at once and before anything was sent.
type Bounder struct {
	waiting sync.Map // profile name -> *atomic.Int64
}

// Handle counts the request while it is queued or in flight.
func (b *Bounder) Handle(ctx context.Context, r *Request, next Handler) *Failure {
	p := r.Session.Profile
	n := b.counter(p.Name)
	defer n.Add(-1)
	if n.Add(1) > int64(p.MaxQueued) && p.MaxQueued > 0 {
		return Refusal(outcome.Refuse(outcome.CodeOverloaded, comeBackSoon,
			"profile %q has %d requests waiting on this proxy", p.Name, p.MaxQueued))
	}
	return next(ctx, r)
}

func (b *Bounder) counter(name string) *atomic.Int64 {
	if n, ok := b.waiting.Load(name); ok {
		return n.(*atomic.Int64)
	}
	n, _ := b.waiting.LoadOrStore(name, new(atomic.Int64))
	return n.(*atomic.Int64)
}
