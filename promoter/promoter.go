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

// Records stores the fleet's leadership records. All changes are conditional on the record's
// revision.
type Records interface {
	// Begin records an attempt, given the known record of the service, and returns the new record
	// with its revision.
	Begin(ctx context.Context, known *catalog.LeadershipRecord, a catalog.Attempt) (*catalog.LeadershipRecord, error)
	// End removes the attempt from the record. The primary is the one that now leads, as far as the
	// fleet has ordered it.
	End(ctx context.Context, held *catalog.LeadershipRecord, primary target.ID) error
}

// Designator requests that the platform make a target the primary. Nothing was done if the error is
// ErrNotRunning or the platform's refusal.
type Designator interface {
	Promote(ctx context.Context, holder string, token int64, service string, id target.ID) error
}

// Fleet provides what an attempt needs from the other VMs and the store.
type Fleet interface {
	// ListTargets returns the service's targets as the store has them now.
	ListTargets(ctx context.Context, service string) ([]target.ID, error)
	// RevokeAll reports whether every VM on the fleet's list has given up its
	// permission. The list is read from the store after the attempt was
	// recorded there.
	RevokeAll(ctx context.Context, held *catalog.LeadershipRecord) bool
	// Reaches reports whether this VM reaches any other VM at a given time, as far as it has tried.
	Reaches(now clock.Time) bool
}

// Config of a Promoter.
type Config struct {
	// Node is this VM's name, under which it holds attempts.
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
	// Era returns the latest known era of the store, and RestoredAt when that era was first
	// received; 0 means that this process knows no other. If they are nil the store has only one
	// era.
	Era        func() int64
	RestoredAt func() clock.Time
	// Reset discards what others keep of failures that this VM's own state explains; nil if nobody does.
	Reset func()
}

const (
	// tick is the interval at which the symptoms of the primaries are evaluated.
	tick = 50 * time.Millisecond
	// statusTimeout bounds a status query to a primary that seems unresponsive.
	statusTimeout = 250 * time.Millisecond
	// statusInterval is the interval between those queries.
	statusInterval = 100 * time.Millisecond
	// unansweredAfter is how long statements may wait with none answered before the primary is
	// queried: longer than the longest usual work of 45 ms behind a queue, and short compared with
	// UnresponsiveAfter.
	unansweredAfter = 150 * time.Millisecond
	// suspendedAfter is the gap between two ticks that shows that this VM itself was suspended:
	// requests that went unanswered then do not show a fault of the primary.
	suspendedAfter = 400 * time.Millisecond
	// attemptPause is the least time between two attempts of this VM.
	attemptPause = 400 * time.Millisecond
)

// Promoter watches all services.
type Promoter struct {
	cfg           Config
	lastCheck     clock.Time // when CheckDue was last called
	isolatedSince clock.Time // since when this VM reaches no other VM; 0 if it reaches one

	mu       sync.Mutex
	services map[string]*serviceState
	running  sync.WaitGroup
}

// serviceState is the Promoter's state of one service.
type serviceState struct {
	queriedAt    clock.Time
	reason       takeover.Reason
	reasonSince  clock.Time
	busy         bool
	notBefore    clock.Time
	nonce        string     // of the latest attempt of this process
	revision     int64      // of the latest known leadership record
	revisionSeen clock.Time // when that revision was first received
	ineffective  target.ID  // designated by this process without effect; it does not lead
	followUps    map[target.ID]*followUp
}

// New returns a Promoter.
func New(cfg Config) *Promoter {
	if cfg.Era == nil {
		cfg.Era = func() int64 { return 0 }
		cfg.RestoredAt = func() clock.Time { return 0 }
	}
	return &Promoter{cfg: cfg, services: make(map[string]*serviceState)}
}

// Run watches until ctx ends, and then waits for an attempt under way.
func (p *Promoter) Run(ctx context.Context) {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-timer.C:
			p.CheckDue(ctx, n)
		case <-ctx.Done():
			p.running.Wait()
			return
		}
	}
}

// CheckDue evaluates the services that are due in a tick, and begins the attempts that this VM is
// to make. It is called by one goroutine.
func (p *Promoter) CheckDue(ctx context.Context, n int) {
	now := p.cfg.Clock.Now()
	if p.lastCheck != 0 && now.Sub(p.lastCheck) > suspendedAfter {
		p.cfg.Log.Info("stood-still")
		p.resetFailures(now)
	}
	p.lastCheck = now
	p.recordIsolation(now)
	for _, g := range p.cfg.Groups.Due(n) {
		g.TrustReplicas()
		g.ConfirmTargets()
		p.check(ctx, g, now)
	}
	for _, g := range p.cfg.Groups.Used() {
		g.VerifyCopies()
	}
}

// recordIsolation records whether this VM reaches others. Once it does again, requests that went
// unanswered meanwhile do not show a fault of the primaries.
func (p *Promoter) recordIsolation(now clock.Time) {
	switch reaches := p.reachesOthers(); {
	case reaches && p.isolatedSince != 0:
		p.cfg.Log.Info("reaches-others", zap.Duration("apart", now.Sub(p.isolatedSince)))
		p.isolatedSince = 0
		p.resetFailures(now)
	case !reaches && p.isolatedSince == 0:
		p.cfg.Log.Warn("reaches-nobody")
		p.isolatedSince = now
	}
}

// reachesOthers reports whether this VM reaches any other VM.
func (p *Promoter) reachesOthers() bool { return p.cfg.Fleet.Reaches(p.cfg.Clock.Now()) }

// resetFailures discards failures that this VM's own state explains.
func (p *Promoter) resetFailures(now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.Reset != nil {
		p.cfg.Reset()
	}
	for _, g := range p.cfg.Groups.All() {
		g.Health.Reset(now)
		w := p.stateOf(g.Service)
		w.reason = takeover.ReasonNone
	}
}

