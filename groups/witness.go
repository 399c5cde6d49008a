package groups

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/internal/wait"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// sampleAgeFraction is the fraction of the age accepted by a read that its sample may have.
const sampleAgeFraction = 0.25

const (
	// renewMaxAge is how old a cached status may be that renews a gateway's witness: the gateways
	// to one primary share their status queries.
	renewMaxAge = 100 * time.Millisecond
	// renewRotation is how long one replica is queried first: an unresponsive one must not delay
	// all renewals.
	renewRotation = time.Second
	// nextSourceDelay is how long one source of a proof may take before the next one is tried in
	// parallel: longer than a query that waits for a slot usually takes.
	nextSourceDelay = 80 * time.Millisecond
	// replicaCheckInterval is how often unresponsive replicas are queried whether they answer
	// again.
	replicaCheckInterval = time.Second
)

// Replicas returns the targets other than the primary, draining ones last.
func (g *Group) Replicas(primary target.ID) []*catalog.Target {
	var staying, draining []*catalog.Target
	for _, t := range g.cfg.Catalog.Load().ByService[g.Service] {
		switch {
		case t.ID == primary:
		case t.Draining:
			draining = append(draining, t)
		default:
			staying = append(staying, t)
		}
	}
	return append(staying, draining...)
}

// Witness proves that no target was promoted beyond the current primary's term at some time after
// the call. A replica queried since then that still follows the term and is not paused for a later
// one proves it, since a promotion pauses all of them first. If no replica can prove it, as when
// the other targets are dead or receive nothing, the store is read: every promotion is recorded
// there before it begins.
func (g *Group) Witness(ctx context.Context, b leadership.State, first int) error {
	return g.witnessSince(ctx, b, first, g.cfg.Clock.Now())
}

// Prove proves that the current primary had not been replaced when a request arrived. If this VM
// may have a permission, a witness that was queried before the arrival, within Permission, proves
// it as well, whichever VM has sent the query.
func (g *Group) Prove(ctx context.Context, b leadership.State, first int, arrived clock.Time) error {
	if g.Permitted(b, arrived) {
		return nil
	}
	if !g.cfg.Eligible() || g.hasRevoked() {
		return g.Witness(ctx, b, first)
	}
	err := g.witnessSince(ctx, b, first, arrived.Add(-takeover.Permission))
	if err == nil && !g.Permitted(b, arrived) {
		// The permission was given up meanwhile.
		return g.Witness(ctx, b, first)
	}
	return err
}

// witnessSince proves that no target was promoted at some time after the given one.
//
// Failure guarded against: the primary is on this side of a network partition and its replicas are
// on the other, or are unresponsive for another reason. Queried one after the other they delay each
// exact read for longer than its consumer waits. So the next source is tried in parallel with one
// that takes long.
func (g *Group) witnessSince(ctx context.Context, b leadership.State, first int, since clock.Time) error {
	if g.Freshness.WitnessedSince(b.Term, since) {
		return nil
	}
	replicas, record := g.proofSources(b, first, since)
	peers := func(ctx context.Context) error { return g.awaitPeerProof(ctx, b, since) }
	return tryStaggered(ctx, append(replicas, record, peers))
}

const (
	// peerProofTimeout is how long a proof of another VM is awaited: some pulls, and the renewal of its
	// witness.
	peerProofTimeout = 800 * time.Millisecond
	// peerProofInterval is the interval of the checks whether one has arrived.
	peerProofInterval = 10 * time.Millisecond
)

// awaitPeerProof waits until another VM's proof has arrived whose witness was queried at or after a time.
//
// Failure guarded against: a VM that starts while the store is away trusts no replica, and serves no exact
// read until the store is back, though the other VMs do.
func (g *Group) awaitPeerProof(ctx context.Context, b leadership.State, since clock.Time) error {
	ctx, cancel := context.WithTimeout(ctx, peerProofTimeout)
	defer cancel()
	for g.cfg.ReachesPeers() {
		if g.Freshness.WitnessedSince(b.Term, since) {
			return nil
		}
		if !wait.For(ctx, peerProofInterval) {
			break
		}
	}
	return ErrNoWitness
}

// proofSource is one source of a proof. It returns ErrNoWitness if it has none.
type proofSource func(ctx context.Context) error

