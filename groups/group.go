package groups

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// askTimeout bounds one question to a target: a slot may have to become
	// free first, behind a full queue of 24 requests of 18 ms on 3 slots.
	askTimeout = 300 * time.Millisecond
	// discoverEvery is the interval between two rounds of questions while no
	// target is known to lead.
	discoverEvery = 100 * time.Millisecond
	// maxDiscover is the longest such interval. It grows by half each time that
	// nothing came of it: a change of primary that takes longer than some hundred
	// milliseconds waits for something else, and the store tells of a new primary.
	maxDiscover = 800 * time.Millisecond
	// forgetRounds is the time without questions after which they begin anew at
	// the shortest interval.
	forgetRounds = 2 * time.Second
)

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
	// Crowd tells whether reads crowd there.
	Crowd Crowd
	// Breaker tells whether requests should wait for the primary.
	Breaker Breaker

	cfg *Config
	// slot is the tick in which the group is looked at though nobody uses it.
	slot int
	used atomic.Int64 // clock.Time of the latest request for it

	mu         sync.Mutex
	believed   leadership.Belief
	changed    chan struct{}
	absent     clock.Time // since when nobody is believed to lead
	discovered clock.Time
	pause      time.Duration // until the next round of questions
	refreshing chan struct{}
	renewing   bool
	superseded superseded
	nextLook   clock.Time               // when silent replicas are asked again; 0 while they answer
	revoked    int64                    // the attempt for which the permission was given up
	revokedAt  clock.Time               // when it was
	deposed    target.ID                // the primary that the attempt replaces
	leaving    map[target.ID]clock.Time // since when a target is known to leave
	lives      map[target.ID]life
}

func newGroup(service string, cfg *Config) *Group {
	return &Group{
		Service:    service,
		Leadership: leadership.NewBoard(),
		Freshness:  &freshness.Board{},
		cfg:        cfg,
		slot:       int(xxhash.Sum64String(service) % Ticks),
		absent:     cfg.Clock.Now(),
		changed:    make(chan struct{}),
	}
}

// useNoted is how exactly the latest use is known: requests on many threads seldom
// write to the same place then.
const useNoted = time.Second

func (g *Group) noteUse(now clock.Time) {
	if used := g.used.Load(); used == 0 || now.Sub(clock.Time(used)) >= useNoted {
		g.used.Store(int64(now))
	}
}

