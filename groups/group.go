package groups

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/retry"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// statusTimeout bounds one status query or command. It may have to wait for a free slot, behind
	// a full queue of 24 requests of 18 ms on 3 slots.
	statusTimeout = 300 * time.Millisecond
	// discoverInterval is the interval between two rounds of status queries while no target is
	// known to lead.
	discoverInterval = 100 * time.Millisecond
	// maxDiscoverInterval bounds that interval. It grows by half with each round that finds no
	// primary: a change of primary that takes longer than some hundred milliseconds waits for
	// another event, and the store reports a new primary.
	maxDiscoverInterval = 800 * time.Millisecond
	// discoverResetAfter is the time without rounds after which they begin again at the shortest
	// interval.
	discoverResetAfter = 2 * time.Second
)

// repeats bounds how often statements of a service are sent again: so many that reads find another
// target when one of three fails, and so few that an overload is not multiplied.
var repeats = retry.Config{Ratio: 0.35, Burst: 20, IdleInterval: time.Second}

// Group is the state of one service.
type Group struct {
	// Service is the service's name.
	Service string
	// Leadership tracks which target is the primary.
	Leadership *leadership.Tracker
	// Freshness holds the evidence for reads.
	Freshness *freshness.Tracker
	// Acknowledged is the position that a new primary must hold.
	Acknowledged Acknowledged
	// Health tracks whether the primary answers.
	Health Health
	// LateReads tracks late reads at the primary.
	LateReads LateReads
	// Breaker decides whether requests should wait for the primary.
	Breaker Breaker
	// Busy assigns the return times of callers refused because targets have no room.
	Busy Returns
	// Repeats is the budget for sending statements of the service again.
	Repeats *retry.Budget

	copies logCopies

	cfg *Config
	// slot is the tick in which the group is due even if the service is not in use.
	slot int
	used atomic.Int64 // clock.Time of the latest request for the service

	// latestJoin and startedAt are those of the Registry.
	latestJoin *atomic.Int64
	startedAt  clock.Time

	// targets and record are those of the latest update; mu guards writes of targets.
	targets []*catalog.Target
	record  *catalog.LeadershipRecord

	mu               sync.Mutex
	state            leadership.State
	changed          chan struct{}
	absentSince      clock.Time // since when no primary is known; 0 if one is
	led              bool       // set once a primary was known
	discoveredAt     clock.Time
	discoverPause    time.Duration // between two rounds of status queries
	refreshing       chan struct{}
	renewing         bool
	superseded       superseded
	nextReplicaCheck clock.Time               // when unresponsive replicas are queried again; 0 while they answer
	revokedRevision  int64                    // revision of the attempt for which the permission was given up
	revokedAt        clock.Time               // when the permission was given up
	replaced         target.ID                // the primary that the attempt replaces
	attemptRevision  catalog.Revision         // of the latest known attempt
	attemptAfter     timeline.Term            // the latest term known when this VM learned of that attempt
	endedRevision    catalog.Revision         // of the latest known record without an attempt
	endedAt          clock.Time               // when this VM learned of that record
	drainingSince    map[target.ID]clock.Time // since when a target may have been draining
	listConfirmedAt  clock.Time               // as of when targets was the store's list
	targetIDs        []target.ID              // of targets; not modified
	incarnations     map[target.ID]incarnation
	recordReadAt     clock.Time // when the service's record was last read for a proof
}

func newGroup(service string, r *Registry) *Group {
	cfg := &r.cfg
	return &Group{
		Service:     service,
		Leadership:  leadership.NewTracker(),
		Freshness:   &freshness.Tracker{},
		cfg:         cfg,
		latestJoin:  &r.latestJoin,
		startedAt:   r.startedAt,
		copies:      logCopies{left: r.startedAt},
		slot:        int(xxhash.Sum64String(service) % Ticks),
		absentSince: cfg.Clock.Now(),
		Repeats:     retry.NewBudget(repeats),
		changed:     make(chan struct{}),
	}
}

// useResolution is the resolution of the time of the latest use, so that concurrent requests seldom
// write to the same memory location.
const useResolution = time.Second

func (g *Group) recordUse(now clock.Time) {
	if used := g.used.Load(); used == 0 || now.Sub(clock.Time(used)) >= useResolution {
		g.used.Store(int64(now))
	}
}

// inUse reports whether there was a request for the service within inUseWindow.
func (g *Group) inUse(now clock.Time) bool {
	used := g.used.Load()
	return used != 0 && now.Sub(clock.Time(used)) < inUseWindow
}

