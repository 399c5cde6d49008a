package promoter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/timeline"
)

// feasible queries every other target, so that no attempt that cannot succeed is recorded and
// nothing is paused for it. The queries also provide the latest term.
func (a *attempt) feasible(ctx context.Context) error {
	if len(a.others) < a.requiredOthers() {
		return errTooFew
	}
	if err := a.othersHoldLog(); err != nil {
		return err
	}
	statuses, err := a.queryOthers(ctx)
	if err != nil {
		return err
	}
	holds := false
	for _, s := range statuses {
		if s.err != nil {
			return errors.WithMessage(errUnreachable, string(s.id)+": "+s.err.Error())
		}
		holds = holds || takeover.Holds(s.status.Received, a.g.Acknowledged.Bound())
	}
	if !a.reason.Planned() && !holds {
		return errAcknowledgedMissing
	}
	if a.g.Leadership.Current().Primary != a.old {
		return errSuperseded
	}
	switch a.reason {
	case takeover.ReasonLeaving:
		return a.successorKeepsUp(ctx)
	case takeover.ReasonStalled:
		return a.confirmStall(ctx)
	case takeover.ReasonBehind:
		return a.confirmBehind(ctx, statuses)
	default:
		return nil
	}
}

// promptReplyLimit is how soon all other targets must answer a VM that reaches no other VM. The
// last VM of a fleet gets prompt replies; a VM whose own link is saturated does not.
const promptReplyLimit = 150 * time.Millisecond

// queryOthers queries the status of all other targets. A VM that reaches no other VM relies on its
// observations of the primary only while its own network path is good.
//
// Failure guarded against: the VM's own path recovers while the queries are in flight, so that all
// targets reply at once, and the primary is replaced for the silence from before.
func (a *attempt) queryOthers(ctx context.Context) ([]reply, error) {
	queried, reached := a.p.cfg.Clock.Now(), !a.isolated && a.p.reachesOthers()
	statuses := a.sendAll(ctx, a.others, lane.StatusCommand)
	took := a.p.cfg.Clock.Now().Sub(queried)
	reaches := a.p.reachesOthers()
	switch {
	case reached && reaches:
		return statuses, nil
	case reaches:
		return nil, errWasIsolated
	case took > promptReplyLimit:
		return nil, errOwnNetwork
	}
	if a.reason.Unanswered() && a.primaryAnswers(ctx) {
		return nil, errRecovered
	}
	return statuses, nil
}

// primaryAnswers reports whether the old primary answers a status query.
func (a *attempt) primaryAnswers(ctx context.Context) bool {
	_, err := a.g.Status(ctx, a.old, spending.Change, statusTimeout)
	return err == nil
}

// requiredOthers returns how many other targets are needed. In a planned change the end of the old
// primary's log is known, so that one target that holds it suffices.
func (a *attempt) requiredOthers() int {
	if a.reason.Planned() {
		return 1
	}
	return takeover.RequiredFenced
}

// successorKeepsUp checks that a target that is not draining receives what the old primary commits.
// Otherwise the primary would step down for a successor that cannot take over, and the service
// would have no primary at all.
func (a *attempt) successorKeepsUp(ctx context.Context) error {
	start, err := a.g.Status(ctx, a.old, spending.Change, statusTimeout)
	if err != nil {
		return err
	}
	if !a.awaitHolder(ctx, start.Received) {
		return errAcknowledgedMissing
	}
	return nil
}

// confirmBehind distinguishes replicas that are far behind a saturated primary from reads that were
// late for another reason. If one replica is not far behind it will serve the reads soon, without a
// promotion.
func (a *attempt) confirmBehind(ctx context.Context, others []reply) error {
	for _, s := range others {
		if s.status.Lag < takeover.FarBehind {
			return errReplicaNotBehind
		}
	}
	primary := a.p.cfg.Catalog.Load().Targets[a.old]
	s, err := a.g.Status(ctx, a.old, spending.Change, statusTimeout)
	if err != nil {
		return err
	}
	if primary == nil || s.Busy < busyPerSlot*primary.Slots {
		return errIdle
	}
	return a.successorKeepsUp(ctx)
}

// busyPerSlot times its slots is the number of statements from which a primary counts as unable to
// serve all reads. No larger number need wait there: VMs send only a few for each slot, and queue
// the others themselves.
const busyPerSlot = 1

// stayingTargetHolds reports whether a target that is not draining has received a position.
func (a *attempt) stayingTargetHolds(ctx context.Context, end timeline.Position) bool {
	for _, s := range a.sendAll(ctx, a.others, lane.StatusCommand) {
		t := a.p.cfg.Catalog.Load().Targets[s.id]
		if s.err == nil && t != nil && !t.Draining && takeover.Holds(s.status.Received, end) {
			return true
		}
	}
	return false
}

// confirmStall distinguishes a primary that cannot replicate from one that is merely slow: its log
// is ahead of every replica's, and no replica catches up.
func (a *attempt) confirmStall(ctx context.Context) error {
	before, err := a.newestReceived(ctx)
	if err != nil {
		return err
	}
	end, err := a.g.Status(ctx, a.old, spending.Change, statusTimeout)
	if err != nil {
		return nil
	}
	time.Sleep(4 * pollInterval)
	after, err := a.newestReceived(ctx)
	if err != nil {
		return err
	}
	if takeover.CompareLogs(before, after) < 0 || takeover.CompareLogs(after, end.Received) >= 0 {
		return errRecovered
	}
	return nil
}

// othersHoldLog checks that no acknowledged commit is on the log of a stalled primary alone. A primary that
// does not answer may never return, so that its log is not waited for.
func (a *attempt) othersHoldLog() error {
	if a.reason == takeover.ReasonStalled && !a.g.OthersHoldLog(a.old) {
		return errOnlyCopy
	}
	return nil
}

// newestReceived returns the highest position that any replica has received.
func (a *attempt) newestReceived(ctx context.Context) (timeline.Position, error) {
	var out timeline.Position
	for _, s := range a.sendAll(ctx, a.others, lane.StatusCommand) {
		if s.err != nil {
			return out, errUnreachable
		}
		if takeover.CompareLogs(out, s.status.Received) < 0 {
			out = s.status.Received
		}
	}
	return out, nil
}
