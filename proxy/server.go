package proxy

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
)

const (
	// secretLen is the length of this process's secret, in bytes.
	secretLen = 32
	// cancelKeyLen is what protocol 3.0 leaves for a cancel key, in bytes.
	cancelKeyLen = 4
	// nodeShift puts the node into the upper half of a process id.
	nodeShift = 16
)

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	cfg     Config
	chain   filter.Handler
	running *filter.Running
	// watch starts running once; over ends it, closed by endWatch.
	watch, endWatch sync.Once
	over            chan struct{}
	metrics         *metrics
	secret          []byte
	request         atomic.Uint64

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[uint32]*caller
	count     int
	// profiles counts the sessions of each profile.
	profiles map[string]int
	lastPID  uint16
	draining bool
	done     sync.WaitGroup
}

// New returns a Server.
func New(cfg Config) *Server {
	cfg.Limits = cfg.Limits.withDefaults()
	s := &Server{
		cfg:       cfg,
		secret:    make([]byte, secretLen),
		listeners: map[net.Listener]struct{}{},
		sessions:  map[uint32]*caller{},
		profiles:  map[string]int{},
	}
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(s.secret)
	s.metrics = newMetrics(cfg.Registerer)
	s.running = filter.NewRunning(cfg.View)
	s.over = make(chan struct{})
	s.chain = s.newChain()
	return s
}

func (s *Server) newChain() filter.Handler {
	sinks := filter.Sinks{}
	if s.cfg.Recorder != nil {
		sinks = append(sinks, s.cfg.Recorder)
	}
	if s.cfg.Registerer != nil {
		sinks = append(sinks, filter.NewMetrics(s.cfg.Registerer))
	}
	changes := filter.NewChanges(s.cfg.View)
	budgets := filter.NewBudgets(s.cfg.Retry, s.cfg.Seed)
	router := filter.Router{Chooser: s.cfg.Router, View: s.cfg.View, Changes: changes, Zone: s.cfg.Zone}
	lookup := filter.Chain(nil,
		filter.Watermarker{},
		filter.Acknowledger{Gate: s.cfg.Ack, Guards: s.cfg.Guards},
		router,
		filter.Admitter{Limiter: s.cfg.Limiter},
		filter.Searcher{Pool: s.cfg.Pool},
	)
	return filter.Chain(nil,
		filter.Recorder{Sink: sinks},
		filter.Tagger{},
		filter.Classifier{},
		filter.KeyPolicy{},
		filter.Timer{},
		&filter.Bounder{},
		filter.Floorer{Gate: s.cfg.Ack, Guards: s.cfg.Guards},
		filter.Retrier{View: s.cfg.View, Changes: changes, Budgets: budgets, Sleep: filter.Sleep},
		filter.Resolver{View: s.cfg.View, Changes: changes, Budgets: budgets, Lookup: lookup},
		filter.Watermarker{},
		filter.Acknowledger{Gate: s.cfg.Ack, Guards: s.cfg.Guards},
		router,
		filter.Witness{Gate: s.cfg.Ack},
		filter.Admitter{Limiter: s.cfg.Limiter},
		filter.Executor{Pool: s.cfg.Pool, Running: s.running},
	)
}

// Serve accepts callers until the listener is closed. It returns nil if Drain
// closed it.
func (s *Server) Serve(ln net.Listener) error {
	if !s.register(ln) {
		return ln.Close()
	}
	stop := s.sweep()
	defer stop()
	// It goes on while the sessions of a drain end.
	s.watch.Do(func() { go s.running.Run(s.over) })
	for {
		conn, err := ln.Accept()
		if err != nil {
			if s.isDraining() {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		s.start(conn)
	}
}

func (s *Server) register(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// start serves one connection, or turns it away at once.
func (s *Server) start(conn net.Conn) {
	ses := newCaller(s, conn)
	if err := s.enter(ses); err != nil {
		s.metrics.refusedStartup(err.Code)
		go ses.turnAway(err)
		return
	}
	go func() {
		defer s.leave(ses)
		ses.run()
	}()
}

// enter gives the session its process id and counts it.
func (s *Server) enter(ses *caller) *outcome.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return shuttingDown()
	}
	if s.count >= s.cfg.Limits.MaxSessions {
		return outcome.Refuse(outcome.CodeTooManyConnections, comeBack, "too many connections to this proxy")
	}
	ses.pid = s.freePID()
	s.sessions[ses.pid] = ses
	s.count++
	s.done.Add(1)
	s.metrics.sessions.Inc()
	return nil
}

// enterProfile counts the session to its profile, within the profile's bound.
func (s *Server) enterProfile(ses *caller, p *profile.Profile) *outcome.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.MaxSessions > 0 && s.profiles[p.Name] >= p.MaxSessions {
		return outcome.Refuse(outcome.CodeTooManyConnections, comeBack, "too many connections of profile %q", p.Name)
	}
	s.profiles[p.Name]++
	ses.counted = p.Name
	return nil
}

// freePID returns an unused process id of this node; 0 is never given out.
func (s *Server) freePID() uint32 {
	for {
		s.lastPID++
		pid := uint32(s.cfg.Node)<<nodeShift | uint32(s.lastPID)
		if _, used := s.sessions[pid]; !used && s.lastPID != 0 {
			return pid
		}
	}
}

func (s *Server) leave(ses *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses.pid)
	s.count--
	if ses.counted != "" {
		s.profiles[ses.counted]--
	}
	s.metrics.sessions.Dec()
	s.done.Done()
}

// Sessions returns the number of connected callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Drain stops accepting, tells idle callers to go elsewhere, and waits until
// the others have ended the request or transaction they are in, or ctx ends.
//
// Failure guarded against: a proxy that is replaced cuts a request in flight,
// which shows as an unknown outcome. Only connections without one are closed;
// an open transaction has the profile's drain grace to end.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for _, ses := range s.sessions {
		ses.drain()
	}
	s.mu.Unlock()
	s.cfg.Log.Info("proxy_draining", zap.Int("sessions", s.Sessions()))
	defer s.endWatch.Do(func() { close(s.over) })
	return s.awaitSessions(ctx)
}

func (s *Server) awaitSessions(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
}

// Cancel stops the statement that the session with this process id and secret
// runs. It reports false if there is no such session on this proxy.
func (s *Server) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	s.mu.Lock()
	ses := s.sessions[pid]
	s.mu.Unlock()
	if ses == nil || !ses.holdsSecret(secret) {
		return false
	}
	ses.cancel(ctx)
	return true
}

func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	ctx, stop := context.WithTimeout(context.Background(), s.cfg.Limits.Startup)
	defer stop()
	if s.Cancel(ctx, m.ProcessID, m.SecretKey) || s.cfg.RemoteCancel == nil {
		return
	}
	if uint16(m.ProcessID>>nodeShift) != s.cfg.Node {
		s.cfg.RemoteCancel(ctx, m.ProcessID, m.SecretKey)
	}
}

func newCancelKey() []byte {
	b := make([]byte, cancelKeyLen)
	_, _ = rand.Read(b)
	return b
}