// Absent returns how long no primary has been known; 0 if one is. The absence of a primary that was
// never known counts from the latest join of any target.
//
// Failure guarded against: thousands of targets join one after the other as a deployment starts. The
// replicas of some services join seconds before their primary does, and one of them is promoted in
// place of a primary that works.
func (g *Group) Absent() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	since := g.absentSince
	if since == 0 {
		return 0
	}
	if !g.led {
		since = max(since, clock.Time(g.latestJoin.Load()))
	}
	return g.cfg.Clock.Now().Sub(since)
}

// update takes the service's targets and leadership record from a catalog. It is called by one
// goroutine only.
//
// Failure guarded against: each VM that joins or leaves makes every other VM derive the state of all
// services again, and when many VMs restart their processors do little else.
func (g *Group) update(targets []*catalog.Target, c *catalog.Catalog) {
	record := c.LeadershipRecords[g.Service]
	if record == g.record && slices.EqualFunc(targets, g.targets, equalTargets) {
		return
	}
	if slices.ContainsFunc(targets, g.isNew) {
		g.latestJoin.Store(int64(g.cfg.Clock.Now()))
	}
	if anyLeft(g.targets, targets) {
		g.copies.recordLeft(g.cfg.Clock.Now())
	}
	g.mu.Lock()
	g.targets, g.record, g.targetIDs = targets, record, catalog.IDs(targets)
	g.observeAttempt(record)
	g.mu.Unlock()
	g.attemptEndedAt()
	g.updateTargets(targets, c)
}

// isNew reports whether a target was not listed in the latest update.
func (g *Group) isNew(t *catalog.Target) bool {
	return !slices.ContainsFunc(g.targets, func(known *catalog.Target) bool { return known.ID == t.ID })
}

func equalTargets(a, b *catalog.Target) bool { return *a == *b }

func (g *Group) updateTargets(targets []*catalog.Target, c *catalog.Catalog) {
	g.recordDraining(targets)
	for _, t := range g.recordIncarnations(targets, c.TargetsRevision) {
		g.cfg.Log.Info("target-reborn", zap.String("service", g.Service), zap.String("target", string(t.ID)),
			zap.Int64("incarnation", t.Incarnation), zap.Int64("revision", c.TargetsRevision))
		g.Leadership.RecordRestart(t.ID)
		g.copies.recordLeft(g.cfg.Clock.Now())
	}
	g.Leadership.Listed(targets, c.LeadershipRecords[g.Service])
	g.updateState()
}

// recordDraining records since when each target may have been draining: since this VM last knew that it was
// not.
func (g *Group) recordDraining(targets []*catalog.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since := make(map[target.ID]clock.Time)
	for _, t := range targets {
		if !t.Draining {
			continue
		}
		since[t.ID] = g.drainingSince[t.ID]
		if since[t.ID] == 0 {
			since[t.ID] = g.reportedAfter()
		}
	}
	g.drainingSince = since
}

// unknownReport is the time of a report of which nothing is known.
const unknownReport clock.Time = 1

// reportedAfter returns a time before a report that the latest list contains and the one before did not. The
// caller holds the lock.
func (g *Group) reportedAfter() clock.Time {
	if g.cfg.TargetsConfirmedAt == nil {
		return g.cfg.Clock.Now()
	}
	return max(g.listConfirmedAt, unknownReport)
}

// ConfirmTargets records as of when the list of the latest update is known to be complete. It is to be
// called often.
func (g *Group) ConfirmTargets() {
	if g.cfg.TargetsConfirmedAt == nil {
		return
	}
	// The time is that of this list or an earlier one if the list is loaded after it.
	confirmed := g.cfg.TargetsConfirmedAt()
	listed := g.cfg.Catalog.Load().ByService[g.Service]
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.EqualFunc(listed, g.targets, equalTargets) {
		g.listConfirmedAt = max(g.listConfirmedAt, confirmed)
	}
}

// AcceptsWork reports whether a target may still be given work.
//
// Failure guarded against: a draining primary that cannot be replaced is given work until the
// moment it is removed. Once DrainTimeout has passed since its report, consumers are refused instead. A
// VM that has started since, or hears of the report late, must not count from then.
func (g *Group) AcceptsWork(id target.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	since := g.drainingSince[id]
	return since == 0 || g.cfg.DrainTimeout <= 0 || (since != unknownReport && g.cfg.Clock.Now().Sub(since) < g.cfg.DrainTimeout)
}

// updateState takes the current state from Leadership and, if it has changed, wakes the requests
// that wait for a primary.
func (g *Group) updateState() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Leadership.Current()
	if now == g.state {
		return
	}
	if now.Primary != g.state.Primary {
		g.cfg.Log.Log(g.primaryLogLevel(), "primary-believed", zap.String("service", g.Service), zap.String("primary", string(now.Primary)),
			zap.Uint64("term", uint64(now.Term)), zap.String("before", string(g.state.Primary)), zap.Bool("contested", now.Contested))
	}
	if now.Primary != "" && now.Primary != g.state.Primary {
		g.Breaker.Served(g.cfg.Clock.Now(), Write)
	}
	g.state = now
	if now.Primary != "" {
		g.absentSince, g.led = 0, true
		g.Health.Watch(now.Primary)
	} else {
		g.absentSince = g.primaryLostSince()
	}
	g.discoverPause = discoverInterval
	close(g.changed)
	g.changed = make(chan struct{})
}

