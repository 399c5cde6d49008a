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
	// cancelKeyLen is the length of a cancel key in protocol 3.0, in bytes.
	cancelKeyLen = 4
	// nodeShift puts the node into the upper half of a process id.
	nodeShift = 16
)

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	cfg     Config
	chain   filter.Handler
	running *filter.Running
	// startRunning starts running once; stopRunning ends it by closing runningDone.
	startRunning, stopRunning sync.Once
	runningDone               chan struct{}
	metrics                   *metrics
	secret                    []byte
	request                   atomic.Uint64

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
	// crypto/rand.Read returns no error: it crashes the process instead.
	_, _ = rand.Read(s.secret)
	s.metrics = newMetrics(cfg.Registerer)
	s.running = filter.NewRunning(cfg.View)
	s.runningDone = make(chan struct{})
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
	changes := filter.NewViewChanges(s.cfg.View)
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
		&filter.QueueLimiter{},
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
	if !s.addListener(ln) {
		return ln.Close()
	}
	stop := s.sweep()
	defer stop()
	// This continues until Drain returns, since sessions remain after the listener is closed.
	s.startRunning.Do(func() { go s.running.Run(s.runningDone) })
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

func (s *Server) addListener(ln net.Listener) bool {
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

// start serves one connection, or rejects it at once.
func (s *Server) start(conn net.Conn) {
	ses := newCaller(s, conn)
	if err := s.addSession(ses); err != nil {
		s.metrics.refusedStartup(err.Code)
		go ses.reject(err)
		return
	}
	go func() {
		defer s.removeSession(ses)
		ses.run()
	}()
}

// addSession assigns the session its process id and counts it.
func (s *Server) addSession(ses *caller) *outcome.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return shuttingDown()
	}
	if s.count >= s.cfg.Limits.MaxSessions {
		return outcome.Refuse(outcome.CodeTooManyConnections, retryAfter, "too many connections to this proxy")
	}
	ses.pid = s.freePID()
	s.sessions[ses.pid] = ses
	s.count++
	s.done.Add(1)
	s.metrics.sessions.Inc()
	return nil
}

// addToProfile counts the session toward its profile, within the profile's limit.
func (s *Server) addToProfile(ses *caller, p *profile.Profile) *outcome.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.MaxSessions > 0 && s.profiles[p.Name] >= p.MaxSessions {
		return outcome.Refuse(outcome.CodeTooManyConnections, retryAfter, "too many connections of profile %q", p.Name)
	}
	s.profiles[p.Name]++
	ses.countedProfile = p.Name
	return nil
}

// freePID returns an unused process id of this node. The lower half of an id is never 0.
func (s *Server) freePID() uint32 {
	for {
		s.lastPID++
		pid := uint32(s.cfg.Node)<<nodeShift | uint32(s.lastPID)
		if _, used := s.sessions[pid]; !used && s.lastPID != 0 {
			return pid
		}
	}
}

func (s *Server) removeSession(ses *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses.pid)
	s.count--
	if ses.countedProfile != "" {
		s.profiles[ses.countedProfile]--
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

// Drain stops accepting connections, disconnects idle callers with an error, and waits until the
// other sessions have finished their request or transaction, or until ctx ends.
//
// Failure guarded against: a proxy that is being replaced cuts off a request in flight, and the
// caller receives an unknown outcome. Only connections without a request are closed; an open
// transaction may continue for the profile's drain grace.
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
	defer s.stopRunning.Do(func() { close(s.runningDone) })
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

// Cancel stops the statement that the session with this process id and secret is running. It
// reports false if this proxy has no such session.
func (s *Server) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	s.mu.Lock()
	ses := s.sessions[pid]
	s.mu.Unlock()
	if ses == nil || !ses.matchesSecret(secret) {
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
