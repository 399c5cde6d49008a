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

// Statuses asks targets for their accounts of themselves over this VM's own
// connections, and keeps what they last said. It is safe for concurrent use.
//
// Failure guarded against: each VM of a large fleet asks the same targets the same
// questions, which take slots from consumers' statements and grow with the fleet.
// Whoever says how old an answer may be is told what another was told just now, and
// shares a question that is under way.
type Statuses struct {
	ctl Controller
	clk clock.Clock

	mu sync.Mutex
	at map[target.ID]*account
}

// Controller sends a target one of the fleet's questions or orders.
type Controller interface {
	Control(ctx context.Context, id target.ID, ask lane.Command, timeout time.Duration) ([]string, error)
}

// account is what a target last said, and the latest question.
type account struct {
	rows   []string
	sent   clock.Time
	latest *asking
}

// asking is a question under way. Its result is set before done is closed.
type asking struct {
	sent clock.Time
	done chan struct{}
	rows []string
	err  error
}

// NewStatuses returns Statuses that ask by ctl.
func NewStatuses(ctl Controller, clk clock.Clock) *Statuses {
	return &Statuses{ctl: ctl, clk: clk, at: make(map[target.ID]*account)}
}

// Recent returns the rows of an account that was asked for at most maxAge before
// this call, and how long before: 0 if it was asked for since.
func (s *Statuses) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	now := s.clk.Now()
	s.mu.Lock()
	a := s.at[id]
	if a == nil {
		a = &account{}
		s.at[id] = a
	}
	if a.rows != nil && now.Sub(a.sent) <= maxAge && maxAge > 0 {
		rows, age := a.rows, now.Sub(a.sent)
		s.mu.Unlock()
		return rows, age, nil
	}
	q := a.latest
	if q == nil || maxAge == 0 || now.Sub(q.sent) > maxAge {
		q = &asking{sent: now, done: make(chan struct{})}
		a.latest = q
		go s.ask(id, a, q, timeout)
	}
	s.mu.Unlock()
	select {
	case <-q.done:
		return q.rows, max(now.Sub(q.sent), 0), q.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// ask puts the question. It is not its first asker's alone, and goes on without it.
func (s *Statuses) ask(id target.ID, a *account, q *asking, timeout time.Duration) {
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

// Keep forgets the targets that are not known any more.
func (s *Statuses) Keep(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.at {
		if c.Targets[id] == nil {
			delete(s.at, id)
		}
	}
}

var _ groups.Asker = Asker{}
