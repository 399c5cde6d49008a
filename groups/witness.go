package groups

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// samplePart is the part of the age which a read accepts that the sample it goes by may
// have.
const samplePart = 0.25

const (
	// renewAge is how old a witness may be that renews a gateway's: the gateways to
	// one primary share their questions.
	renewAge = 100 * time.Millisecond
	// renewTurn is how long one replica is asked first: a dead one must not hold up
	// all renewals.
	renewTurn = time.Second
	// nextWay is how long one way to a proof may take before the next one is tried
	// beside it: longer than a question that waits for a slot usually does.
	nextWay = 80 * time.Millisecond
	// lookEvery is how often silent replicas are asked whether they answer again.
	lookEvery = time.Second
)

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
	return g.witnessSince(ctx, b, first, g.cfg.Clock.Now())
}

// Prove proves that the believed primary had not been replaced when a request
// arrived. Where this VM may have a permission, a witness that was asked as shortly
// before as one allows proves it as well, whichever VM has asked.
func (g *Group) Prove(ctx context.Context, b leadership.Belief, first int, arrived clock.Time) error {
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

// witnessSince proves that nobody was promoted at some moment after the given one.
//
// Failure guarded against: a primary leads on this side of a network partition and its
// replicas are on the other, or silent for another reason. Asked one after the other
// they hold up each exact read for longer than its consumer waits. So the next way is
// tried beside one that takes long.
func (g *Group) witnessSince(ctx context.Context, b leadership.Belief, first int, since clock.Time) error {
	if g.Freshness.WitnessedSince(b.Term, since) {
		return nil
	}
	replicas, record := g.ways(b, first, since)
	return tryInTurn(ctx, append(replicas, record))
}

// way is one way to a proof. ErrNoWitness says that it did not lead there.
type way func(ctx context.Context) error

// tryInTurn tries the ways until one leads to a proof or shows that there is none,
// the next one once the one before has failed or takes long.
func tryInTurn(ctx context.Context, ways []way) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(ways))
	next := time.NewTicker(nextWay)
	defer next.Stop()
	started, running := 0, 0
	for {
		if started < len(ways) {
			try := ways[started]
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
		if started == len(ways) && running == 0 {
			return ErrNoWitness
		}
	}
}

// ways are those to a proof, the replicas in the order in which they are asked.
func (g *Group) ways(b leadership.Belief, first int, since clock.Time) (replicas []way, record way) {
	all := g.Replicas(b.Primary)
	for i := range all {
		id := all[(first+i)%len(all)].ID
		replicas = append(replicas, func(ctx context.Context) error { return g.askReplica(ctx, b, id, since) })
	}
	return replicas, func(ctx context.Context) error { return g.witnessByRecord(ctx, b) }
}

// askReplica asks one replica to be the witness.
func (g *Group) askReplica(ctx context.Context, b leadership.Belief, id target.ID, since clock.Time) error {
	vouches := g.Vouches(id)
	maxAge := max(g.cfg.Clock.Now().Sub(since), 0)
	s, _, err := g.Recent(ctx, id, spending.Witness, maxAge, askTimeout)
	switch {
	case !vouches || err != nil || s.Role != target.RoleReplica || s.Paused != 0:
		return ErrNoWitness
	case s.Term == b.Term:
		return nil
	case s.Term > b.Term:
		g.Rediscover()
		return ErrSuperseded
	default:
		return ErrNoWitness
	}
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
	r := g.cfg.Catalog.Load().LeadershipRecords[g.Service]
	if r != nil && r.Attempt != nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := r != nil && endedSince(r, g.revoked)
	return g.revoked != 0 && !ended && g.cfg.Clock.Now().Sub(g.revokedAt) < takeover.Lapse
}

// endedSince reports whether a record tells that the attempt of a revision has ended. One
// of a later era of the store tells nothing of it: the attempt's own may be lost while its
// holder goes on.
func endedSince(r *catalog.LeadershipRecord, revoked catalog.Revision) bool {
	return r.Revision > revoked && catalog.EraOf(r.Revision) == catalog.EraOf(revoked)
}

// Revoke gives up this VM's permission for the attempt of a revision, which is
// to replace a primary.
func (g *Group) Revoke(revision int64, deposed target.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if revision > g.revoked {
		g.revoked, g.revokedAt, g.deposed = revision, g.cfg.Clock.Now(), deposed
	}
}

// Deposing reports whether a primary is being replaced, as this VM was told by
// the holder of the attempt. Nothing new is sent to it meanwhile, and nothing
// that it confirms is acknowledged.
func (g *Group) Deposing(id target.ID) bool {
	r := g.cfg.Catalog.Load().LeadershipRecords[g.Service]
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := r != nil && r.Attempt == nil && endedSince(r, g.revoked)
	return id != "" && id == g.deposed && !ended && g.cfg.Clock.Now().Sub(g.revokedAt) < takeover.Lapse
}

