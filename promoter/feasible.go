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

// feasible asks every other target, so that no attempt is recorded, and
// nothing paused, that cannot succeed. It also learns the latest term.
func (a *attempt) feasible(ctx context.Context) error {
	if len(a.others) < a.enough() {
		return errTooFew
	}
	statuses, err := a.askOthers(ctx)
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
		return errLacking
	}
	if a.g.Leadership.Believed().Primary != a.old {
		return errSuperseded
	}
	switch a.reason {
	case takeover.ReasonLeaving:
		return a.keepsUp(ctx)
	case takeover.ReasonStalled:
		return a.confirmStall(ctx)
	case takeover.ReasonBehind:
		return a.confirmBehind(ctx, statuses)
	default:
		return nil
	}
}

// promptAnswers is how soon all other targets must answer a VM that reaches no other VM:
// the last VM of a fleet is answered promptly, one whose own link is full is not.
const promptAnswers = 150 * time.Millisecond

// askOthers asks all other targets for their status. A VM that reaches no other VM trusts
// what it has seen of the primary only while its own path is good.
func (a *attempt) askOthers(ctx context.Context) ([]told, error) {
	asked, reached := a.p.cfg.Clock.Now(), a.p.reachesOthers()
	statuses := a.all(ctx, a.others, lane.StatusCommand)
	took := a.p.cfg.Clock.Now().Sub(asked)
	if reached && a.p.reachesOthers() {
		return statuses, nil
	}
	if took > promptAnswers {
		return nil, errOwnPath
	}
	if a.reason.Unanswered() && a.answersNow(ctx) {
		return nil, errRecovered
	}
	return statuses, nil
}

// answersNow reports whether the old primary answers a question.
func (a *attempt) answersNow(ctx context.Context) bool {
	_, err := a.g.Status(ctx, a.old, spending.Change, askTimeout)
	return err == nil
}

// enough is how many other targets are needed. A planned change knows where
// the old primary's log ends, so that one which holds that will do.
func (a *attempt) enough() int {
	if a.reason.Planned() {
		return 1
	}
	return takeover.Enough
}

// keepsUp reports whether a target that stays receives what the leaving primary
// commits. Otherwise it would be made to step down for a successor that cannot
// take over, and the service would have no primary at all.
func (a *attempt) keepsUp(ctx context.Context) error {
	start, err := a.g.Status(ctx, a.old, spending.Change, askTimeout)
	if err != nil {
		return err
	}
	if !a.awaitHolder(ctx, start.Received) {
		return errLacking
	}
	return nil
}

// confirmBehind tells replicas that are far behind, under a primary that has more
// to do than it can, from reads that were late for another reason. One replica that
// is near serves the reads soon, and need not be promoted for it.
func (a *attempt) confirmBehind(ctx context.Context, others []told) error {
	for _, s := range others {
		if s.status.Lag < takeover.FarBehind {
			return errNear
		}
	}
	primary := a.p.cfg.Catalog.Load().Targets[a.old]
	s, err := a.g.Status(ctx, a.old, spending.Change, askTimeout)
	if err != nil {
		return err
	}
	if primary == nil || s.Busy < busyTimes*primary.Slots {
		return errIdle
	}
	return a.keepsUp(ctx)
}

// busyTimes its slots is how much a primary must have to do to be taken for the one
// that cannot serve all. More need not wait there: VMs send no more than a few for
// each slot, and keep the others themselves.
const busyTimes = 1

// holds reports whether a target that stays has received a position.
func (a *attempt) holds(ctx context.Context, end timeline.Position) bool {
	for _, s := range a.all(ctx, a.others, lane.StatusCommand) {
		t := a.p.cfg.Catalog.Load().Targets[s.id]
		if s.err == nil && t != nil && !t.Draining && takeover.Holds(s.status.Received, end) {
			return true
		}
	}
	return false
}

// confirmStall tells a primary that cannot replicate from one that is merely
// slow: its log is ahead of every replica's, and none comes nearer.
func (a *attempt) confirmStall(ctx context.Context) error {
	before, err := a.newest(ctx)
	if err != nil {
		return err
	}
	end, err := a.g.Status(ctx, a.old, spending.Change, askTimeout)
	if err != nil {
		return nil
	}
	time.Sleep(4 * pollEvery)
	after, err := a.newest(ctx)
	if err != nil {
		return err
	}
	if takeover.Furthest(before, after) < 0 || takeover.Furthest(after, end.Received) >= 0 {
		return errRecovered
	}
	return nil
}

// newest is the highest position that any replica has received.
func (a *attempt) newest(ctx context.Context) (timeline.Position, error) {
	var out timeline.Position
	for _, s := range a.all(ctx, a.others, lane.StatusCommand) {
		if s.err != nil {
			return out, errUnreachable
		}
		if takeover.Furthest(out, s.status.Received) < 0 {
			out = s.status.Received
		}
	}
	return out, nil
}
