package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/engine"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/platform/line"
	"endivemoor.example/endivemoor/statement"
)

const (
	// startupTimeout bounds the wait for a consumer's first message.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds sending an answer: a consumer that does not read must
	// not hold a session, and what it has open at a target, for longer.
	writeTimeout = 4 * time.Second
	// configPatience is how long a consumer waits for a VM's first configuration. The
	// users' consumers leave after 2 s, and have 1.5 s for most operations: half of
	// that is left to try elsewhere.
	configPatience = 750 * time.Millisecond
	// descriptorPart is the part of the process's descriptors for consumers.
	descriptorPart = 0.75
)

// sessions serves the consumers' connections.
type sessions struct {
	edge    *Edge
	most    int
	closing atomic.Bool
	// aborting is set once open transactions must end as well.
	aborting atomic.Bool

	mu   sync.Mutex
	open map[*line.Consumer]bool
}

func newSessions(e *Edge) *sessions {
	return &sessions{edge: e, most: int(float64(e.set.Limits.Descriptors) * descriptorPart), open: make(map[*line.Consumer]bool)}
}

func (s *sessions) accept(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.edge.log.Warn("accept-failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go s.serve(conn)
	}
}

func (s *sessions) serve(conn net.Conn) {
	c := line.NewConsumer(conn)
	if !s.add(c) {
		_ = c.Refuse(statement.TooManyConnections, "this VM has no room for another session", writeTimeout)
		c.Close()
		return
	}
	defer s.remove(c)
	startup, err := c.ReadStartup(startupTimeout)
	if err != nil {
		s.refuseStartup(c, err)
		return
	}
	s.awaitConfig()
	session, refusal := s.edge.engine.Open(startup.Database, startup.Key)
	if refusal != nil {
		s.edge.log.Info("session-refused", zap.String("database", startup.Database), zap.Stringer("code", refusal.Code), zap.String("text", refusal.Text),
			zap.Int64("config", s.edge.catalog.Load().ConfigVersion()))
		_ = c.Refuse(refusal.Code, refusal.Text, writeTimeout)
		return
	}
	if err := c.Ready(writeTimeout); err != nil {
		return
	}
	s.converse(c, session)
	session.Close()
}

// awaitConfig waits until this VM has its first configuration, unless it leaves or
// that takes too long. Consumers who return to a VM that starts are there before the
// store has answered: on a day on which all VMs lose their power 131 of them were
// refused for good.
func (s *sessions) awaitConfig() {
	if s.edge.catalog.Load().Config != nil {
		return
	}
	timer := time.NewTimer(configPatience)
	defer timer.Stop()
	for {
		changed := s.edge.catalog.Changed()
		if s.edge.catalog.Load().Config != nil || s.closing.Load() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

func (s *sessions) refuseStartup(c *line.Consumer, err error) {
	switch {
	case errors.Is(err, line.ErrTooLarge):
		_ = c.Refuse(statement.TooLarge, "message too large", writeTimeout)
	case errors.Is(err, line.ErrMalformed):
		_ = c.Refuse(statement.Malformed, "a session begins with a startup", writeTimeout)
	}
}

// converse answers one statement after the other until the session ends.
func (s *sessions) converse(c *line.Consumer, session *engine.Session) {
	expired := false
	for {
		if s.mayClose(c, session) {
			return
		}
		timeout := session.IdleTimeout()
		st, err := c.Read(timeout)
		var answer *statement.Answer
		switch {
		case err == nil && expired:
			answer, expired = session.Expired(), false
		case err == nil:
			answer = session.Handle(context.Background(), &st)
		case wait.IsTimeout(err) && s.closing.Load():
			if s.aborting.Load() && session.State() == statement.InTransaction {
				session.Expire()
				expired = true
			}
			continue
		case wait.IsTimeout(err) && timeout > 0:
			session.Expire()
			expired = true
			continue
		case errors.Is(err, line.ErrMalformed):
			answer = statement.Failure(statement.Malformed, "not a query", session.State())
		case errors.Is(err, line.ErrTooLarge):
			_ = c.Refuse(statement.TooLarge, "message too large", writeTimeout)
			return
		default:
			return
		}
		if err := c.Write(answer, writeTimeout); err != nil || answer.Code == statement.Unauthorized {
			return
		}
	}
}

// mayClose reports whether a session can be ended between two operations,
// because this VM is leaving.
func (s *sessions) mayClose(c *line.Consumer, session *engine.Session) bool {
	if !s.closing.Load() || c.Pending() {
		return false
	}
	return session.State() == statement.Idle || s.aborting.Load()
}

func (s *sessions) add(c *line.Consumer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > 0 && len(s.open) >= s.most {
		return false
	}
	s.open[c] = true
	return true
}

func (s *sessions) remove(c *line.Consumer) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// interrupt wakes sessions that wait for their next statement.
func (s *sessions) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Interrupt()
	}
}
