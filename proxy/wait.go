package proxy

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
)

// shuttingDown is the answer of a proxy that drains. The request did not run:
// the caller may ask another proxy at once.
func shuttingDown() *outcome.Error {
	return outcome.Refuse(outcome.CodeAdminShutdown, time.Millisecond, "this proxy is shutting down")
}

// beginWait notes what the session waits for, and returns until when. It
// reports false if the session is to end instead.
func (s *caller) beginWait(w waitFor, fresh bool) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !fresh {
		return time.Now().Add(s.srv.cfg.Limits.Message), true
	}
	if s.draining && w == awaitRequest && !s.skipping {
		return time.Time{}, false
	}
	s.waits = w
	return s.waitLimit(w), true
}

func (s *caller) waitLimit(w waitFor) time.Time {
	if w != awaitStatement {
		return time.Time{}
	}
	limit := time.Now().Add(s.srv.cfg.Limits.IdleInTransaction)
	if s.draining && s.grace.Before(limit) {
		return s.grace
	}
	return limit
}

// drainMissed closes the gap between beginWait and the setting of the read
// deadline, in which a drain may have set its own.
func (s *caller) drainMissed(w waitFor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining || s.skipping {
		return false
	}
	if w == awaitStatement {
		_ = s.raw.SetReadDeadline(s.waitLimit(w))
		return false
	}
	return w == awaitRequest
}

func (s *caller) setBusy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = busy
}

func (s *caller) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// drain ends the session if it waits for a request, and gives an open
// transaction its grace. Others see the mark when their request has ended.
func (s *caller) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.grace = time.Now()
	if p := s.state.Profile; p != nil {
		s.grace = s.grace.Add(p.DrainGrace)
	}
	switch s.waits {
	case awaitRequest:
		_ = s.raw.SetReadDeadline(time.Now())
	case awaitStatement:
		_ = s.raw.SetReadDeadline(s.waitLimit(awaitStatement))
	}
}

// begin makes a request's context. Until own is called a cancel request ends
// it; afterwards the statement itself is canceled.
func (s *caller) begin() (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abort = stop
	return ctx, stop
}

// own makes the lease the one that a cancel request goes to.
func (s *caller) own(l *pool.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.abort = l, nil
}

func (s *caller) disown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = nil
}

// cancel stops the session's own request, wherever it is. The lock is not held
// while the target is asked; a lease that ended meanwhile refuses.
func (s *caller) cancel(ctx context.Context) {
	s.mu.Lock()
	lease, abort := s.lease, s.abort
	s.mu.Unlock()
	switch {
	case lease != nil:
		_ = lease.Cancel(ctx)
	case abort != nil:
		abort()
	}
}
