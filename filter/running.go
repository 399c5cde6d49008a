package filter

import (
	"sync"
	"time"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// supersededPollInterval is the interval at which the view is polled for promotions.
const supersededPollInterval = 10 * time.Millisecond

// breakable is a lease that another goroutine can end.
type breakable interface{ Break() }

// placement is the server at which a request runs, and the term under which it runs.
type placement struct {
	group  string
	server target.ID
	term   timeline.Term
}

// Running tracks the requests that run at primaries and ends them when their primary is superseded.
//
// Failure guarded against: a primary freezes while it runs a purchase. Two seconds later another
// server leads, but the purchase, and with it the caller, waits for the frozen server until its own
// deadline. Once the view has a later term under another server, the old one can no longer commit
// anything that is acknowledged, so its connections are closed. The request is then repeated at the
// new primary if its key or kind permits it, and answered immediately if not.
type Running struct {
	views *view.Holder

	mu         sync.Mutex
	placements map[breakable]placement
	seen       *view.View
}

// NewRunning returns an empty Running that polls h.
func NewRunning(h *view.Holder) *Running {
	return &Running{views: h, placements: map[breakable]placement{}}
}

// Enter records a request that runs at its group's primary. The returned function must be called
// before the lease is released: after it returns, the lease is not broken any more.
func (x *Running) Enter(r *Request, l breakable) (leave func()) {
	if !r.OnPrimary() {
		return func() {}
	}
	x.mu.Lock()
	x.placements[l] = placement{group: r.Group.Name, server: r.Server.ID, term: r.Term}
	x.mu.Unlock()
	return func() {
		x.mu.Lock()
		delete(x.placements, l)
		x.mu.Unlock()
	}
}

// Run polls the view for promotions until done is closed.
func (x *Running) Run(done <-chan struct{}) {
	ticker := time.NewTicker(supersededPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			x.poll()
		}
	}
}

func (x *Running) poll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.views.Load()
	if v == x.seen {
		return
	}
	x.seen = v
	for l, p := range x.placements {
		if p.superseded(v) {
			l.Break()
		}
	}
}

func (p placement) superseded(v *view.View) bool {
	g := v.Groups[p.group]
	return g != nil && g.Term > p.term && g.Primary != p.server
}