// primaryLogLevel is the level at which a change of the primary is logged. The first one of a service
// that this VM does not use is no change that an operator looks for: a VM that starts would log a line
// for each service of the deployment.
func (g *Group) primaryLogLevel() zapcore.Level {
	if g.led || g.used.Load() != 0 {
		return zapcore.InfoLevel
	}
	return zapcore.DebugLevel
}

// primaryLostSince returns since when no target leads, at the time when the primary becomes
// unknown. A primary that was removed from the list was lost when it stopped answering: to count
// the wait for other targets' claims from now would delay consumers.
func (g *Group) primaryLostSince() clock.Time {
	now := g.cfg.Clock.Now()
	if since := g.Health.Failing(g.Health.Watched()); since != 0 {
		return since
	}
	return now
}

// RecordStatus records a target's status.
func (g *Group) RecordStatus(id target.ID, s statement.Status) {
	g.Leadership.RecordStatus(id, s.Role, s.Term)
	g.updateState()
}

// RecordCachedStatus records a status that a target reported some time ago, to this VM or another.
func (g *Group) RecordCachedStatus(id target.ID, role target.Role, term timeline.Term) {
	g.Leadership.RecordCachedStatus(id, role, term)
	g.updateState()
}

// MergeProof merges another VM's proof, and the position that new primaries must hold.
func (g *Group) MergeProof(p freshness.Proof, acknowledged timeline.Position) {
	g.Freshness.MergeProof(p)
	g.Acknowledged.RecordPosition(p.Position)
	g.Acknowledged.Raise(acknowledged)
	g.RecordCachedStatus(p.Leader, target.RolePrimary, p.Term)
}

// BeforeCommit returns a position that a commit sent to a target now will lie beyond.
func (g *Group) BeforeCommit(id target.ID) timeline.Position {
	if b := g.Leadership.Current(); b.Primary == id {
		return g.Acknowledged.beforeIn(b.Term)
	}
	return g.Acknowledged.Before()
}

// Refused records that a target does not lead any more.
func (g *Group) Refused(id target.ID) {
	g.Leadership.Refused(id)
	g.updateState()
}

// Status queries a target for its status.
func (g *Group) Status(ctx context.Context, id target.ID, reason spending.Reason, timeout time.Duration) (statement.Status, error) {
	s, _, err := g.Recent(ctx, id, reason, 0, timeout)
	return s, err
}

// Recent returns a status of a target that is at most maxAge old, and a time at which that status
// certainly held. It queries the target unless another VM has done so within maxAge. A status that
// is older than the call does not show that the target is alive.
func (g *Group) Recent(ctx context.Context, id target.ID, reason spending.Reason, maxAge, timeout time.Duration) (statement.Status, clock.Time, error) {
	sent := g.cfg.Clock.Now()
	rows, age, err := g.cfg.Control.Recent(ctx, id, maxAge, timeout)
	if age > 0 && err == nil {
		s, err := g.decode(id, rows)
		if err == nil {
			g.RecordCachedStatus(id, s.Role, s.Term)
			g.observe(id, s, sent.Add(-age))
		}
		return s, sent.Add(-age), err
	}
	s, err := g.handleReply(id, rows, reason, sent, err)
	return s, sent, err
}

// SendCommand sends a target a command that is answered with its status, and records the reply.
func (g *Group) SendCommand(ctx context.Context, id target.ID, cmd lane.Command, timeout time.Duration) (statement.Status, error) {
	sent := g.cfg.Clock.Now()
	rows, err := g.cfg.Control.Control(ctx, id, cmd, timeout)
	return g.handleReply(id, rows, spending.Change, sent, err)
}

