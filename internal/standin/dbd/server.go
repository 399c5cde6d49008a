package dbd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/target"
)

// Server is one running stand-in database server.
type Server struct {
	opts       Options
	node       *node
	faults     *Faults
	executions executionLog
	listener   net.Listener
	control    *http.Server
	controlLn  net.Listener
	slots      chan struct{}
	cancel     context.CancelFunc
	ctx        context.Context

	mu              sync.Mutex
	sessions        map[uint32]*session
	limitedSessions int
	lastPID         atomic.Uint32
	closed          atomic.Bool
	wg              sync.WaitGroup
	// onKill carries out a kill fault: Kill by default, and an exit of the process under Command.
	onKill func()
}

// Start listens and serves until Close or Kill.
func Start(o Options) (*Server, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		opts:     o,
		faults:   newFaults(o.Delay),
		slots:    make(chan struct{}, o.Slots),
		cancel:   cancel,
		ctx:      ctx,
		sessions: make(map[uint32]*session),
	}
	s.onKill = s.Kill
	var err error
	if s.node, err = newNode(ctx, o, s.faults); err != nil {
		cancel()
		return nil, err
	}
	if err := s.listen(); err != nil {
		cancel()
		return nil, err
	}
	s.wg.Add(1)
	go s.accept()
	if o.Role == RoleReplica && o.Primary != "" {
		s.wg.Add(1)
		go s.followConfiguredPrimary()
	}
	return s, nil
}

func (s *Server) listen() error {
	var err error
	if s.listener, err = net.Listen("tcp", s.opts.Listen); err != nil {
		return errors.Wrap(err, "listen for SQL")
	}
	if s.opts.Control == "" {
		return nil
	}
	if s.controlLn, err = net.Listen("tcp", s.opts.Control); err != nil {
		_ = s.listener.Close()
		return errors.Wrap(err, "listen for control")
	}
	s.control = &http.Server{Handler: s.ControlHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.control.Serve(s.controlLn) }()
	return nil
}

// Addr is the SQL address, "ip:port".
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ControlAddr is the HTTP control address, or "" if there is none.
func (s *Server) ControlAddr() string {
	if s.controlLn == nil {
		return ""
	}
	return s.controlLn.Addr().String()
}

// ID is the server's name.
func (s *Server) ID() target.ID { return s.opts.ID }

// Status is the status report that endivemoor_status() returns.
func (s *Server) Status() target.Status { return s.node.status() }

// Faults returns the controls of the server's faults.
func (s *Server) Faults() *Faults { return s.faults }

// Executions returns the write transactions that have ended on this server.
func (s *Server) Executions() []Execution { return s.executions.all() }

// Entries returns the server's replicated log.
func (s *Server) Entries() []Entry {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return append([]Entry(nil), s.node.entries.entries...)
}

// followConfiguredPrimary makes the server follow Options.Primary. It retries, since that server
// may start later, and stops when this server has promised a newer term.
func (s *Server) followConfiguredPrimary() {
	defer s.wg.Done()
	for s.ctx.Err() == nil {
		_, err := s.node.follow(s.ctx, s.opts.Primary, firstTerm)
		var refused *sqlError
		if err == nil || errors.As(err, &refused) && refused.code == codeNotInState {
			return
		}
		wait.For(s.ctx, retryDelay)
	}
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		x := newSession(s, conn)
		if !s.register(x) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.wg.Done()
			defer s.unregister(x)
			x.serve()
		}()
	}
}

// register records a new connection, so that Kill closes it. It reports false if the server is
// closed.
func (s *Server) register(x *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return false
	}
	s.wg.Add(1)
	s.sessions[x.pid] = x
	return true
}

// admit counts a session towards the connection limit after its startup message, or refuses it if
// the limit is reached.
func (s *Server) admit(x *session) *sqlError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.exemptFromLimit() {
		return nil
	}
	if s.limitedSessions >= s.opts.Connections {
		return sqlErrorf(codeTooManyConnections, "sorry, too many clients already")
	}
	s.limitedSessions++
	x.countedInLimit = true
	return nil
}

func (s *Server) unregister(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.pid)
	if x.countedInLimit {
		s.limitedSessions--
	}
}

// cancelRequest interrupts the running statement of the session with this process ID and secret.
func (s *Server) cancelRequest(pid, secret uint32) {
	s.mu.Lock()
	x := s.sessions[pid]
	s.mu.Unlock()
	if x != nil && x.secret == secret {
		x.interrupt()
	}
}

// Kill closes all connections at once, as a crash does; open transactions are lost. The storage
// stays readable for inspection until Close.
func (s *Server) Kill() {
	if s.closed.Swap(true) {
		return
	}
	s.opts.Log.Info("killed", zap.String("server", string(s.opts.ID)))
	s.cancel()
	_ = s.listener.Close()
	if s.control != nil {
		_ = s.control.Close()
	}
	s.node.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		x.interrupt()
		_ = x.conn.Close()
	}
}

// Close stops the server, waits until its sessions have ended and frees its storage.
func (s *Server) Close() {
	s.faults.Heal()
	s.faults.Thaw()
	s.Kill()
	s.wg.Wait()
	s.node.close()
}
