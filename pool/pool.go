package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// Dialer opens one connection to a target, logged in and idle.
type Dialer func(ctx context.Context, srv *view.Server) (*pgconn.HijackedConn, error)

// Config sets a Pool. Dial, Backoff, Clock and Log are required.
type Config struct {
	Dial Dialer
	// Limit is the number of connections that each server allows the fleet.
	Limit int
	// Control is how many of them this proxy keeps for control.
	Control int
	// MaxOpening bounds the connections being opened to one server at once.
	MaxOpening int
	// DialTimeout bounds one attempt, and a reset.
	DialTimeout time.Duration
	// IdleTimeout is the age at which an idle connection is closed.
	IdleTimeout time.Duration
	Backoff     Delayer
	// Seed starts the jitter.
	Seed  uint64
	Clock clock.Clock
	Log   *zap.Logger
	// Metrics may be nil.
	Metrics *Metrics
	// Guards is set by tests only.
	Guards guard.Set
}

// Defaults of Config.
const (
	DefaultLimit       = 25
	DefaultControl     = 1
	DefaultMaxOpening  = 2
	DefaultDialTimeout = 2 * time.Second
	DefaultIdleTimeout = time.Minute
)

func (c Config) withDefaults() Config {
	if c.Limit <= 0 {
		c.Limit = DefaultLimit
	}
	if c.MaxOpening <= 0 {
		c.MaxOpening = DefaultMaxOpening
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	return c
}

// Pool holds the connections to all targets. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	servers map[target.ID]*server
	rnd     *rand.Rand
	token   atomic.Uint64
	closed  bool
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg.withDefaults(),
		servers: map[target.ID]*server{},
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Acquire returns a lease on a connection to srv, waiting at most wait and until
// ctx ends. When the server cannot be reached the error is an
// *UnavailableError, at once.
func (p *Pool) Acquire(ctx context.Context, srv *view.Server, fleet int, wait time.Duration) (*Lease, error) {
	until := time.Now().Add(wait)
	for {
		c, err := p.take(ctx, srv, fleet, until)
		if err != nil {
			return nil, err
		}
		if l := p.handOver(c, until); l != nil {
			return l, nil
		}
		if time.Now().After(until) {
			return nil, context.DeadlineExceeded
		}
	}
}

// take returns a connection that nobody owns.
func (p *Pool) take(ctx context.Context, srv *view.Server, fleet int, until time.Time) (*conn, error) {
	p.mu.Lock()
	c, w, err := p.ask(srv, fleet)
	p.mu.Unlock()
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
		return nil, p.withdraw(srv.ID, w, ctx.Err())
	}
}

// handOver makes the connection the caller's own, once its reset is proven. It
// returns nil if the connection turned out to be of no use.
//
// Failure guarded against: a setting, a temporary table or an unread answer of
// one caller reaches the next. Nothing is sent for the new owner before the
// target has confirmed that it dropped the old one's state.
func (p *Pool) handOver(c *conn, until time.Time) *Lease {
	if c.unproven {
		if err := c.prove(p.proofLimit(until)); err != nil {
			p.cfg.Log.Warn("connection_reset_failed", zap.String("server", string(c.server.id)), zap.Error(err))
			p.drop(c)
			return nil
		}
		c.unproven = false
	}
	if !c.alive() && !p.cfg.Guards.Out(GuardAlive) {
		p.drop(c)
		return nil
	}
	l := &Lease{pool: p, conn: c, token: p.token.Add(1), status: txIdle}
	c.owner.Store(l.token)
	return l
}

// proofLimit bounds the wait for the answer to a reset.
func (p *Pool) proofLimit(until time.Time) time.Time {
	limit := time.Now().Add(p.cfg.DialTimeout)
	if until.Before(limit) {
		return until
	}
	return limit
}