// witnessByRecord is the store's word for Witness.
//
// Failure guarded against: the store comes back from a copy that it made before a primary
// was replaced, and its record says that nothing has changed. A record counts in the era
// in which it was written.
func (g *Group) witnessByRecord(ctx context.Context, b leadership.Belief) error {
	asked := g.cfg.Clock.Now()
	if g.knownSuperseded(b, asked) {
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
		g.noteSuperseded(b, asked, replaced && r.Attempt == nil)
		g.Rediscover()
		return ErrSuperseded
	}
	g.Freshness.WitnessByRecord(b.Term, b.Primary, asked)
	return nil
}

const (
	// replacingLasts is how long the store's word holds that a primary is being replaced:
	// about the time in which another one leads, or the attempt is given up.
	replacingLasts = 300 * time.Millisecond
	// replacedLasts is how long its word holds that one was replaced: only another
	// change takes that back.
	replacedLasts = time.Second
)

// superseded is a belief that the store's record has contradicted.
type superseded struct {
	belief leadership.Belief
	until  clock.Time
}

// knownSuperseded reports whether the store has contradicted a belief just now.
//
// Failure guarded against: a VM that does not reach the new primary goes by the old one,
// which still answers, and reads the store's record again and again for each statement.
func (g *Group) knownSuperseded(b leadership.Belief, now clock.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.superseded.belief == b && now.Before(g.superseded.until)
}

func (g *Group) noteSuperseded(b leadership.Belief, now clock.Time, replaced bool) {
	lasts := replacingLasts
	if replaced {
		lasts = replacedLasts
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.superseded = superseded{belief: b, until: now.Add(lasts)}
}

// Renew asks a replica for a witness, without being waited for. Calls while it asks
// are one.
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
	ctx, cancel := context.WithTimeout(context.Background(), 2*askTimeout)
	defer cancel()
	if err := g.renewBy(ctx, g.Leadership.Believed()); err != nil {
		g.cfg.Log.Debug("no-witness", zap.String("service", g.Service), zap.Error(err))
	}
}

// renewBy asks the store first while the replicas are of no help: many VMs go by this
// one's witness, and it must not grow old while replicas keep silent.
func (g *Group) renewBy(ctx context.Context, b leadership.Belief) error {
	now := g.cfg.Clock.Now()
	replicas, record := g.ways(b, int(now/clock.Time(renewTurn)), now.Add(-renewAge))
	if g.replicasSilent() {
		g.lookForReplicas(now, replicas)
		return tryInTurn(ctx, append([]way{record}, replicas...))
	}
	err := tryInTurn(ctx, append(replicas, record))
	if took := g.cfg.Clock.Now().Sub(now); took >= nextWay*time.Duration(len(replicas)) {
		g.noteReplicas(now.Add(took + lookEvery))
	}
	return err
}

// replicasSilent reports whether the replicas were of no help lately.
func (g *Group) replicasSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nextLook != 0
}

// noteReplicas sets when silent replicas are asked again; 0 is that they answer.
func (g *Group) noteReplicas(nextLook clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextLook = nextLook
}

// lookForReplicas asks silent replicas every now and then, beside the store.
//
// Failure guarded against: renewals that go back to the replicas to see whether they
// answer again let the witness grow old meanwhile, and each VM that goes by it looks for
// a proof of its own.
func (g *Group) lookForReplicas(now clock.Time, replicas []way) {
	g.mu.Lock()
	due := now >= g.nextLook
	g.mu.Unlock()
	if !due {
		return
	}
	g.noteReplicas(now.Add(lookEvery))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*askTimeout)
		defer cancel()
		if tryInTurn(ctx, replicas) == nil {
			g.noteReplicas(0)
		}
	}()
}

// Refresh sees to it that there is evidence for reads that accept an age: it asks the
// primary, unless that was lately, and a replica. Those who call it at once share one
// round.
func (g *Group) Refresh(ctx context.Context, maxAge time.Duration) {
	g.mu.Lock()
	running := g.refreshing
	if running == nil {
		running = make(chan struct{})
		g.refreshing = running
		go g.refresh(running, time.Duration(samplePart*float64(maxAge)))
	}
	g.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
	}
}

// sample returns when the primary was asked where it stands, and asks it unless that
// was at most maxAge ago.
func (g *Group) sample(ctx context.Context, b leadership.Belief, maxAge time.Duration) (clock.Time, error) {
	at := g.Freshness.Sampled(b.Term)
	if at != 0 && g.cfg.Clock.Now().Sub(at) <= maxAge {
		return at, nil
	}
	_, at, err := g.Recent(ctx, b.Primary, spending.Sample, maxAge, askTimeout)
	return at, err
}

func (g *Group) refresh(done chan struct{}, sampleAge time.Duration) {
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
	sampled, err := g.sample(ctx, b, sampleAge)
	if err != nil {
		g.cfg.Log.Debug("status-unanswered", zap.String("target", string(b.Primary)), zap.Error(err))
		return
	}
	// The witness is asked after the sample: only then does it cover it.
	if err := g.witnessSince(ctx, b, 0, sampled); err != nil {
		g.cfg.Log.Debug("no-witness", zap.String("service", g.Service), zap.Error(err))
	}
}
