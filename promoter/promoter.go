package promoter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// Records keeps the fleet's records of leadership in the store. All changes
// are conditional on the record's revision.
type Records interface {
	// Begin records an attempt on top of what is known of the service, and
	// returns the revision that it got.
	Begin(ctx context.Context, known *catalog.LeadershipRecord, a catalog.Attempt) (*catalog.LeadershipRecord, error)
	// End takes the attempt away again. The primary is the one that now leads,
	// as far as the fleet has ordered it.
	End(ctx context.Context, held *catalog.LeadershipRecord, primary target.ID) error
}

// Designator orders the platform to make a target the primary. The errors
// ErrNotRunning and ErrRefused say that nothing was done.
type Designator interface {
	Promote(ctx context.Context, holder string, token int64, service string, id target.ID) error
}

// Fleet is what the other VMs and the store are asked for by an attempt.
type Fleet interface {
	// ListTargets returns the service's targets as the store has them now.
	ListTargets(ctx context.Context, service string) ([]target.ID, error)
	// RevokeAll reports whether every VM on the fleet's list has given up its
	// permission. The list is read from the store after the attempt was
	// recorded there.
	RevokeAll(ctx context.Context, held *catalog.LeadershipRecord) bool
	// Reaches reports whether this VM reaches any other at a moment, as far as it has
	// tried.
	Reaches(now clock.Time) bool
}

// Config of a Promoter.
type Config struct {
	// Node is this VM's name. It holds attempts by it.
	Node     string
	Catalog  *catalog.Holder
	Groups   *groups.Registry
	Records  Records
	Platform Designator
	Fleet    Fleet
	Clock    clock.Clock
	Log      *zap.Logger
	// Nonce returns a new name for an attempt.
	Nonce func() string
	// Era is the latest era of the store that is known, and RestoredAt when it was first
	// heard of; 0 is that this process knows no other. If they are nil the store has one
	// era only.
	Era        func() int64
	RestoredAt func() clock.Time
}

const (
	// tick is how often the primaries' signs are looked at.
	tick = 50 * time.Millisecond
	// askTimeout bounds a question to a primary that seems dead.
	askTimeout = 250 * time.Millisecond
	// askEvery is the interval of those questions.
	askEvery = 100 * time.Millisecond
	// quietAfter is how long statements may wait with none answered before the
	// primary is asked: longer than the longest usual work of 45 ms behind a
	// queue, short against SilentAfter.
	quietAfter = 150 * time.Millisecond
	// stoodStill is the gap between two ticks that shows that this VM itself
	// stood still: what went unanswered then says nothing of the primary.
	stoodStill = 400 * time.Millisecond
	// tryPause is the least time between two attempts of this VM.
	tryPause = 400 * time.Millisecond
)

// Promoter watches all services.
type Promoter struct {
	cfg   Config
	last  clock.Time // when Look was last called
	apart clock.Time // since when this VM reaches no other; 0 if it does

	mu      sync.Mutex
	watched map[string]*watched
	running sync.WaitGroup
}

// watched is what the Promoter keeps of one service.
type watched struct {
	asked     clock.Time
	reason    takeover.Reason
	since     clock.Time
	busy      bool
	notBefore clock.Time
	nonce     string     // of the latest attempt of this process
	revision  int64      // of the record of leadership, as last seen
	seen      clock.Time // when it was first seen
	unmoved   target.ID  // designated by this process, and does not lead
	deposed   map[target.ID]*pursuit
}

// New returns a Promoter.
func New(cfg Config) *Promoter {
	if cfg.Era == nil {
		cfg.Era = func() int64 { return 0 }
		cfg.RestoredAt = func() clock.Time { return 0 }
	}
	return &Promoter{cfg: cfg, watched: make(map[string]*watched)}
}

// Run watches until ctx ends, and then waits for an attempt under way.
func (p *Promoter) Run(ctx context.Context) {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-timer.C:
			p.Look(ctx, n)
		case <-ctx.Done():
			p.running.Wait()
			return
		}
	}
}

// Look judges the services that are due in a tick, and begins the attempts that are
// this VM's to make. It is called by one goroutine.
func (p *Promoter) Look(ctx context.Context, n int) {
	now := p.cfg.Clock.Now()
	if p.last != 0 && now.Sub(p.last) > stoodStill {
		p.cfg.Log.Info("stood-still")
		p.forgive(now)
	}
	p.last = now
	p.noteApart(now)
	for _, g := range p.cfg.Groups.Due(n) {
		p.look(ctx, g, now)
	}
}

// noteApart notes whether this VM reaches others. Once it does again, what went
// unanswered meanwhile says nothing of the primaries.
func (p *Promoter) noteApart(now clock.Time) {
	switch reaches := p.reachesOthers(); {
	case reaches && p.apart != 0:
		p.cfg.Log.Info("reaches-others", zap.Duration("apart", now.Sub(p.apart)))
		p.apart = 0
		p.forgive(now)
	case !reaches && p.apart == 0:
		p.cfg.Log.Warn("reaches-nobody")
		p.apart = now
	}
}

