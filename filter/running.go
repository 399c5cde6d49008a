package filter

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// supersededPoll is how often the view is looked at for promotions.
const supersededPoll = 10 * time.Millisecond

// breaker is a lease that can be ended from another goroutine.
type breaker interface{ Break() }

// place is where and under which term a request runs.
type place struct {
	group  string
	server target.ID
	term   timeline.Term
}

// Running knows the requests that run at primaries, and ends them when their
// primary is superseded.
//
// Failure guarded against: a primary freezes with a purchase on it. Two seconds
// later another server leads, but the purchase still waits for the frozen one
// until its own deadline, and so does its passenger. Once the view has a later
// term under another server the old one can commit nothing that counts, so its
// connections are closed: the request is repeated at the new primary if its key
// or kind allows it, and answered at once if not.
type Running struct {
	views *view.Holder

	mu     sync.Mutex
	places map[breaker]place
	seen   *view.View
}

// NewRunning returns an empty set over the holder.
func NewRunning(h *view.Holder) *Running {
	return &Running{views: h, places: map[breaker]place{}}
}

// Enter notes a request that runs at its group's primary. The returned function
// must be called before the lease is given back: after it the lease is broken no
// more.
func (x *Running) Enter(r *Request, l breaker) (leave func()) {
	if !r.OnPrimary() {
		return func() {}
	}
	x.mu.Lock()
	x.places[l] = place{group: r.Group.Name, server: r.Server.ID, term: r.Term}
	x.mu.Unlock()
	return func() {
		x.mu.Lock()
		delete(x.places, l)
		x.mu.Unlock()
	}
}

// Run looks for promotions until done is closed.
func (x *Running) Run(done <-chan struct{}) {
	ticker := time.NewTicker(supersededPoll)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			x.look()
		}
	}
}

func (x *Running) look() {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.views.Load()
	if v == x.seen {
		return
	}
	x.seen = v
	for l, p := range x.places {
		if p.superseded(v) {
			l.Break()
		}
	}
}

func (p place) superseded(v *view.View) bool {
	g := v.Groups[p.group]
	return g != nil && g.Term > p.term && g.Primary != p.server
}
