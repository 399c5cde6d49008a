package pool

import (
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// grant is what a waiter receives: a connection, or the reason for none.
type grant struct {
	conn *conn
	err  error
}

// waiter stands in a server's queue. Its channel holds one grant.
type waiter struct{ ready chan grant }

// server is the list of one target's connections, guarded by Pool.mu.
type server struct {
	id      target.ID
	addr    string
	quota   quota
	share   int
	idle    []*conn
	all     map[*conn]struct{}
	waiters []*waiter
	// retired servers take no connection back.
	retired bool
	lastErr error
}

func newServer(s *view.Server) *server {
	return &server{id: s.ID, addr: s.Addr, all: map[*conn]struct{}{}}
}

// popIdle returns the connection that was used last, or nil. Those at the
// other end grow old and are closed.
func (s *server) popIdle() *conn {
	n := len(s.idle)
	if n == 0 {
		return nil
	}
	c := s.idle[n-1]
	s.idle = s.idle[:n-1]
	return c
}

// popWaiter returns the one who waits longest, or nil.
func (s *server) popWaiter() *waiter {
	if len(s.waiters) == 0 {
		return nil
	}
	w := s.waiters[0]
	s.waiters = s.waiters[1:]
	return w
}

// leave removes w and reports whether it was still waiting.
func (s *server) leave(w *waiter) bool {
	for i, x := range s.waiters {
		if x == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// refuseAll tells every waiter that there is nothing to wait for.
func (s *server) refuseAll(err error) {
	for w := s.popWaiter(); w != nil; w = s.popWaiter() {
		w.ready <- grant{err: err}
	}
}

// overShare reports whether the share shrank below what is open.
func (s *server) overShare() bool { return s.quota.open > s.share }