// reachesOthers reports whether this VM reaches any other.
func (p *Promoter) reachesOthers() bool { return p.cfg.Fleet.Reaches(p.cfg.Clock.Now()) }

// forgive forgets failures that this VM's own state explains.
func (p *Promoter) forgive(now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.cfg.Groups.All() {
		g.Health.Reset(now)
		w := p.of(g.Service)
		w.reason = takeover.ReasonNone
	}
}

// of returns the service's record; the caller holds the lock.
func (p *Promoter) of(service string) *watched {
	w := p.watched[service]
	if w == nil {
		w = &watched{deposed: make(map[target.ID]*pursuit)}
		p.watched[service] = w
	}
	return w
}

// look judges one service and acts on it.
func (p *Promoter) look(ctx context.Context, g *groups.Group, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.of(g.Service)
	b := g.Leadership.Believed()
	if b.Primary == w.unmoved {
		w.unmoved = ""
	}
	p.pursue(ctx, g, w, now)
	known := p.known(g.Service)
	others := p.othersAct(known, w, now) || p.restoredLately(now)
	signs := p.signs(g, b.Primary, now)
	signs.Settled = now.Sub(w.seen)
	if p.suspicious(g, b.Primary, now) && now.Sub(w.asked) >= askEvery {
		w.asked = now
		go g.Ask(ctx, b.Primary, spending.Suspicion, 0, askTimeout)
	}
	reason := takeover.Judge(signs)
	left := p.abandoned(known, w, b.Primary, now)
	if reason == takeover.ReasonNone && left {
		reason = takeover.ReasonAbandoned
	}
	if reason != w.reason {
		w.reason, w.since = reason, now
	}
	if reason == takeover.ReasonNone || w.busy || now.Before(w.notBefore) || others {
		return
	}
	if now.Sub(w.since) < p.turn(g.Service) {
		return
	}
	w.busy = true
	p.running.Add(1)
	a := &attempt{p: p, g: g, reason: reason, old: b.Primary, known: known, started: now, others: g.Replicas(b.Primary), tidies: left && reason.Answers()}
	go p.act(context.WithoutCancel(ctx), a, b, signs)
}

func (p *Promoter) signs(g *groups.Group, primary target.ID, now clock.Time) takeover.Signs {
	s := takeover.Signs{Known: primary != "", Absent: g.Absent()}
	if t := p.cfg.Catalog.Load().Targets[primary]; t != nil {
		s.Draining = t.Draining
	}
	h := g.Health.Signs(primary, now)
	s.Silent, s.Refusals, s.Stalled = h.Silent, h.Refusals, h.Stalled
	s.Crowded = g.Crowd.For(now)
	return s
}

// suspicious reports whether the primary should be asked if it lives.
func (p *Promoter) suspicious(g *groups.Group, primary target.ID, now clock.Time) bool {
	h := g.Health.Signs(primary, now)
	return primary != "" && (h.Silent > 0 || h.Quiet > quietAfter)
}

// known is the service's record of leadership; an empty one if there is none.
func (p *Promoter) known(service string) *catalog.LeadershipRecord {
	if r := p.cfg.Catalog.Load().LeadershipRecords[service]; r != nil {
		return r
	}
	return &catalog.LeadershipRecord{Service: service}
}

// othersAct reports whether another VM's attempt is under way and has not
// lapsed, or has ended just now.
func (p *Promoter) othersAct(r *catalog.LeadershipRecord, w *watched, now clock.Time) bool {
	if r.Revision != w.revision {
		w.revision, w.seen = r.Revision, now
	}
	since := now.Sub(w.seen)
	switch {
	case r.Attempt != nil:
		return since < p.lapse(r, w)
	case r.Holder != "" && r.Holder != p.cfg.Node:
		return since < takeover.Settle
	default:
		return false
	}
}

// restoredLately reports whether the store has come back from an older copy so lately
// that an attempt whose record is lost may still be under way.
//
// Failure guarded against: a VM begins an attempt of its own beside one that the store has
// forgotten. Both replace the primary, one of them under a token that is lower than what the
// platform has seen.
func (p *Promoter) restoredLately(now clock.Time) bool {
	at := p.cfg.RestoredAt()
	return at != 0 && now.Sub(at) < takeover.Settle
}

// lapse is how long an attempt is left to its holder.
//
// Failure guarded against: the holder of an attempt is killed and starts anew. It
// would wait for its own attempt to lapse, as all others do, while nobody leads.
func (p *Promoter) lapse(r *catalog.LeadershipRecord, w *watched) time.Duration {
	if r.Attempt.Holder == p.cfg.Node && r.Attempt.Nonce != w.nonce {
		return takeover.OwnLapse
	}
	return takeover.Lapse
}

func (p *Promoter) turn(service string) time.Duration {
	return takeover.Turn(service, p.cfg.Node, p.cfg.Catalog.Load().VMNames())
}

// done lets the next attempt of this VM come after a pause.
func (p *Promoter) done(g *groups.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.of(g.Service)
	now := p.cfg.Clock.Now()
	w.busy, w.notBefore = false, now.Add(tryPause)
	w.reason = takeover.ReasonNone
	p.running.Done()
}
