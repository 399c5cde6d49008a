package promoter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// recordTimeout bounds recording an attempt.
	recordTimeout = time.Second
	// revokeTimeout bounds asking all VMs for their permissions. One that does
	// not answer costs takeover.Permission in all, so that waiting longer than
	// a fraction of it gains nothing.
	revokeTimeout = 250 * time.Millisecond
	// fenceTimeout bounds one order to a target. It waits for a slot, as a
	// question does.
	fenceTimeout = 300 * time.Millisecond
	// designateTimeout bounds the platform's call.
	designateTimeout = 800 * time.Millisecond
	// leadTimeout is how long the chosen target may take to lead: the platform
	// needs some hundred milliseconds, 600 ms at the slower of the two users.
	leadTimeout = 2500 * time.Millisecond
	// pollEvery is the interval of questions while a target catches up or is to
	// lead.
	pollEvery = 25 * time.Millisecond
	// catchUp is how long a planned change waits for a target that holds all.
	// The users' replicas are 60 ms behind on average and 360 ms at most.
	catchUp = 900 * time.Millisecond
)

// attempt is one change of primary under way.
type attempt struct {
	p       *Promoter
	g       *groups.Group
	reason  takeover.Reason
	old     target.ID
	started clock.Time
	known   *catalog.LeadershipRecord // the record that the decision went by
	held    *catalog.LeadershipRecord
	others  []*catalog.Target
	term    timeline.Term
	paused  []target.ID
	ordered bool
	// tidies is set if an attempt was abandoned under a primary that leads.
	tidies bool
}

var (
	errUnreachable = errors.New("a target that may hold acknowledged commits does not answer")
	errTooFew      = errors.New("too few targets are left to surely hold every acknowledged commit")
	errLacking     = errors.New("no target holds what was acknowledged")
	errLate        = errors.New("the attempt's time is over")
	errSuperseded  = errors.New("another target leads")
	errUnpaused    = errors.New("the target is not paused")
	errNear        = errors.New("a replica is not far behind")
	errIdle        = errors.New("the primary is not busy")
	errRecovered   = errors.New("the primary answers again")
	errOwnPath     = errors.New("this VM reaches no other, and targets only slowly: its own path may be at fault")
	errRestored    = errors.New("the store has come back from an older copy: the attempt's record may be lost")
	errReborn      = errors.New("the target has started again and forgotten what it held")
)

// act makes one attempt and logs what came of it.
func (p *Promoter) act(ctx context.Context, a *attempt, b leadership.Belief, signs takeover.Signs) {
	defer p.done(a.g)
	log := p.cfg.Log.With(zap.String("service", a.g.Service), zap.String("reason", string(a.reason)), zap.String("old", string(a.old)))
	if a.tidies && (a.tidy(ctx, log) || a.reason == takeover.ReasonAbandoned) {
		return
	}
	if err := a.feasible(ctx); err != nil {
		log.Info("takeover-unfeasible", zap.Error(err), zap.Duration("silent", signs.Silent), zap.Duration("stalled", signs.Stalled))
		return
	}
	if err := a.record(ctx, a.old); err != nil {
		log.Info("takeover-not-ours", zap.Error(err))
		return
	}
	log.Info("takeover-begun", zap.Int64("token", a.held.Revision), zap.Duration("silent", signs.Silent),
		zap.Int("refusals", signs.Refusals), zap.Duration("stalled", signs.Stalled), zap.Uint64("term", uint64(b.Term)))
	chosen, err := a.run(ctx)
	if err != nil {
		log.Warn("takeover-failed", zap.Error(err), zap.Bool("ordered", a.ordered), zap.Duration("after", a.elapsed()))
		a.giveUp(ctx)
		return
	}
	log.Info("takeover-done", zap.String("primary", string(chosen)), zap.Uint64("above", uint64(a.term)), zap.Duration("after", a.elapsed()))
	a.finish(ctx, chosen)
}

func (a *attempt) elapsed() time.Duration { return a.p.cfg.Clock.Now().Sub(a.started) }

// record makes this VM the only one that may order a promotion.
//
// Failure guarded against: an attempt on top of another's. Between the decision
// to act and the record lie questions to the targets, in which another VM may
// have recorded its own. So the record is conditional on the revision that the
// decision went by, not on the latest one: then the update fails.
func (a *attempt) record(ctx context.Context, deposed target.ID) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	nonce := a.p.cfg.Nonce()
	a.p.holds(a.g.Service, nonce)
	held, err := a.p.cfg.Records.Begin(ctx, a.known, catalog.Attempt{Holder: a.p.cfg.Node, Nonce: nonce, Deposed: deposed})
	if err != nil {
		return err
	}
	a.held = held
	return nil
}

// holds notes the latest attempt of this process.
func (p *Promoter) holds(service, nonce string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).nonce = nonce
}