// tryStaggered tries the sources until one returns a proof or shows that there is none. The next
// one is started once the one before has failed or has taken nextSourceDelay.
func tryStaggered(ctx context.Context, sources []proofSource) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(sources))
	next := time.NewTicker(nextSourceDelay)
	defer next.Stop()
	started, running := 0, 0
	for {
		if started < len(sources) {
			try := sources[started]
			started++
			running++
			go func() { results <- try(ctx) }()
		}
		select {
		case err := <-results:
			running--
			if !errors.Is(err, ErrNoWitness) {
				return err
			}
		case <-next.C:
		case <-ctx.Done():
			return ErrNoWitness
		}
		if started == len(sources) && running == 0 {
			return ErrNoWitness
		}
	}
}

// proofSources returns the sources of a proof, the replicas in the order in which they are queried.
func (g *Group) proofSources(b leadership.State, first int, since clock.Time) (replicas []proofSource, record proofSource) {
	all := g.Replicas(b.Primary)
	for i := range all {
		id := all[(first+i)%len(all)].ID
		replicas = append(replicas, func(ctx context.Context) error { return g.witnessByReplica(ctx, b, id, since) })
	}
	return replicas, func(ctx context.Context) error { return g.witnessByRecord(ctx, b) }
}

// witnessByReplica queries one replica as the witness.
func (g *Group) witnessByReplica(ctx context.Context, b leadership.State, id target.ID, since clock.Time) error {
	canWitness := g.CanWitness(id)
	g.Freshness.Leads(b.Term, b.Primary)
	maxAge := max(g.cfg.Clock.Now().Sub(since), 0)
	s, _, err := g.Recent(ctx, id, spending.Witness, maxAge, statusTimeout)
	switch {
	case !canWitness || err != nil || !g.CanWitness(id) || s.Role != target.RoleReplica || s.Paused != 0:
		return ErrNoWitness
	case s.Term == b.Term && g.Freshness.WitnessedSince(b.Term, since):
		return nil
	case s.Term > b.Term:
		g.Rediscover()
		return ErrSuperseded
	default:
		return ErrNoWitness
	}
}

// sufficiency returns which reports of replicas that are received now prove that the primary has not been replaced.
//
// This VM knows all attempts recorded up to a time. The holder of a later one waits for Permission after its
// fences, or until each VM on the fleet's list has given its permission up. An attempt that is known to be under
// way replaces only the primary that it names: its successor may be proven as soon as it leads.
func (g *Group) sufficiency() freshness.Sufficiency {
	eligible := g.cfg.Eligible()
	r := g.cfg.Catalog.Load().LeadershipRecords[g.Service]
	g.mu.Lock()
	defer g.mu.Unlock()
	rule := freshness.Sufficiency{At: g.cfg.Clock.Now(), Targets: g.targetIDs}
	if deposed, underWay := g.observeAttempt(r); underWay {
		rule.Deposed, rule.After = deposed, g.attemptAfter
	} else if r != nil {
		rule.Primary = r.Primary
	}
	switch {
	case g.cfg.RecordsConfirmedAt == nil:
		rule.Alone = freshness.Unlimited.Alone
	case eligible:
		rule.Alone = g.recordConfirmedAt().Add(takeover.Permission)
		rule.Chain = takeover.Permission
	default:
		rule.Alone = g.recordConfirmedAt()
	}
	return rule
}

// observeAttempt returns the targets that an attempt may replace that is known to be under way; false if none is. It
// records the latest term that is known as this VM learns of an attempt: a successor leads a later one. The caller
// holds the lock.
func (g *Group) observeAttempt(r *catalog.LeadershipRecord) (deposed []target.ID, underWay bool) {
	var attempt catalog.Revision
	if r != nil && r.Attempt != nil {
		attempt, deposed = r.Revision, append(deposed, r.Attempt.Deposed)
	}
	if g.hasToldAttempt(r) {
		attempt, deposed = max(attempt, g.revokedRevision), append(deposed, g.replaced)
	}
	if attempt == 0 {
		return nil, false
	}
	if attempt != g.attemptRevision {
		g.attemptRevision, g.attemptAfter = attempt, g.Leadership.Highest()
	}
	if r != nil {
		deposed = append(deposed, r.Primary)
	}
	return deposed, true
}

// Permitted reports whether the primary may be assumed unchanged at the time of a request, without
// a query: a witness was queried so recently that no attempt can have got past its fences since.
//
// Failure guarded against: an exact read at a primary that was just replaced. An attempt promotes
// no target before every VM on the fleet's list has given up its permission, or Permission has
// passed since the last target was paused, and a VM that is not certainly on the list has no
// permission. A permission that was given up comes back only by a witness from after the attempt: the
// promotion takes less than Permission, so that one from before the fences may still be recent as this VM
// learns that the attempt has ended, and not of the new primary.
func (g *Group) Permitted(b leadership.State, arrived clock.Time) bool {
	if !g.cfg.Eligible() || g.hasRevoked() {
		return false
	}
	return g.Freshness.WitnessedSince(b.Term, max(arrived.Add(-takeover.Permission), g.attemptEndedAt()))
}

