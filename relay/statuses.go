package relay

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/target"
)

// Statuses sends status queries to targets over this VM's own connections, and caches the latest
// status report of each target. It is safe for concurrent use.
//
// Failure guarded against: each VM of a large fleet sends the same status queries to the same
// targets, and the queries take slots from consumers' statements and grow with the fleet. A
// requester that states how old a report may be gets a cached one, or shares a query that is in
// flight.
type Statuses struct {
	ctl Controller
	clk clock.Clock

	mu       sync.Mutex
	byTarget map[target.ID]*cachedStatus
}

// Controller sends a target one of the fleet's status queries or commands.
type Controller interface {
	Control(ctx context.Context, id target.ID, cmd lane.Command, timeout time.Duration) ([]string, error)
}

// cachedStatus is the latest status report of a target, and the newest query in flight.
type cachedStatus struct {
	rows   []string
	sent   clock.Time
	latest *statusQuery
}

// statusQuery is a status query in flight. Its result is set before done is closed.
type statusQuery struct {
	sent clock.Time
	done chan struct{}
	rows []string
	err  error
}

// NewStatuses returns Statuses that send their queries with ctl.
func NewStatuses(ctl Controller, clk clock.Clock) *Statuses {
	return &Statuses{ctl: ctl, clk: clk, byTarget: make(map[target.ID]*cachedStatus)}
}

// Recent returns the rows of a status report whose query was sent at most maxAge before this call,
// and how long before: 0 if it was sent since.
func (s *Statuses) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	now := s.clk.Now()
	s.mu.Lock()
	a := s.byTarget[id]
	if a == nil {
		a = &cachedStatus{}
		s.byTarget[id] = a
	}
	if a.rows != nil && now.Sub(a.sent) <= maxAge && maxAge > 0 {
		rows, age := a.rows, now.Sub(a.sent)
		s.mu.Unlock()
		return rows, age, nil
	}
	q := a.latest
	if q == nil || maxAge == 0 || now.Sub(q.sent) > maxAge {
		q = &statusQuery{sent: now, done: make(chan struct{})}
		a.latest = q
		go s.query(id, a, q, timeout)
	}
	s.mu.Unlock()
	select {
	case <-q.done:
		return q.rows, max(now.Sub(q.sent), 0), q.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// query sends the status query. Later requesters share it, so that it continues if the first
// requester cancels.
func (s *Statuses) query(id target.ID, a *cachedStatus, q *statusQuery, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q.rows, q.err = s.ctl.Control(ctx, id, lane.StatusCommand, timeout)
	s.mu.Lock()
	if q.err == nil && q.sent >= a.sent {
		a.rows, a.sent = q.rows, q.sent
	}
	if a.latest == q {
		a.latest = nil
	}
	s.mu.Unlock()
	close(q.done)
}

// Retain drops the targets that are not in the catalog.
func (s *Statuses) Retain(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.byTarget {
		if c.Targets[id] == nil {
			delete(s.byTarget, id)
		}
	}
}

var _ groups.ControlClient = ControlClient{}