// run fences, chooses and promotes. It returns the new primary.
func (a *attempt) run(ctx context.Context) (target.ID, error) {
	a.term = a.g.Leadership.Highest() + 1
	var revoked <-chan bool
	if !a.reason.Planned() {
		revoked = a.revoke(ctx)
	}
	end, err := a.stepDown(ctx)
	if err != nil {
		return "", err
	}
	if a.reason.Planned() {
		a.awaitLastAnswers(ctx, *end)
		revoked = a.revoke(ctx)
	}
	fenced, err := a.pause(ctx)
	if err != nil {
		return "", err
	}
	fencedAt := a.p.cfg.Clock.Now()
	all := <-revoked
	joined, err := a.pauseJoined(ctx)
	if err != nil {
		return "", err
	}
	if a.restored() {
		return "", errRestored
	}
	if len(joined) > 0 {
		fencedAt = a.p.cfg.Clock.Now()
	}
	if !all {
		a.waitOut(fencedAt)
	}
	chosen, err := a.choose(append(fenced, joined...), end)
	if err != nil {
		return "", err
	}
	if err := a.stillPaused(ctx, append(fenced, joined...)); err != nil {
		return "", err
	}
	// All VMs have told by now what they know to be acknowledged.
	if !takeover.Holds(chosen.Received, a.g.Acknowledged.Bound()) {
		return "", errLacking
	}
	if err := a.designate(ctx, chosen.ID); err != nil {
		return "", err
	}
	if err := a.awaitLead(ctx, chosen); err != nil {
		a.p.unmoved(a.g.Service, chosen.ID)
		return chosen.ID, err
	}
	a.p.unmoved(a.g.Service, "")
	return chosen.ID, nil
}

// awaitLastAnswers waits until a successor holds the log of a primary that has
// stepped down, and its VMs have the answers to what it still had in hand.
//
// Failure guarded against: writes that are on their way as a planned change begins
// are in the old primary's log, but a VM that has given up its permission meanwhile
// tells its consumer that they are in doubt. So the permissions are ended only
// after it. That is safe: having stepped down, the old primary makes no further
// commit, the chosen target holds all that it made, and nobody is promoted before
// the permissions have ended.
func (a *attempt) awaitLastAnswers(ctx context.Context, end timeline.Position) {
	a.awaitHolder(ctx, end)
	time.Sleep(pollEvery)
}

// designate orders the promotion, within the attempt's time. A call whose
// answer is lost is repeated for the same target only: it may have been done.
func (a *attempt) designate(ctx context.Context, id target.ID) error {
	for {
		left := takeover.Limit - a.elapsed()
		if left <= 0 {
			return errLate
		}
		if a.restored() {
			return errRestored
		}
		a.ordered = true
		call, cancel := context.WithTimeout(ctx, min(left, designateTimeout))
		err := a.p.cfg.Platform.Promote(call, a.p.cfg.Node, a.held.Revision, a.g.Service, id)
		cancel()
		if err == nil {
			return nil
		}
		a.p.cfg.Log.Warn("designation-failed", zap.String("service", a.g.Service), zap.String("target", string(id)), zap.Error(err))
		if errors.Is(err, ErrNotRunning) {
			return err
		}
		time.Sleep(pollEvery)
	}
}

// restored reports whether the store has come back from an older copy since the attempt was
// recorded. Another VM may then begin one, and no order of this one may come after.
func (a *attempt) restored() bool { return a.p.cfg.Era() != catalog.EraOf(a.held.Revision) }

// ErrNotRunning is what a Designator returns if the target does not run: the
// order was refused for good.
var ErrNotRunning = errors.New("the designated target is not running")

// awaitLead waits until the chosen target says that it leads.
//
// Failure guarded against: it has started again on the way there, and leads with
// nothing. The other targets would be let go to follow it, and take its empty log
// for theirs. So the attempt fails with them paused, and the next one finds what
// was acknowledged there.
func (a *attempt) awaitLead(ctx context.Context, chosen takeover.Fenced) error {
	deadline := a.p.cfg.Clock.Now().Add(leadTimeout)
	for a.p.cfg.Clock.Now().Before(deadline) {
		s, err := a.g.Status(ctx, chosen.ID, spending.Change, askTimeout)
		if err == nil && s.Role == target.RolePrimary {
			if !takeover.Holds(s.Received, chosen.Received) {
				return errors.WithMessage(errReborn, string(chosen.ID))
			}
			return nil
		}
		time.Sleep(pollEvery)
	}
	return errors.New("the chosen target does not lead yet")
}

// finish records the new primary, and lets the others receive from it.
func (a *attempt) finish(ctx context.Context, chosen target.ID) {
	a.resume(ctx, chosen)
	a.end(ctx, chosen)
	a.p.chase(a.g.Service, a.old, a.term)
}

// giveUp undoes what a failed attempt left behind. Once a promotion was
// ordered it may still come, and nothing is resumed: a target that receives
// from the old primary again would let it acknowledge what the new one lacks.
func (a *attempt) giveUp(ctx context.Context) {
	if a.ordered {
		return
	}
	a.resume(ctx, "")
	a.end(ctx, a.held.Primary)
}

func (a *attempt) end(ctx context.Context, primary target.ID) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := a.p.cfg.Records.End(ctx, a.held, primary); err != nil {
		a.p.cfg.Log.Warn("takeover-unrecorded", zap.String("service", a.g.Service), zap.Error(err))
	}
}
