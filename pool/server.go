package pool

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// grant is the result for a waiter: a connection, or the reason why there is none.
type grant struct {
	conn *conn
	err  error
}

// waiter is an entry in a server's queue. Its channel is buffered for one grant.
type waiter struct{ ready chan grant }

// server holds the connections to one target. Pool.mu guards it.
type server struct {
	id      target.ID
	addr    string
	quota   quota
	share   int
	idle    []*conn
	all     map[*conn]struct{}
	waiters []*waiter
	// retired is set once the server accepts no more connections back; they are closed instead.
	retired bool
	lastErr error
}

func newServer(s *view.Server) *server {
	return &server{id: s.ID, addr: s.Addr, all: map[*conn]struct{}{}}
}

// popIdle returns the most recently used idle connection, or nil. The least recently used ones
// reach IdleTimeout and are closed.
func (s *server) popIdle() *conn {
	n := len(s.idle)
	if n == 0 {
		return nil
	}
	c := s.idle[n-1]
	s.idle = s.idle[:n-1]
	return c
}

// popWaiter returns the waiter that has waited longest, or nil.
func (s *server) popWaiter() *waiter {
	if len(s.waiters) == 0 {
		return nil
	}
	w := s.waiters[0]
	s.waiters = s.waiters[1:]
	return w
}

// removeWaiter removes w and reports whether it was still in the queue.
func (s *server) removeWaiter(w *waiter) bool {
	for i, x := range s.waiters {
		if x == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// refuseAll sends err to every waiter.
func (s *server) refuseAll(err error) {
	for w := s.popWaiter(); w != nil; w = s.popWaiter() {
		w.ready <- grant{err: err}
	}
}

// overShare reports whether more connections are open than the share permits, as after the share
// was reduced.
func (s *server) overShare() bool { return s.quota.open > s.share }