// handleReply records a target's own reply to a status query or command.
func (g *Group) handleReply(id target.ID, rows []string, reason spending.Reason, sent clock.Time, err error) (statement.Status, error) {
	if g.cfg.OnCommand != nil {
		g.cfg.OnCommand(reason)
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
	g.RecordStatus(id, s)
	g.observe(id, s, sent)
	return s, nil
}

func (g *Group) decode(id target.ID, rows []string) (statement.Status, error) {
	if len(rows) == 0 {
		return statement.Status{}, errors.Errorf("reply of %s contains no status row", id)
	}
	return g.cfg.Decode(rows[0])
}

// observe derives evidence for reads from a status.
func (g *Group) observe(id target.ID, s statement.Status, sent clock.Time) {
	if s.Role == target.RolePrimary {
		g.Freshness.Sample(s.Term, id, sent, s.Received)
		g.copies.recordEnd(s.Term, id, sent, s.Received)
		return
	}
	if s.Role == target.RoleReplica && s.Paused == 0 && g.CanWitness(id) {
		g.Freshness.Witness(s.Term, id, sent, g.sufficiency())
		g.copies.recordCopy(s.Term, id, sent, s.Received, g.Freshness)
	}
}

// RecordEnd records that the primary of a term reported the end of its log in its answer to a statement
// that was sent at a time.
func (g *Group) RecordEnd(leader leadership.State, sent clock.Time, end timeline.Position) {
	g.Acknowledged.RecordPosition(end)
	g.Freshness.Sample(leader.Term, leader.Primary, sent, end)
	g.copies.recordEnd(leader.Term, leader.Primary, sent, end)
}

// RecordCopy records that a replica's answer to a statement that was sent at a time shows that it has received a
// position.
func (g *Group) RecordCopy(id target.ID, sent clock.Time, received timeline.Position) {
	if received.LSN == 0 || !g.CanWitness(id) {
		return
	}
	g.Freshness.Seen(id, received, g.sufficiency())
	// The replica was not paused as it received the last position, but may have been since.
	received.LSN--
	g.copies.recordCopy(received.Term, id, sent, received, g.Freshness)
}

// KnownPrimary returns the target that leads; false if requests have to wait for one.
func (g *Group) KnownPrimary() (leadership.State, bool) {
	b := g.Leadership.Current()
	return b, b.Primary != "" && b.Term != 0 && !g.BeingReplaced(b.Primary) && g.AcceptsWork(b.Primary)
}

// Changing reports whether an attempt to replace the primary is known to be under way.
func (g *Group) Changing() bool { return g.hasRevoked() }

// Primary returns the target that leads, and waits until one is known. The term is never 0: a claim
// is verified before it is used.
func (g *Group) Primary(ctx context.Context) (leadership.State, error) {
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		b, known := g.KnownPrimary()
		if known {
			return b, nil
		}
		g.discoverIfDue()
		select {
		case <-changed:
		case <-time.After(discoverInterval):
		case <-ctx.Done():
			return b, ErrNoPrimary
		}
	}
}

// Rediscover queries all targets for the primary, because the current state was contradicted.
func (g *Group) Rediscover() { g.discoverIfDue() }

// discoverIfDue queries the targets for the primary, unless the interval since the last round has
// not passed.
func (g *Group) discoverIfDue() {
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	since := now.Sub(g.discoveredAt)
	first := g.discoveredAt == 0 || since > discoverResetAfter
	due := since >= g.discoverPause || g.discoveredAt == 0
	if due {
		g.discoverPause = min(max(g.discoverPause+g.discoverPause/2, discoverInterval), maxDiscoverInterval)
		if first {
			g.discoverPause = discoverInterval
		}
		g.discoveredAt = now
	}
	g.mu.Unlock()
	if due {
		g.discover(first)
	}
}

// maxTermAge is how old a target's report may be of the term in which it leads: a target's term
// does not change, and if another target leads by now, a request finds out.
const maxTermAge = time.Second

// discover queries the targets for the primary. If one target is listed as the primary, the first
// query is for its term alone; the following rounds query all targets. A query that the current
// primary does not answer counts as its failure: a VM that has just started may never have reached
// it, and would otherwise wait for it without end.
//
// Failure guarded against: every VM of a large fleet queries all targets of each service that it
// uses, when the fleet starts and each time the whole fleet has ended and starts again, as after a
// power loss, although no other target claims to lead.
func (g *Group) discover(first bool) {
	if b := g.Leadership.Current(); first && b.Primary != "" && b.Term == 0 && !b.Contested {
		go g.Probe(context.Background(), b.Primary, spending.Discovery, maxTermAge, statusTimeout)
		return
	}
	for _, t := range g.cfg.Catalog.Load().ByService[g.Service] {
		go g.Probe(context.Background(), t.ID, spending.Discovery, discoverInterval, statusTimeout)
	}
}

// Probe queries a target for its status, which may be maxAge old, and records a missing reply as a
// failure that began when the query was sent.
func (g *Group) Probe(ctx context.Context, id target.ID, reason spending.Reason, maxAge, timeout time.Duration) {
	sent := g.cfg.Clock.Now()
	_, _, err := g.Recent(ctx, id, reason, maxAge, timeout)
	if err == nil || lane.Answered(err) {
		return
	}
	g.Health.Failed(id, sent, lane.Refused(err))
	g.cfg.Log.Debug("status-unanswered", zap.String("target", string(id)), zap.Error(err))
}
