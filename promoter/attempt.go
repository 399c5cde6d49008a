package promoter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// recordTimeout bounds recording an attempt.
	recordTimeout = time.Second
	// revokeTimeout bounds the requests to all VMs to give up their permissions. A VM that does not
	// answer costs takeover.Permission in all, so that waiting longer than a fraction of it gains
	// nothing.
	revokeTimeout = 250 * time.Millisecond
	// commandTimeout bounds one command to a target. It waits for a slot, as a status query does.
	commandTimeout = 300 * time.Millisecond
	// designateTimeout bounds the call to the platform.
	designateTimeout = 800 * time.Millisecond
	// leadTimeout is how long the chosen target may take to lead: the platform needs some hundred
	// milliseconds, 600 ms at the slower of the two users.
	leadTimeout = 2500 * time.Millisecond
	// pollInterval is the interval between status queries while a target catches up or is about to
	// lead.
	pollInterval = 25 * time.Millisecond
	// catchUpTimeout is how long a planned change waits for a target that holds the whole log. The
	// users' replicas are 60 ms behind on average and 360 ms at most.
	catchUpTimeout = 900 * time.Millisecond
)

// attempt is one change of primary under way.
type attempt struct {
	p       *Promoter
	g       *groups.Group
	reason  takeover.Reason
	old     target.ID
	started clock.Time
	known   *catalog.LeadershipRecord // the record on which the decision was based
	held    *catalog.LeadershipRecord
	heldAt  clock.Time // a time before held was recorded
	others  []*catalog.Target
	term    timeline.Term
	paused  []target.ID
	ordered bool
	// unsure are the targets that did not confirm a pause, and may be paused all the same.
	unsure []target.ID
	// unanswered is set if a command to resume was sent and not answered: it may arrive late.
	unanswered bool
	// cleansUp is set if an attempt was abandoned under a primary that leads, or has left targets paused.
	cleansUp bool
	// followsUp is the primary that an ended attempt has replaced, if this one resumes what it has left
	// paused.
	followsUp target.ID
	// isolated is set if this VM reached no other VM when it decided to act.
	isolated bool
}

var (
	errUnreachable         = errors.New("a target that may hold acknowledged commits did not answer")
	errTooFew              = errors.New("too few targets remain to certainly hold every acknowledged commit")
	errAcknowledgedMissing = errors.New("no target holds every position known to be acknowledged")
	errOnlyCopy            = errors.New("the other targets are not known to hold all acknowledged commits since one of them left, restarted or lost its connection, or this process started")
	errTimeLimit           = errors.New("promotion not accepted within the attempt's time limit")
	errSuperseded          = errors.New("another target leads")
	errUnpaused            = errors.New("the target did not confirm the pause")
	errReplicaNotBehind    = errors.New("a replica is not far enough behind")
	errIdle                = errors.New("the primary is not saturated")
	errRecovered           = errors.New("the primary has recovered")
	errOwnNetwork          = errors.New("this VM reaches no other VM, and targets answer it only slowly: its own network path may be at fault")
	errWasIsolated         = errors.New("this VM reaches others only since it queried the targets: what it observed before may be its own network path's")
	errRestored            = errors.New("the store was restored from an older copy: the attempt's record may be lost")
	errNotLeading          = errors.New("the chosen target did not report that it leads within the time limit")
	errNoEffect            = errors.New("the designated target still follows: the platform may consider it the present primary")
	errRestarted           = errors.New("the target has restarted and lost its pause or its log")
)