// attemptEndedAt returns when this VM learned that the last known attempt had ended; 0 if none is known.
func (g *Group) attemptEndedAt() clock.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The catalog may be ahead of the latest update.
	if r := g.cfg.Catalog.Load().LeadershipRecords[g.Service]; r != nil && r.Attempt == nil && r.Revision != g.endedRevision {
		g.endedRevision, g.endedAt = r.Revision, g.cfg.Clock.Now()
	}
	return g.endedAt
}

// hasRevoked reports whether an attempt is known to be under way.
func (g *Group) hasRevoked() bool {
	r := g.cfg.Catalog.Load().LeadershipRecords[g.Service]
	if r != nil && r.Attempt != nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasToldAttempt(r)
}

// hasToldAttempt reports whether the attempt of which a holder has told this VM may be under way. The caller holds
// the lock.
func (g *Group) hasToldAttempt(r *catalog.LeadershipRecord) bool {
	ended := r != nil && endedSince(r, g.revokedRevision)
	return g.revokedRevision != 0 && !ended && g.cfg.Clock.Now().Sub(g.revokedAt) < takeover.ExpireAfter
}

// endedSince reports whether a record shows that the attempt of a revision has ended. A record of a
// later era of the store does not show it: the attempt's own record may be lost while its holder
// continues.
func endedSince(r *catalog.LeadershipRecord, revoked catalog.Revision) bool {
	return r.Revision > revoked && catalog.EraOf(r.Revision) == catalog.EraOf(revoked)
}

// Revoke gives up this VM's permission for the attempt of a revision, which is to replace a
// primary.
func (g *Group) Revoke(revision int64, replaced target.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if revision > g.revokedRevision {
		g.revokedRevision, g.revokedAt, g.replaced = revision, g.cfg.Clock.Now(), replaced
		g.observeAttempt(g.cfg.Catalog.Load().LeadershipRecords[g.Service])
	}
}

// BeingReplaced reports whether a primary is being replaced, as the holder of the attempt has
// reported to this VM, or was replaced by a target that is not known to lead yet. Nothing new is sent to
// that primary meanwhile, and nothing that it confirms is acknowledged.
func (g *Group) BeingReplaced(id target.ID) bool {
	r := g.cfg.Catalog.Load().LeadershipRecords[g.Service]
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := r != nil && r.Attempt == nil && endedSince(r, g.revokedRevision) && (r.Primary == id || r.Primary == "")
	return id != "" && id == g.replaced && !ended && g.cfg.Clock.Now().Sub(g.revokedAt) < takeover.ExpireAfter
}

// witnessByRecord reads the store's record as the proof for Witness.
//
// Failure guarded against: the store is restored from a copy made before a primary was replaced,
// and its record shows no change. A record counts only in the era in which it was written.
func (g *Group) witnessByRecord(ctx context.Context, b leadership.State) error {
	queried := g.cfg.Clock.Now()
	if g.knownSuperseded(b, queried) {
		return ErrSuperseded
	}
	r, err := g.cfg.Records.Current(ctx, g.Service)
	if err != nil {
		return ErrNoWitness
	}
	replaced := r.Primary != "" && r.Primary != b.Primary
	if r.Era != g.cfg.Era() {
		return ErrNoWitness
	}
	if r.Attempt != nil || replaced {
		g.recordSuperseded(b, queried, replaced && r.Attempt == nil)
		g.Rediscover()
		return ErrSuperseded
	}
	g.Freshness.WitnessByRecord(b.Term, b.Primary, queried)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordReadAt = max(g.recordReadAt, queried)
	return nil
}

const (
	// replacingTTL is how long a record counts that shows a primary being replaced: about the time
	// in which another one leads, or the attempt is given up.
	replacingTTL = 300 * time.Millisecond
	// replacedTTL is how long a record counts that shows a primary replaced: only another change
	// reverts that.
	replacedTTL = time.Second
)

// superseded is a state that the store's record has contradicted.
type superseded struct {
	state leadership.State
	until clock.Time
}

// knownSuperseded reports whether the store's record has contradicted a state, and still counts.
//
// Failure guarded against: a VM that does not reach the new primary uses the old one, which still
// answers, and reads the store's record for each statement.
func (g *Group) knownSuperseded(b leadership.State, now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.superseded.state == b && now.Before(g.superseded.until)
}

