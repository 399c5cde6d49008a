// Package groups keeps what this VM knows of each service's targets beyond the
// catalog: which one leads, and how fresh the others are. It asks targets for
// their account of themselves where requests do not show enough.
package groups

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

const (
	// askTimeout bounds one question to a target: a slot may have to become
	// free first, behind a full queue of 24 requests of 18 ms on 3 slots.
	askTimeout = 300 * time.Millisecond
	// discoverEvery is the interval between two rounds of questions while no
	// target is known to lead.
	discoverEvery = 100 * time.Millisecond
)

// ErrNoPrimary says that no target of the service is known to lead.
var ErrNoPrimary = errors.New("no target of the service leads")

// ErrNoWitness says that no replica could be asked.
var ErrNoWitness = errors.New("no replica answered as a witness")

// Decoder reads a status answer's row.
type Decoder func(row string) (statement.Status, error)

// ErrSuperseded says that another target leads, or is about to.
var ErrSuperseded = errors.New("the primary is being replaced, or was")

// Records reads the fleet's records of leadership.
type Records interface {
	// Current returns the service's record as the store has it now. A service
	// that no attempt was ever made for has an empty one.
	Current(ctx context.Context, service string) (*catalog.Reign, error)
}

// Config of a Registry.
type Config struct {
	Catalog *catalog.Holder
	Pool    *lane.Pool
	Clock   clock.Clock
	Decode  Decoder
	Records Records
	// Eligible reports whether this VM is surely on the list by which the holder
	// of an attempt asks VMs to give up their permissions.
	Eligible func() bool
	Log      *zap.Logger
}

// Registry holds the groups of all services. It is safe for concurrent use.
type Registry struct {
	cfg    Config
	mu     sync.RWMutex
	groups map[string]*Group
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, groups: make(map[string]*Group)}
}

// Group returns the service's group.
func (r *Registry) Group(service string) *Group {
	r.mu.RLock()
	g := r.groups[service]
	r.mu.RUnlock()
	if g != nil {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if g = r.groups[service]; g == nil {
		g = newGroup(service, &r.cfg)
		r.groups[service] = g
	}
	return g
}

// All returns the groups of all services that are known.
func (r *Registry) All() []*Group {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*Group, 0, len(r.groups))
	for _, g := range r.groups {
		out = append(out, g)
	}
	return out
}

// Update takes over a new catalog.
func (r *Registry) Update(c *catalog.Catalog) {
	for service, targets := range c.ByService {
		r.Group(service).listed(targets, c.Reigns[service])
	}
}

// Group is one service's.
type Group struct {
	// Service is its name.
	Service string
	// Leadership says who leads.
	Leadership *leadership.Board
	// Freshness has the evidence for reads.
	Freshness *freshness.Board
	// Acknowledged is what a new primary must hold.
	Acknowledged Acknowledged
	// Health tells whether the primary answers.
	Health Health

	cfg *Config

	mu         sync.Mutex
	believed   leadership.Belief
	changed    chan struct{}
	absent     clock.Time // since when nobody is believed to lead
	discovered clock.Time
	refreshing chan struct{}
	revoked    int64      // the attempt for which the permission was given up
	revokedAt  clock.Time // when it was
}

func newGroup(service string, cfg *Config) *Group {
	return &Group{
		Service:    service,
		Leadership: leadership.NewBoard(),
		Freshness:  &freshness.Board{},
		cfg:        cfg,
		absent:     cfg.Clock.Now(),
		changed:    make(chan struct{}),
	}
}

// Absent is how long nobody has been believed to lead.
func (g *Group) Absent() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.absent == 0 {
		return 0
	}
	return g.cfg.Clock.Now().Sub(g.absent)
}

func (g *Group) listed(targets []*catalog.Target, reign *catalog.Reign) {
	g.Leadership.Listed(targets, reign)
	g.noteBelief()
}