// inUse reports whether there was a request for the service lately.
func (g *Group) inUse(now clock.Time) bool {
	used := g.used.Load()
	return used != 0 && now.Sub(clock.Time(used)) < useLasts
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

func (g *Group) listed(targets []*catalog.Target, c *catalog.Catalog) {
	g.noteLeaving(targets)
	for _, t := range g.noteLives(targets, c.TargetsRevision) {
		g.cfg.Log.Info("target-reborn", zap.String("service", g.Service), zap.String("target", string(t.ID)),
			zap.Int64("incarnation", t.Incarnation), zap.Int64("revision", c.TargetsRevision))
		g.Leadership.Reborn(t.ID)
	}
	g.Leadership.Listed(targets, c.LeadershipRecords[g.Service])
	g.noteBelief()
}

// noteLeaving keeps since when each target is known to leave.
func (g *Group) noteLeaving(targets []*catalog.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leaving := make(map[target.ID]clock.Time)
	for _, t := range targets {
		if !t.Draining {
			continue
		}
		leaving[t.ID] = g.leaving[t.ID]
		if leaving[t.ID] == 0 {
			leaving[t.ID] = g.cfg.Clock.Now()
		}
	}
	g.leaving = leaving
}

// MayWork reports whether a target may still be given work.
//
// Failure guarded against: a primary that leaves and cannot be replaced goes on
// getting work until it is gone with it. Its consumers are refused instead once
// the time has passed in which a leaving target may still be used.
func (g *Group) MayWork(id target.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	since := g.leaving[id]
	return since == 0 || g.cfg.LeaveAfter <= 0 || g.cfg.Clock.Now().Sub(since) < g.cfg.LeaveAfter
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
	if now.Primary != "" && now.Primary != g.believed.Primary {
		g.Breaker.Served()
	}
	g.believed = now
	if now.Primary != "" {
		g.absent = 0
		g.Health.Watch(now.Primary)
	} else {
		g.absent = g.lost()
	}
	g.pause = discoverEvery
	close(g.changed)
	g.changed = make(chan struct{})
}

// lost is since when nobody leads, now that nobody is believed to any more. A
// primary whose entry has gone was lost when it ceased to answer: to wait for
// claims of others anew would keep consumers waiting.
func (g *Group) lost() clock.Time {
	now := g.cfg.Clock.Now()
	if since := g.Health.Failing(g.Health.Watched()); since != 0 {
		return since
	}
	return now
}

// Told takes over a target's status.
func (g *Group) Told(id target.ID, s statement.Status) {
	g.Leadership.Told(id, s.Role, s.Term)
	g.noteBelief()
}

// Heard takes over what a target said some time ago, to this VM or another.
func (g *Group) Heard(id target.ID, role target.Role, term timeline.Term) {
	g.Leadership.Heard(id, role, term)
	g.noteBelief()
}

// Hear takes over another VM's proof, and the position that new primaries must hold.
func (g *Group) Hear(p freshness.Proof, acknowledged timeline.Position) {
	g.Freshness.Relay(p)
	g.Acknowledged.Told(p.Position)
	g.Acknowledged.Raise(acknowledged)
	g.Heard(p.Leader, target.RolePrimary, p.Term)
}

// Refused records that a target does not lead any more.
func (g *Group) Refused(id target.ID) {
	g.Leadership.Refused(id)
	g.noteBelief()
}

// Status asks a target for its account of itself.
func (g *Group) Status(ctx context.Context, id target.ID, why spending.Reason, timeout time.Duration) (statement.Status, error) {
	s, _, err := g.Recent(ctx, id, why, 0, timeout)
	return s, err
}

// Recent returns a target's account of itself that is at most maxAge old, and the
// moment as of which it surely holds. It asks the target unless another VM has just
// done so. What is older than the call says nothing of whether the target lives.
func (g *Group) Recent(ctx context.Context, id target.ID, why spending.Reason, maxAge, timeout time.Duration) (statement.Status, clock.Time, error) {
	sent := g.cfg.Clock.Now()
	rows, age, err := g.cfg.Asker.Recent(ctx, id, maxAge, timeout)
	if age > 0 && err == nil {
		s, err := g.decode(id, rows)
		if err == nil {
			g.Heard(id, s.Role, s.Term)
			g.observe(id, s, sent.Add(-age))
		}
		return s, sent.Add(-age), err
	}
	s, err := g.answered(id, rows, why, sent, err)
	return s, sent, err
}

// Order sends a target an order that is answered with its status, and takes the
// answer over.
func (g *Group) Order(ctx context.Context, id target.ID, ask lane.Command, timeout time.Duration) (statement.Status, error) {
	sent := g.cfg.Clock.Now()
	rows, err := g.cfg.Asker.Control(ctx, id, ask, timeout)
	return g.answered(id, rows, spending.Change, sent, err)
}

// answered takes over a target's own answer to a question or an order.
func (g *Group) answered(id target.ID, rows []string, why spending.Reason, sent clock.Time, err error) (statement.Status, error) {
	if g.cfg.Asked != nil {
		g.cfg.Asked(why)
	}
	if lane.Answered(err) {
		g.Health.Answered(id)
	}
	if err != nil {
		return statement.Status{}, err
	}
	s, err := g.decode(id, rows)
	if err != nil {
		return s, err
	}
	g.Health.Answered(id)
	g.Told(id, s)
	g.observe(id, s, sent)
	return s, nil
}

func (g *Group) decode(id target.ID, rows []string) (statement.Status, error) {
	if len(rows) == 0 {
		return statement.Status{}, errors.Errorf("%s gave no status", id)
	}
	return g.cfg.Decode(rows[0])
}

// observe turns a status into evidence for reads.
func (g *Group) observe(id target.ID, s statement.Status, sent clock.Time) {
	if s.Role == target.RolePrimary {
		g.Freshness.Sample(s.Term, id, sent, s.Received)
		return
	}
	if s.Role == target.RoleReplica && s.Paused == 0 && g.Vouches(id) {
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
		if b.Primary != "" && b.Term != 0 && !g.Deposing(b.Primary) && g.MayWork(b.Primary) {
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

// discoverSoon asks who leads, unless that was done just now.
func (g *Group) discoverSoon() {
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	since := now.Sub(g.discovered)
	first := g.discovered == 0 || since > forgetRounds
	due := since >= g.pause || g.discovered == 0
	if due {
		g.pause = min(max(g.pause+g.pause/2, discoverEvery), maxDiscover)
		if first {
			g.pause = discoverEvery
		}
		g.discovered = now
	}
	g.mu.Unlock()
	if due {
		g.discover(first)
	}
}

// termAge is how old a target's word may be of the term in which it leads: a term
// stays, and if another one leads by now, a request finds out.
const termAge = time.Second

// discover asks who leads. If one target is listed to, the first question is for its
// term alone; the next ones are for all. That the believed primary does not answer
// counts as its failure: a VM that has just started may never have reached it, and
// would otherwise wait for it for ever.
//
// Failure guarded against: every VM of a large fleet asks all targets of each service
// that it meets, when the fleet starts and after each end of it, though nobody
// contests the lead.
func (g *Group) discover(first bool) {
	if b := g.Leadership.Believed(); first && b.Primary != "" && b.Term == 0 && !b.Contested {
		go g.Ask(context.Background(), b.Primary, spending.Discovery, termAge, askTimeout)
		return
	}
	for _, t := range g.cfg.Catalog.Load().ByService[g.Service] {
		go g.Ask(context.Background(), t.ID, spending.Discovery, discoverEvery, askTimeout)
	}
}

// Ask asks a target for its account of itself, which may be maxAge old, and counts silence as a failure
// from the moment of the question on.
func (g *Group) Ask(ctx context.Context, id target.ID, why spending.Reason, maxAge, timeout time.Duration) {
	sent := g.cfg.Clock.Now()
	_, _, err := g.Recent(ctx, id, why, maxAge, timeout)
	if err == nil || lane.Answered(err) {
		return
	}
	g.Health.Failed(id, sent, lane.Refused(err))
	g.cfg.Log.Debug("status-unanswered", zap.String("target", string(id)), zap.Error(err))
}