// ask takes an idle connection, or joins the queue and sees that somebody
// opens one. It is called with mu held.
func (p *Pool) ask(srv *view.Server, fleet int) (*conn, *waiter, error) {
	if p.closed {
		return nil, nil, ErrClosed
	}
	s := p.serverOf(srv)
	s.share = Share(p.cfg.Limit, fleet, p.cfg.Control)
	if c := s.popIdle(); c != nil {
		return c, nil, nil
	}
	now := p.cfg.Clock.Now()
	if rest := s.quota.resting(now); rest > 0 && s.quota.hopeless() {
		return nil, nil, &UnavailableError{Server: s.id, RetryAfter: rest, cause: s.lastErr}
	}
	w := &waiter{ready: make(chan grant, 1)}
	s.waiters = append(s.waiters, w)
	p.openFor(s)
	return nil, w, nil
}

// serverOf returns the list for srv. A server that came back under another
// address gets a new list.
func (p *Pool) serverOf(srv *view.Server) *server {
	s := p.servers[srv.ID]
	if s != nil && s.addr == srv.Addr {
		return s
	}
	if s != nil {
		p.retire(s)
	}
	s = newServer(srv)
	p.servers[srv.ID] = s
	return s
}

// withdraw leaves the queue. A connection that was granted meanwhile goes to
// the next in line.
func (p *Pool) withdraw(id target.ID, w *waiter, cause error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s != nil && s.leave(w) {
		return cause
	}
	select {
	case g := <-w.ready:
		if g.conn != nil {
			p.offer(g.conn)
		}
	default:
	}
	return cause
}

// offer hands a connection to the next waiter or puts it aside. It is
// called with mu held.
func (p *Pool) offer(c *conn) {
	s := c.server
	if p.closed || s.retired || s.overShare() {
		p.forget(c)
		return
	}
	if w := s.popWaiter(); w != nil {
		w.ready <- grant{conn: c}
		return
	}
	c.since = p.cfg.Clock.Now()
	s.idle = append(s.idle, c)
}

func (p *Pool) giveBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offer(c)
}

// drop closes a connection and lets a waiter's be opened in its place.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
	p.openFor(c.server)
}

// forget closes c and takes it off its server's books, once.
func (p *Pool) forget(c *conn) {
	c.shut()
	if _, ok := c.server.all[c]; !ok {
		return
	}
	delete(c.server.all, c)
	c.server.quota.closed()
	p.cfg.Metrics.closed(c.server.id)
}

// openFor starts as many attempts as there are waiters without one. It is
// called with mu held.
func (p *Pool) openFor(s *server) {
	now := p.cfg.Clock.Now()
	for !p.closed && !s.retired && len(s.waiters) > s.quota.opening &&
		s.quota.mayOpen(now, s.share, p.cfg.MaxOpening) {
		s.quota.started()
		go p.open(s)
	}
}

func (p *Pool) open(s *server) {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, &view.Server{ID: s.id, Addr: s.addr})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openFailed(s, err)
		return
	}
	c := &conn{raw: raw, server: s}
	s.quota.succeeded()
	s.all[c] = struct{}{}
	p.cfg.Metrics.opened(s.id)
	p.offer(c)
	p.openFor(s)
}

// openFailed rests the server. Waiters who could only wait for an opening are
// answered at once, so that they may go elsewhere while they are queued; the
// others wait on for a connection that is in use.
func (p *Pool) openFailed(s *server, err error) {
	s.quota.failed(p.cfg.Clock.Now(), p.cfg.Backoff, p.rnd)
	s.lastErr = errors.Wrap(err, "open")
	p.cfg.Metrics.failed(s.id)
	p.cfg.Log.Warn("connection_open_failed", zap.String("server", string(s.id)),
		zap.Int("failures", s.quota.failures), zap.Error(err))
	if s.quota.hopeless() {
		rest := s.quota.resting(p.cfg.Clock.Now())
		s.refuseAll(&UnavailableError{Server: s.id, RetryAfter: rest, cause: s.lastErr})
	}
}