// noteBelief wakes those who wait for a primary when the belief changes.
func (g *Group) noteBelief() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Leadership.Believed()
	if now == g.believed {
		return
	}
	if now.Primary != g.believed.Primary {
		g.cfg.Log.Info("primary-believed", zap.String("service", g.Service), zap.String("primary", string(now.Primary)),
			zap.Uint64("term", uint64(now.Term)), zap.String("before", string(g.believed.Primary)), zap.Bool("contested", now.Contested))
	}
	g.believed = now
	if now.Primary != "" {
		g.absent = 0
		g.Health.Watch(now.Primary)
	} else {
		g.absent = g.cfg.Clock.Now()
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// Told takes over a target's status.
func (g *Group) Told(id target.ID, s statement.Status) {
	g.Leadership.Told(id, s.Role, s.Term)
	g.noteBelief()
}

// Refused records that a target does not lead any more.
func (g *Group) Refused(id target.ID) {
	g.Leadership.Refused(id)
	g.noteBelief()
}

// Status asks a target for its account of itself.
func (g *Group) Status(ctx context.Context, id target.ID, timeout time.Duration) (statement.Status, error) {
	return g.order(ctx, id, lane.AskStatus, timeout)
}

// Order sends a target an order that is answered with its status.
func (g *Group) Order(ctx context.Context, id target.ID, ask lane.Ask, timeout time.Duration) (statement.Status, error) {
	return g.order(ctx, id, ask, timeout)
}

func (g *Group) order(ctx context.Context, id target.ID, ask lane.Ask, timeout time.Duration) (statement.Status, error) {
	sent := g.cfg.Clock.Now()
	rows, err := g.cfg.Pool.Control(ctx, id, ask, timeout)
	if lane.Answered(err) {
		g.Health.Answered(id)
	}
	if err != nil {
		return statement.Status{}, err
	}
	if len(rows) == 0 {
		return statement.Status{}, errors.Errorf("%s gave no status", id)
	}
	s, err := g.cfg.Decode(rows[0])
	if err != nil {
		return s, err
	}
	g.Health.Answered(id)
	g.Told(id, s)
	g.observe(id, s, sent)
	return s, nil
}

// observe turns a status into evidence for reads.
func (g *Group) observe(id target.ID, s statement.Status, sent clock.Time) {
	if s.Role == target.RolePrimary {
		g.Freshness.Sample(s.Term, id, sent, s.Received)
		return
	}
	if s.Role == target.RoleReplica && s.Paused == 0 {
		g.Freshness.Witness(s.Term, id, sent)
	}
}

// Primary returns the target that leads, waiting until one is known. The term
// is never 0: a claim is verified before it is used.
func (g *Group) Primary(ctx context.Context) (leadership.Belief, error) {
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		b := g.Leadership.Believed()
		if b.Primary != "" && b.Term != 0 {
			return b, nil
		}
		g.discoverSoon()
		select {
		case <-changed:
		case <-time.After(discoverEvery):
		case <-ctx.Done():
			return b, ErrNoPrimary
		}
	}
}

// Rediscover asks all targets who leads, because what was believed was
// contradicted.
func (g *Group) Rediscover() { g.discoverSoon() }

// discoverSoon asks all targets who leads, unless that was done just now.
func (g *Group) discoverSoon() {
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	due := now.Sub(g.discovered) >= discoverEvery || g.discovered == 0
	if due {
		g.discovered = now
	}
	g.mu.Unlock()
	if due {
		g.discover()
	}
}

// discover asks all targets. That the believed primary does not answer counts
// as its failure: a VM that has just started may never have reached it, and
// would otherwise wait for it for ever.
func (g *Group) discover() {
	for _, t := range g.cfg.Catalog.Load().ByService[g.Service] {
		go g.Ask(context.Background(), t.ID, askTimeout)
	}
}

// Ask asks a target for its account of itself, and counts silence as a failure
// from the moment of the question on.
func (g *Group) Ask(ctx context.Context, id target.ID, timeout time.Duration) {
	sent := g.cfg.Clock.Now()
	_, err := g.Status(ctx, id, timeout)
	if err == nil || lane.Answered(err) {
		return
	}
	g.Health.Failed(id, sent, lane.Refused(err))
	g.cfg.Log.Debug("status-unanswered", zap.String("target", string(id)), zap.Error(err))
}

