package proxy

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/pool"
)

// shuttingDown returns the error of a draining proxy. The request did not run, so the caller may
// retry at another proxy at once.
func shuttingDown() *outcome.Error {
	return outcome.Refuse(outcome.CodeAdminShutdown, time.Millisecond, "this proxy is shutting down")
}

// beginWait records what the session waits for and returns the read deadline. It reports false if
// the session is to end instead.
func (s *caller) beginWait(w waitState, newChunk bool) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !newChunk {
		return time.Now().Add(s.srv.cfg.Limits.Message), true
	}
	if s.draining && w == awaitRequest && !s.skipping {
		return time.Time{}, false
	}
	s.waiting = w
	return s.waitLimit(w), true
}

func (s *caller) waitLimit(w waitState) time.Time {
	if w != awaitStatement {
		return time.Time{}
	}
	limit := time.Now().Add(s.srv.cfg.Limits.IdleInTransaction)
	if s.draining && s.graceDeadline.Before(limit) {
		return s.graceDeadline
	}
	return limit
}

// drainStarted reports whether the session is to end because of a drain that began between
// beginWait and the setting of the read deadline, which overwrote the drain's own. For an open
// transaction it sets the drain's deadline again.
func (s *caller) drainStarted(w waitState) bool {
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
	s.waiting = busy
}

func (s *caller) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// drain ends the session if it waits for a request, and gives an open transaction its grace. A busy
// session checks draining when its request ends.
func (s *caller) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.graceDeadline = time.Now()
	if p := s.state.Profile; p != nil {
		s.graceDeadline = s.graceDeadline.Add(p.DrainGrace)
	}
	switch s.waiting {
	case awaitRequest:
		_ = s.raw.SetReadDeadline(time.Now())
	case awaitStatement:
		_ = s.raw.SetReadDeadline(s.waitLimit(awaitStatement))
	}
}

// begin creates a request's context. Until setLease is called a cancel request cancels the context;
// afterwards it cancels the statement.
func (s *caller) begin() (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abort = stop
	return ctx, stop
}

// setLease makes the lease the target of cancel requests.
func (s *caller) setLease(l *pool.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.abort = l, nil
}

func (s *caller) clearLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = nil
}

// cancel stops the session's own request, whether it is queued or running. The lock is not held
// during the call to the target; a lease that has ended in the meantime refuses.
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
