package edge

import (
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
	// writeTimeout bounds sending an answer, and so how long a consumer that does not read can hold
	// a session and its open resources at a target.
	writeTimeout = 4 * time.Second
	// configTimeout is how long a consumer waits for a VM's first configuration. The users'
	// consumers disconnect after 2 s, and have 1.5 s for most operations; this leaves half of that
	// for a try on another VM.
	configTimeout = 750 * time.Millisecond
	// descriptorFraction is the fraction of the process's file descriptors for consumers.
	descriptorFraction = 0.75
)

// sessions serves consumers' connections.
type sessions struct {
	edge        *Edge
	maxSessions int
	closing     atomic.Bool
	// aborting is set once open transactions must end too.
	aborting atomic.Bool

	mu   sync.Mutex
	open map[*line.Consumer]bool
}

func newSessions(e *Edge) *sessions {
	return &sessions{edge: e, maxSessions: int(float64(e.settings.Limits.Descriptors) * descriptorFraction), open: make(map[*line.Consumer]bool)}
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
	if !s.awaitConfig(c) {
		return
	}
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
	s.serveStatements(c, session)
	session.Close()
}

// awaitConfig waits until this VM has its first configuration, for at most configTimeout, or until
// it leaves. It returns false if the consumer has left.
//
// Failure guarded against: after a power loss of all VMs, consumers reconnect to a starting VM
// before the store has answered, and are refused for good.
func (s *sessions) awaitConfig(c *line.Consumer) bool {
	if s.edge.catalog.Load().Config != nil {
		return true
	}
	ctx, end := whileConnected(c)
	defer end()
	timer := time.NewTimer(configTimeout)
	defer timer.Stop()
	for {
		changed := s.edge.catalog.Changed()
		if s.edge.catalog.Load().Config != nil || s.closing.Load() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
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

// serveStatements answers one statement after the other until the session ends.
func (s *sessions) serveStatements(c *line.Consumer, session *engine.Session) {
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
			answer = handle(c, session, &st)
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

func handle(c *line.Consumer, session *engine.Session, st *statement.Statement) *statement.Answer {
	ctx, end := whileConnected(c)
	defer end()
	return session.Handle(ctx, st)
}

// mayClose reports whether a session can be closed between two operations because this VM is
// leaving.
func (s *sessions) mayClose(c *line.Consumer, session *engine.Session) bool {
	if !s.closing.Load() || c.Pending() {
		return false
	}
	return session.State() == statement.Idle || s.aborting.Load()
}

func (s *sessions) add(c *line.Consumer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxSessions > 0 && len(s.open) >= s.maxSessions {
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

// interrupt interrupts sessions that wait for their next statement.
func (s *sessions) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Interrupt()
	}
}