// Replicas returns the targets other than the primary, those that stay first.
func (g *Group) Replicas(primary target.ID) []*catalog.Target {
	var stay, leave []*catalog.Target
	for _, t := range g.cfg.Catalog.Load().ByService[g.Service] {
		switch {
		case t.ID == primary:
		case t.Draining:
			leave = append(leave, t)
		default:
			stay = append(stay, t)
		}
	}
	return append(stay, leave...)
}

// Witness proves that nobody was promoted beyond the believed primary's term at
// some moment after it was called. A replica asked since then that still
// follows the term and is not paused for a later one proves it, for a promotion
// pauses all of them first. If none can say so, as when the other targets are
// dead or receive nothing, the store is asked: every promotion is recorded
// there before it begins.
func (g *Group) Witness(ctx context.Context, b leadership.Belief, first int) error {
	replicas := g.Replicas(b.Primary)
	for i := range replicas {
		t := replicas[(first+i)%len(replicas)]
		s, err := g.Status(ctx, t.ID, askTimeout)
		switch {
		case err != nil || s.Role != target.RoleReplica || s.Paused != 0:
		case s.Term == b.Term:
			return nil
		case s.Term > b.Term:
			g.Rediscover()
			return ErrSuperseded
		}
		if ctx.Err() != nil {
			return ErrNoWitness
		}
	}
	return g.witnessByRecord(ctx, b)
}

// Permitted reports whether the primary may be taken for unchanged at the
// moment of a request, without a question: a witness was asked so shortly
// before that no attempt can have got past its fences since.
//
// Failure guarded against: an exact read at a primary that was replaced a
// moment ago. It holds because an attempt promotes nobody before every VM on
// the fleet's list has given up its permission, or Permission has passed since
// the last target was paused; and a VM that is not surely on the list has none.
func (g *Group) Permitted(b leadership.Belief, arrived clock.Time) bool {
	if !g.cfg.Eligible() || g.hasRevoked() {
		return false
	}
	return g.Freshness.WitnessedSince(b.Term, arrived.Add(-takeover.Permission))
}

// hasRevoked reports whether an attempt is under way, as far as is known.
func (g *Group) hasRevoked() bool {
	r := g.cfg.Catalog.Load().Reigns[g.Service]
	if r != nil && r.Attempt != nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := r != nil && r.Revision > g.revoked
	return g.revoked != 0 && !ended && g.cfg.Clock.Now().Sub(g.revokedAt) < takeover.Lapse
}

// Revoke gives up this VM's permission for the attempt of a revision.
func (g *Group) Revoke(revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if revision > g.revoked {
		g.revoked, g.revokedAt = revision, g.cfg.Clock.Now()
	}
}

// witnessByRecord is the store's word for Witness.
func (g *Group) witnessByRecord(ctx context.Context, b leadership.Belief) error {
	asked := g.cfg.Clock.Now()
	r, err := g.cfg.Records.Current(ctx, g.Service)
	if err != nil {
		return ErrNoWitness
	}
	if r.Attempt != nil || (r.Primary != "" && r.Primary != b.Primary) {
		g.Rediscover()
		return ErrSuperseded
	}
	g.Freshness.WitnessByRecord(b.Term, b.Primary, asked)
	return nil
}

// Refresh asks the primary and a replica, so that there is evidence of now.
// Those who call it at once share one round.
func (g *Group) Refresh(ctx context.Context) {
	g.mu.Lock()
	running := g.refreshing
	if running == nil {
		running = make(chan struct{})
		g.refreshing = running
		go g.refresh(running)
	}
	g.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
	}
}

func (g *Group) refresh(done chan struct{}) {
	defer func() {
		g.mu.Lock()
		g.refreshing = nil
		g.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*askTimeout)
	defer cancel()
	b, err := g.Primary(ctx)
	if err != nil {
		return
	}
	if _, err := g.Status(ctx, b.Primary, askTimeout); err != nil {
		g.cfg.Log.Debug("status-unanswered", zap.String("target", string(b.Primary)), zap.Error(err))
		return
	}
	// The witness is asked after the sample: only then does it cover it.
	if err := g.Witness(ctx, b, 0); err != nil {
		g.cfg.Log.Debug("no-witness", zap.String("service", g.Service), zap.Error(err))
	}
}