// runAttempt makes one attempt and logs its outcome.
func (p *Promoter) runAttempt(ctx context.Context, a *attempt, b leadership.State, symptoms takeover.Symptoms) {
	defer p.done(a)
	log := p.cfg.Log.With(zap.String("service", a.g.Service), zap.String("reason", string(a.reason)), zap.String("old", string(a.old)))
	if a.cleansUp && (a.cleanUp(ctx, log) || a.reason == takeover.ReasonAbandoned) {
		return
	}
	if err := a.feasible(ctx); err != nil {
		log.Info("takeover-unfeasible", zap.Error(err), zap.Duration("silent", symptoms.Unresponsive), zap.Duration("stalled", symptoms.Stalled))
		return
	}
	if err := a.record(ctx, a.known, a.old); err != nil {
		log.Info("takeover-not-ours", zap.Error(err))
		return
	}
	log.Info("takeover-begun", zap.Int64("token", a.held.Revision), zap.Duration("silent", symptoms.Unresponsive),
		zap.Int("refusals", symptoms.Refusals), zap.Duration("stalled", symptoms.Stalled), zap.Uint64("term", uint64(b.Term)))
	ctx = lane.WithExpiry(ctx, a.expired)
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
// Failure guarded against: an attempt on top of another VM's. Between the decision to act and the
// record, targets are queried, and another VM may have recorded its own attempt meanwhile. So the
// update is conditional on the revision on which the decision was based, not on the latest one, and
// fails in that case.
func (a *attempt) record(ctx context.Context, known *catalog.LeadershipRecord, replaced target.ID) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	nonce := a.p.cfg.Nonce()
	a.p.recordNonce(a.g.Service, nonce)
	begun := a.p.cfg.Clock.Now()
	held, err := a.p.cfg.Records.Begin(ctx, known, catalog.Attempt{Holder: a.p.cfg.Node, Nonce: nonce, Deposed: replaced})
	if err != nil {
		return err
	}
	a.held, a.heldAt = held, begun
	return nil
}

// expired reports whether others may consider the holder of this attempt dead before a command that is
// sent now has arrived.
func (a *attempt) expired() bool { return a.p.cfg.Clock.Now().Sub(a.heldAt) >= takeover.PromotionLimit }

// extend records the attempt again if its time is over, and reports whether this VM still holds it.
func (a *attempt) extend(ctx context.Context) bool {
	if !a.expired() {
		return true
	}
	if err := a.record(ctx, a.held, a.held.Attempt.Deposed); err != nil {
		a.p.cfg.Log.Warn("takeover-expired", zap.String("service", a.g.Service), zap.Duration("after", a.elapsed()), zap.Error(err))
		return false
	}
	return true
}

// pauseAfter is the least time before this VM's next attempt: a command that is still on its way must
// have arrived, as others wait for it.
func (a *attempt) pauseAfter() time.Duration {
	if a.unanswered {
		return takeover.SettlePeriod
	}
	return attemptPause
}

// recordNonce records the nonce of this process's latest attempt.
func (p *Promoter) recordNonce(service, nonce string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(service).nonce = nonce
}

// run fences the targets, chooses one and promotes it. It returns the new primary.
func (a *attempt) run(ctx context.Context) (target.ID, error) {
	a.term = a.g.Leadership.Highest() + 1
	var end *timeline.Position
	if a.reason.Planned() {
		s, err := a.stepDown(ctx)
		if err != nil {
			return "", err
		}
		end = &s.Received
		a.awaitLastReplies(ctx, *end)
	}
	revoked := a.revoke(ctx)
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
		a.awaitPermissionExpiry(fencedAt)
	}
	chosen, err := a.choose(append(fenced, joined...), end)
	if err != nil {
		return "", err
	}
	if err := a.stillPaused(ctx, append(fenced, joined...)); err != nil {
		return "", err
	}
	if err := a.othersHoldLog(); err != nil {
		return "", err
	}
	// By now all VMs have reported the positions that they know to be acknowledged.
	if !takeover.Holds(chosen.Received, a.g.Acknowledged.Bound()) {
		return "", errAcknowledgedMissing
	}
	if err := a.designate(ctx, chosen.ID); err != nil {
		return "", err
	}
	if !a.reason.Planned() {
		a.stepDownReplaced(ctx)
	}
	if err := a.awaitLead(ctx, chosen); err != nil {
		if errors.Is(err, errNoEffect) {
			a.p.recordIneffective(a.g.Service, chosen.ID)
		}
		return chosen.ID, err
	}
	a.p.recordIneffective(a.g.Service, "")
	return chosen.ID, nil
}