// stateOf returns the state of a service; the caller holds the lock.
func (p *Promoter) stateOf(service string) *serviceState {
	w := p.services[service]
	if w == nil {
		w = &serviceState{followUps: make(map[target.ID]*followUp)}
		p.services[service] = w
	}
	return w
}

// check evaluates one service and begins an attempt if one is due.
func (p *Promoter) check(ctx context.Context, g *groups.Group, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.stateOf(g.Service)
	b := g.Leadership.Current()
	if b.Primary == w.ineffective {
		w.ineffective = ""
	}
	p.sendFollowUps(ctx, g, w, now)
	known := p.leadershipRecord(g.Service)
	others := p.otherAttempt(known, w, now) || p.restoredRecently(now)
	symptoms := p.symptoms(g, b.Primary, now)
	symptoms.Settled = now.Sub(w.revisionSeen)
	if p.suspected(g, b.Primary, now) && now.Sub(w.queriedAt) >= statusInterval {
		w.queriedAt = now
		go g.Probe(ctx, b.Primary, spending.Suspicion, 0, statusTimeout)
	}
	reason := takeover.Diagnose(symptoms)
	leftOpen := p.abandoned(known, w, b.Primary, now)
	var followsUp target.ID
	if x := w.pausedFollowUp(); x != nil && known.Attempt == nil {
		leftOpen, followsUp = true, x.replaced
	}
	if reason == takeover.ReasonNone && leftOpen {
		reason = takeover.ReasonAbandoned
	}
	if reason != w.reason {
		w.reason, w.reasonSince = reason, now
	}
	if reason == takeover.ReasonNone || w.busy || now.Before(w.notBefore) || others {
		return
	}
	if now.Sub(w.reasonSince) < p.staggerDelay(g.Service, reason) {
		return
	}
	w.busy = true
	p.running.Add(1)
	a := &attempt{p: p, g: g, reason: reason, old: b.Primary, known: known, started: now, others: g.Replicas(b.Primary), cleansUp: leftOpen && reason.Answers(),
		followsUp: followsUp, isolated: p.isolatedSince != 0}
	go p.runAttempt(context.WithoutCancel(ctx), a, b, symptoms)
}

func (p *Promoter) symptoms(g *groups.Group, primary target.ID, now clock.Time) takeover.Symptoms {
	s := takeover.Symptoms{Known: primary != "", Absent: g.Absent()}
	if t := p.cfg.Catalog.Load().Targets[primary]; t != nil {
		s.Draining = t.Draining
	}
	h := g.Health.Symptoms(primary, now)
	s.Unresponsive, s.Refusals, s.Stalled = h.Unresponsive, h.Refusals, h.Stalled
	s.ReadsLate = g.LateReads.Duration(now)
	return s
}

// suspected reports whether the primary should be queried whether it is alive.
func (p *Promoter) suspected(g *groups.Group, primary target.ID, now clock.Time) bool {
	h := g.Health.Symptoms(primary, now)
	return primary != "" && (h.Unresponsive > 0 || h.Unanswered > unansweredAfter)
}

// leadershipRecord returns the service's leadership record; an empty one if there is none.
func (p *Promoter) leadershipRecord(service string) *catalog.LeadershipRecord {
	if r := p.cfg.Catalog.Load().LeadershipRecords[service]; r != nil {
		return r
	}
	return &catalog.LeadershipRecord{Service: service}
}

// otherAttempt reports whether another VM's attempt is under way and has not expired, or has ended
// within the settle period.
func (p *Promoter) otherAttempt(r *catalog.LeadershipRecord, w *serviceState, now clock.Time) bool {
	if r.Revision != w.revision {
		w.revision, w.revisionSeen = r.Revision, now
	}
	since := now.Sub(w.revisionSeen)
	switch {
	case r.Attempt != nil:
		return since < p.expireAfter(r, w)
	case r.Holder != "" && r.Holder != p.cfg.Node:
		return since < takeover.SettlePeriod
	default:
		return false
	}
}

// restoredRecently reports whether the store was restored from an older copy so recently that an
// attempt whose record is lost may still be under way.
//
// Failure guarded against: a VM begins an attempt of its own in parallel with one whose record the
// store has lost. Both replace the primary, one of them under a lower token than the platform has
// already received.
func (p *Promoter) restoredRecently(now clock.Time) bool {
	at := p.cfg.RestoredAt()
	return at != 0 && now.Sub(at) < takeover.SettlePeriod
}

// expireAfter returns how long an open attempt is left to its holder.
//
// Failure guarded against: the holder of an attempt is killed and restarts. It would wait for its
// own attempt to expire, as all others do, while no target leads.
func (p *Promoter) expireAfter(r *catalog.LeadershipRecord, w *serviceState) time.Duration {
	if r.Attempt.Holder == p.cfg.Node && r.Attempt.Nonce != w.nonce {
		return takeover.OwnExpireAfter
	}
	return takeover.ExpireAfter
}

func (p *Promoter) staggerDelay(service string, reason takeover.Reason) time.Duration {
	c := p.cfg.Catalog.Load()
	vms, last := c.VMNames(), c.YieldingVMs()
	if reason.Listed() {
		return takeover.ListedStaggerDelay(service, p.cfg.Node, vms, last...)
	}
	return takeover.StaggerDelay(service, p.cfg.Node, vms, last...)
}

// done makes this VM's next attempt possible after a pause.
func (p *Promoter) done(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.stateOf(a.g.Service)
	now := p.cfg.Clock.Now()
	w.busy, w.notBefore = false, now.Add(a.pauseAfter())
	w.reason = takeover.ReasonNone
	p.running.Done()
}
