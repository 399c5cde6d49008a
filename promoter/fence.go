package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// revoke asks all VMs to give up their permissions, while the targets are
// fenced. The result is whether all have.
func (a *attempt) revoke(ctx context.Context) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
		defer cancel()
		out <- a.p.cfg.Fleet.RevokeAll(ctx, a.held)
	}()
	return out
}

// waitOut waits until every permission has lapsed that a VM may still hold: no
// witness was asked in vain after the last target was paused.
func (a *attempt) waitOut(fenced clock.Time) {
	left := takeover.Permission - a.p.cfg.Clock.Now().Sub(fenced)
	a.p.cfg.Log.Info("permissions-waited-out", zap.String("service", a.g.Service), zap.Duration("for", left))
	time.Sleep(left)
}

// stepDown asks the old primary to lead no longer, and returns where its log
// ends. A planned change begins with it, so that writes are refused as not run
// instead of being left in doubt. One that is dead need not answer.
func (a *attempt) stepDown(ctx context.Context) (*timeline.Position, error) {
	if a.old == "" {
		return nil, nil
	}
	if !a.reason.Planned() {
		// Its replicas are paused next; what it still holds back is not
		// acknowledged. Its answer is not waited for.
		go func() { _, _ = a.g.Order(ctx, a.old, lane.StepDownCommand(a.term), fenceTimeout) }()
		return nil, nil
	}
	s, err := a.g.Order(ctx, a.old, lane.StepDownCommand(a.term), fenceTimeout)
	if err != nil {
		return nil, errors.WithMessage(err, "step down")
	}
	return &s.Received, nil
}

// awaitHolder waits up to catchUp until a target that stays has received the
// old primary's log as far as end, and reports whether one has.
func (a *attempt) awaitHolder(ctx context.Context, end timeline.Position) bool {
	deadline := a.p.cfg.Clock.Now().Add(catchUp)
	for a.p.cfg.Clock.Now().Before(deadline) {
		if a.holds(ctx, end) {
			return true
		}
		time.Sleep(pollEvery)
	}
	return false
}

// pause stops every other target from receiving. All of them must answer: one
// that does not may be the only holder of an acknowledged commit, or the one
// that still vouches for the old primary.
func (a *attempt) pause(ctx context.Context) ([]takeover.Fenced, error) {
	return a.pauseAll(ctx, idsOf(a.others))
}

// pauseJoined pauses the targets that have joined since the attempt began. It
// is due once all VMs have given up their permissions: what the old primary
// confirms from then on by the help of a newer one is acknowledged to nobody.
func (a *attempt) pauseJoined(ctx context.Context) ([]takeover.Fenced, error) {
	now, err := a.p.cfg.Fleet.ListTargets(ctx, a.g.Service)
	if err != nil {
		return nil, errors.WithMessage(err, "list targets")
	}
	var joined []target.ID
	for _, id := range now {
		known := slices.ContainsFunc(a.others, func(t *catalog.Target) bool { return t.ID == id })
		if !known && id != a.old {
			joined = append(joined, id)
		}
	}
	return a.pauseAll(ctx, joined)
}

func (a *attempt) pauseAll(ctx context.Context, ids []target.ID) ([]takeover.Fenced, error) {
	answers := each(ids, func(id target.ID) told { return a.pauseOne(ctx, id) })
	var out []takeover.Fenced
	var failed error
	for _, s := range answers {
		if s.err != nil {
			failed = errors.WithMessage(s.err, "pause "+string(s.id))
			continue
		}
		a.paused = append(a.paused, s.id)
		t := a.p.cfg.Catalog.Load().Targets[s.id]
		out = append(out, takeover.Fenced{ID: s.id, Received: s.status.Received, Leaving: t == nil || t.Draining})
	}
	return out, failed
}

// stillPaused asks every paused target again, all at one time after the last was
// paused, whether it is in the life in which it was paused.
//
// Failure guarded against: a replica starts again under its id after it was paused.
// It has forgotten the pause and its log, receives from the old primary and confirms
// its commits, of which the other replica, the one that is promoted, has none. It
// shows as purchases that were confirmed and are not there. A target in another life
// is not paused, or holds less than it had said.
func (a *attempt) stillPaused(ctx context.Context, fenced []takeover.Fenced) error {
	ids := make([]target.ID, len(fenced))
	had := make(map[target.ID]timeline.Position, len(fenced))
	for i, f := range fenced {
		ids[i], had[f.ID] = f.ID, f.Received
	}
	for _, s := range a.allOf(ctx, ids, lane.StatusCommand) {
		switch {
		case s.err != nil:
			return errors.WithMessage(s.err, "ask "+string(s.id)+" again")
		case s.status.Paused < a.term || !takeover.Holds(s.status.Received, had[s.id]):
			return errors.WithMessage(errReborn, string(s.id))
		}
	}
	return nil
}

// pauseOne pauses a target, and takes only its own word that it is paused.
//
// Failure guarded against: one of the others still believes that it leads, from
// a reign before. An order to pause means nothing to it; later it follows the
// primary that is being replaced, and acknowledges commits which the chosen
// target lacks. So it is made to step down first, and one that leads in a later
// term ends the attempt.
func (a *attempt) pauseOne(ctx context.Context, id target.ID) told {
	s, err := a.orderPatiently(ctx, id, lane.PauseCommand(a.term))
	if err == nil && s.Role == target.RolePrimary {
		if s.Term >= a.term-1 {
			return told{id: id, err: errSuperseded}
		}
		if _, err = a.orderPatiently(ctx, id, lane.StepDownCommand(a.term)); err == nil {
			s, err = a.orderPatiently(ctx, id, lane.PauseCommand(a.term))
		}
	}
	if err == nil && (s.Role != target.RoleReplica || s.Paused < a.term) {
		err = errUnpaused
	}
	return told{id: id, status: s, err: err}
}