func (g *Group) recordSuperseded(b leadership.State, now clock.Time, replaced bool) {
	ttl := replacingTTL
	if replaced {
		ttl = replacedTTL
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.superseded = superseded{state: b, until: now.Add(ttl)}
}

// Renew queries a replica as a witness in the background. Calls while a renewal runs start no
// other.
func (g *Group) Renew() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.renewing {
		return
	}
	g.renewing = true
	go g.renew()
}

func (g *Group) renew() {
	defer func() {
		g.mu.Lock()
		g.renewing = false
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*statusTimeout)
	defer cancel()
	if err := g.renewWitness(ctx, g.Leadership.Current()); err != nil {
		g.cfg.Log.Debug("no-witness", zap.String("service", g.Service), zap.Error(err))
	}
}

// renewWitness queries the store first while the replicas are unresponsive: many VMs use this one's
// witness, which must not become outdated while replicas do not answer.
func (g *Group) renewWitness(ctx context.Context, b leadership.State) error {
	now := g.cfg.Clock.Now()
	replicas, record := g.proofSources(b, int(now/clock.Time(renewRotation)), now.Add(-renewMaxAge))
	if g.replicasUnresponsive() {
		g.checkReplicas(now, replicas)
		return tryStaggered(ctx, append([]proofSource{record}, replicas...))
	}
	err := tryStaggered(ctx, append(replicas, record))
	if took := g.cfg.Clock.Now().Sub(now); took >= nextSourceDelay*time.Duration(len(replicas)) {
		g.scheduleReplicaCheck(now.Add(took + replicaCheckInterval))
	}
	return err
}

// replicasUnresponsive reports whether the replicas failed to provide a witness in time, and no
// check of them has succeeded since.
func (g *Group) replicasUnresponsive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nextReplicaCheck != 0
}

// scheduleReplicaCheck sets when unresponsive replicas are queried again; 0 means that they answer.
func (g *Group) scheduleReplicaCheck(next clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextReplicaCheck = next
}

// checkReplicas queries unresponsive replicas periodically, in parallel with the store.
//
// Failure guarded against: renewals that query the replicas first, to see whether they answer
// again, let the witness become outdated meanwhile, and each VM that uses it queries for a proof of
// its own.
func (g *Group) checkReplicas(now clock.Time, replicas []proofSource) {
	g.mu.Lock()
	due := now >= g.nextReplicaCheck
	g.mu.Unlock()
	if !due {
		return
	}
	g.scheduleReplicaCheck(now.Add(replicaCheckInterval))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*statusTimeout)
		defer cancel()
		if tryStaggered(ctx, replicas) == nil {
			g.scheduleReplicaCheck(0)
		}
	}()
}

// Refresh renews the evidence for bounded-staleness reads: it queries the primary, unless that was
// done recently, and a replica. Concurrent calls share one round.
func (g *Group) Refresh(ctx context.Context, maxAge time.Duration) {
	g.mu.Lock()
	running := g.refreshing
	if running == nil {
		running = make(chan struct{})
		g.refreshing = running
		go g.refresh(running, time.Duration(sampleAgeFraction*float64(maxAge)))
	}
	g.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
	}
}

// sample returns when the primary was queried for its position, and queries it unless that was at
// most maxAge ago.
func (g *Group) sample(ctx context.Context, b leadership.State, maxAge time.Duration) (clock.Time, error) {
	at := g.Freshness.Sampled(b.Term)
	if at != 0 && g.cfg.Clock.Now().Sub(at) <= maxAge {
		return at, nil
	}
	_, at, err := g.Recent(ctx, b.Primary, spending.Sample, maxAge, statusTimeout)
	return at, err
}

func (g *Group) refresh(done chan struct{}, sampleAge time.Duration) {
	defer func() {
		g.mu.Lock()
		g.refreshing = nil
		g.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*statusTimeout)
	defer cancel()
	b, err := g.Primary(ctx)
	if err != nil {
		return
	}
	sampled, err := g.sample(ctx, b, sampleAge)
	if err != nil {
		g.cfg.Log.Debug("status-unanswered", zap.String("target", string(b.Primary)), zap.Error(err))
		return
	}
	// The witness is queried after the sample, since only then does it cover the sample.
	if err := g.witnessSince(ctx, b, 0, sampled); err != nil {
		g.cfg.Log.Debug("no-witness", zap.String("service", g.Service), zap.Error(err))
	}
}