// awaitLastReplies waits until a successor holds the log of a primary that has stepped down, and
// the VMs have received its replies to the statements that it was still executing.
//
// Failure guarded against: writes that are on their way when a planned change begins are in the old
// primary's log, but a VM that has given up its permission meanwhile reports them to its consumer
// as in doubt. So the permissions are ended only after this wait. That is safe: having stepped
// down, the old primary makes no further commit, the chosen target holds all that it made, and no
// target is promoted before the permissions have ended.
func (a *attempt) awaitLastReplies(ctx context.Context, end timeline.Position) {
	a.awaitHolder(ctx, end)
	time.Sleep(pollInterval)
}

// designate orders the promotion, within the attempt's time limit. A call whose reply is lost is
// repeated for the same target only, since the platform may have executed it.
func (a *attempt) designate(ctx context.Context, id target.ID) error {
	for {
		left := takeover.PromotionLimit - a.elapsed()
		if left <= 0 {
			return errTimeLimit
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
		time.Sleep(pollInterval)
	}
}

// restored reports whether the store was restored from an older copy since the attempt was
// recorded. Another VM may then begin an attempt, so that this one may not order a promotion any
// more.
func (a *attempt) restored() bool { return a.p.cfg.Era() != catalog.EraOf(a.held.Revision) }

// ErrNotRunning is returned by a Designator if the target is not running: the call was refused
// permanently.
var ErrNotRunning = errors.New("the designated target is not running")

// awaitLead waits until the chosen target reports that it leads.
//
// Failure guarded against: the target restarts before it leads, and then leads with an empty log.
// The other targets would be resumed, follow it and replace their logs by its empty one. So the
// attempt fails with them still paused, and the next attempt finds the acknowledged commits in
// their logs. It fails with errNoEffect only if the target answers until then and does not lead.
func (a *attempt) awaitLead(ctx context.Context, chosen takeover.Fenced) error {
	deadline := a.p.cfg.Clock.Now().Add(leadTimeout)
	failed := errNotLeading
	for a.p.cfg.Clock.Now().Before(deadline) {
		s, err := a.g.Status(ctx, chosen.ID, spending.Change, statusTimeout)
		holds := err == nil && takeover.Holds(s.Received, chosen.Received)
		switch {
		case err == nil && s.Role == target.RolePrimary && !holds:
			return errors.WithMessage(errRestarted, string(chosen.ID))
		case err == nil && s.Role == target.RolePrimary:
			return nil
		case holds:
			failed = errNoEffect
		default:
			failed = errNotLeading
		}
		time.Sleep(pollInterval)
	}
	return failed
}

// finish resumes the other targets and records the new primary.
func (a *attempt) finish(ctx context.Context, chosen target.ID) {
	if !a.resume(ctx, chosen, a.old) {
		return
	}
	a.end(ctx, chosen)
	a.p.startFollowUp(a.g.Service, a.old, a.term, a.old)
}

// giveUp undoes the effects of a failed attempt. If a promotion was ordered it may still be
// executed, and nothing is resumed: a target that receives from the old primary again would let it
// acknowledge commits that the new one lacks.
func (a *attempt) giveUp(ctx context.Context) {
	if a.ordered {
		return
	}
	if a.resume(ctx, "", "") {
		a.end(ctx, a.held.Primary)
	}
}

func (a *attempt) end(ctx context.Context, primary target.ID) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := a.p.cfg.Records.End(ctx, a.held, primary); err != nil {
		a.p.cfg.Log.Warn("takeover-unrecorded", zap.String("service", a.g.Service), zap.Error(err))
	}
}
