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

// Config configures a Pool. Dial, Backoff, Clock and Log are required.
type Config struct {
	Dial Dialer
	// Limit is the number of connections that each server permits to the whole fleet.
	Limit int
	// Control is the number of these connections that this proxy reserves for control.
	Control int
	// MaxOpening limits the connections that are opened to one server concurrently.
	MaxOpening int
	// DialTimeout limits one attempt to open a connection, and one reset.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed.
	IdleTimeout time.Duration
	Backoff     Delayer
	// Seed seeds the jitter.
	Seed  uint64
	Clock clock.Clock
	Log   *zap.Logger
	// Metrics may be nil.
	Metrics *Metrics
	// Guards is set only by tests.
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

// Acquire returns a lease on a connection to srv. It waits at most wait and until ctx ends. If the
// server cannot be reached, it returns an *UnavailableError without waiting.
func (p *Pool) Acquire(ctx context.Context, srv *view.Server, fleet int, wait time.Duration) (*Lease, error) {
	until := time.Now().Add(wait)
	for {
		c, err := p.takeConn(ctx, srv, fleet, until)
		if err != nil {
			return nil, err
		}
		if l := p.newLease(c, until); l != nil {
			return l, nil
		}
		if time.Now().After(until) {
			return nil, context.DeadlineExceeded
		}
	}
}

// takeConn returns a connection that has no owner.
func (p *Pool) takeConn(ctx context.Context, srv *view.Server, fleet int, until time.Time) (*conn, error) {
	p.mu.Lock()
	c, w, err := p.takeIdleOrEnqueue(srv, fleet)
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
		return nil, p.cancelWait(srv.ID, w, ctx.Err())
	}
}

// newLease leases the connection to the caller after its reset is confirmed. It returns nil if the
// connection is unusable.
//
// Failure guarded against: a setting, a temporary table or an unread answer of one caller reaches
// the next. Nothing is sent for the new owner before the target has confirmed that it dropped the
// previous owner's state.
func (p *Pool) newLease(c *conn, until time.Time) *Lease {
	if c.resetPending {
		if err := c.confirmReset(p.resetDeadline(until)); err != nil {
			p.cfg.Log.Warn("connection_reset_failed", zap.String("server", string(c.server.id)), zap.Error(err))
			p.drop(c)
			return nil
		}
		c.resetPending = false
	}
	if !c.alive() && !p.cfg.Guards.Disabled(GuardAlive) {
		p.drop(c)
		return nil
	}
	l := &Lease{pool: p, conn: c, token: p.token.Add(1), status: txIdle}
	c.owner.Store(l.token)
	return l
}

// resetDeadline limits the wait for the reply to a reset.
func (p *Pool) resetDeadline(until time.Time) time.Time {
	limit := time.Now().Add(p.cfg.DialTimeout)
	if until.Before(limit) {
		return until
	}
	return limit
}

// takeIdleOrEnqueue takes an idle connection, or joins the queue and starts the opening of a
// connection if the quota permits it. It is called with mu held.
func (p *Pool) takeIdleOrEnqueue(srv *view.Server, fleet int) (*conn, *waiter, error) {
	if p.closed {
		return nil, nil, ErrClosed
	}
	s := p.serverOf(srv)
	s.share = Share(p.cfg.Limit, fleet, p.cfg.Control)
	if c := s.popIdle(); c != nil {
		return c, nil, nil
	}
	now := p.cfg.Clock.Now()
	if left := s.quota.backoffLeft(now); left > 0 && s.quota.noneOpen() {
		return nil, nil, &UnavailableError{Server: s.id, RetryAfter: left, cause: s.lastErr}
	}
	w := &waiter{ready: make(chan grant, 1)}
	s.waiters = append(s.waiters, w)
	p.openFor(s)
	return nil, w, nil
}

// serverOf returns the connection list of srv. A server whose address has changed gets a new list.
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

// cancelWait removes w from the queue. A connection that was granted to w in the meantime goes to
// the next waiter.
func (p *Pool) cancelWait(id target.ID, w *waiter, cause error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s != nil && s.removeWaiter(w) {
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

// offer grants a connection to the next waiter or adds it to the idle list. It is called with mu
// held.
func (p *Pool) offer(c *conn) {
	s := c.server
	if p.closed || s.retired || s.overShare() {
		p.remove(c)
		return
	}
	if w := s.popWaiter(); w != nil {
		w.ready <- grant{conn: c}
		return
	}
	c.idleSince = p.cfg.Clock.Now()
	s.idle = append(s.idle, c)
}

func (p *Pool) returnConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offer(c)
}

// drop closes a connection and opens another one in its place if a waiter needs it.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(c)
	p.openFor(c.server)
}

// remove closes c and removes it from its server's list and counts. Further calls do nothing.
func (p *Pool) remove(c *conn) {
	c.closeSocket()
	if _, ok := c.server.all[c]; !ok {
		return
	}
	delete(c.server.all, c)
	c.server.quota.closed()
	p.cfg.Metrics.closed(c.server.id)
}

// openFor starts an attempt for each waiter that has none, as far as the quota permits. It is
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

// openFailed starts the server's backoff. If the server has no connection and none is being opened,
// all waiters are refused immediately, so that their requests can be routed elsewhere while they
// are still queued. Otherwise they keep waiting for a connection that is in use.
func (p *Pool) openFailed(s *server, err error) {
	s.quota.failed(p.cfg.Clock.Now(), p.cfg.Backoff, p.rnd)
	s.lastErr = errors.Wrap(err, "open")
	p.cfg.Metrics.failed(s.id)
	p.cfg.Log.Warn("connection_open_failed", zap.String("server", string(s.id)),
		zap.Int("failures", s.quota.failures), zap.Error(err))
	if s.quota.noneOpen() {
		left := s.quota.backoffLeft(p.cfg.Clock.Now())
		s.refuseAll(&UnavailableError{Server: s.id, RetryAfter: left, cause: s.lastErr})
	}
}
