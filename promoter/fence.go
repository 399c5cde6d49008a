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
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// revoke asks all VMs to give up their permissions, in parallel with the fencing of the targets.
// The result is whether all VMs have done so.
func (a *attempt) revoke(ctx context.Context) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
		defer cancel()
		out <- a.p.cfg.Fleet.RevokeAll(ctx, a.held)
	}()
	return out
}

// awaitPermissionExpiry waits until every permission that a VM may still have has expired. Waiting
// for takeover.Permission from the last pause is enough, because a permission counts from the time
// at which its witness was queried, and no query sent after the last pause renews one: a paused
// target is no witness, and the store's record shows the attempt.
func (a *attempt) awaitPermissionExpiry(fenced clock.Time) {
	left := takeover.Permission - a.p.cfg.Clock.Now().Sub(fenced)
	a.p.cfg.Log.Info("permissions-waited-out", zap.String("service", a.g.Service), zap.Duration("for", left))
	time.Sleep(left)
}

// stepDown commands the old primary to step down, and returns its status, which has the end of its log. A
// planned change begins with it, so that writes are refused as not run instead of being left in doubt.
func (a *attempt) stepDown(ctx context.Context) (statement.Status, error) {
	s, err := a.g.SendCommand(ctx, a.old, lane.StepDownCommand(a.term), commandTimeout)
	return s, errors.WithMessage(err, "step down command to the old primary")
}

// stepDownReplaced commands the old primary to step down once a successor is designated. Its replicas are
// paused since, so that it acknowledges nothing, and it need not answer.
//
// Failure guarded against: the holder of an attempt dies after it has commanded the primary to step down. No
// target leads, and if another one leaves then the primary alone may hold acknowledged commits. It
// can't be designated, since the platform considers it the present primary, and a target without them
// is promoted.
func (a *attempt) stepDownReplaced(ctx context.Context) {
	if a.old == "" {
		return
	}
	go func() { _, _ = a.g.SendCommand(ctx, a.old, lane.StepDownCommand(a.term), commandTimeout) }()
}

// awaitHolder waits up to catchUpTimeout until a target that is not draining has received the old
// primary's log up to end, and reports whether one has.
func (a *attempt) awaitHolder(ctx context.Context, end timeline.Position) bool {
	deadline := a.p.cfg.Clock.Now().Add(catchUpTimeout)
	for a.p.cfg.Clock.Now().Before(deadline) {
		if a.stayingTargetHolds(ctx, end) {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// pause stops every other target from receiving. All of them must confirm: one that does not may be
// the only holder of an acknowledged commit, or may still be a witness for the old primary.
func (a *attempt) pause(ctx context.Context) ([]takeover.Fenced, error) {
	return a.pauseAll(ctx, catalog.IDs(a.others))
}

// pauseJoined pauses the targets that have joined since the attempt began. It follows the end of
// all VMs' permissions: commits that the old primary confirms after that with the help of a target
// that joins still later are acknowledged to no consumer.
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
	answers := forEach(ids, func(id target.ID) reply { return a.pauseOne(ctx, id) })
	var out []takeover.Fenced
	var failed error
	for _, s := range answers {
		if s.err != nil {
			failed = errors.WithMessage(s.err, "pause "+string(s.id))
			a.unsure = append(a.unsure, s.id)
			continue
		}
		a.paused = append(a.paused, s.id)
		t := a.p.cfg.Catalog.Load().Targets[s.id]
		out = append(out, takeover.Fenced{ID: s.id, Term: s.status.Term, Received: s.status.Received, Leaving: t == nil || t.Draining})
	}
	return out, failed
}

// stillPaused queries every paused target again, concurrently and after the last one was paused, to
// check that it is in the incarnation in which it was paused.
//
// Failure guarded against: a replica restarts under its id after it was paused. It has lost the
// pause and its log, receives from the old primary and confirms commits that the other replica,
// which is then promoted, lacks. Confirmed purchases are then missing. A target in another
// incarnation is not paused, or holds less than it had reported.
func (a *attempt) stillPaused(ctx context.Context, fenced []takeover.Fenced) error {
	ids := make([]target.ID, len(fenced))
	had := make(map[target.ID]timeline.Position, len(fenced))
	for i, f := range fenced {
		ids[i], had[f.ID] = f.ID, f.Received
	}
	for _, s := range a.sendAllTo(ctx, ids, lane.StatusCommand) {
		switch {
		case s.err != nil:
			return errors.WithMessage(s.err, "status query to "+string(s.id)+" before the promotion")
		case s.status.Paused < a.term || !takeover.Holds(s.status.Received, had[s.id]):
			return errors.WithMessage(errRestarted, string(s.id))
		}
	}
	return nil
}

// pauseOne pauses a target, which must itself confirm that it is paused.
//
// Failure guarded against: one of the other targets still considers itself the primary of an
// earlier term. It ignores a command to pause. Later it follows the primary that is being replaced,
// and acknowledges commits that the chosen target lacks. So it is commanded to step down first, and
// a target that leads in a later term ends the attempt.
func (a *attempt) pauseOne(ctx context.Context, id target.ID) reply {
	s, err := a.sendWithRetry(ctx, id, lane.PauseCommand(a.term))
	if err == nil && s.Role == target.RolePrimary {
		if s.Term >= a.term-1 {
			return reply{id: id, err: errSuperseded}
		}
		if _, err = a.sendWithRetry(ctx, id, lane.StepDownCommand(a.term)); err == nil {
			s, err = a.sendWithRetry(ctx, id, lane.PauseCommand(a.term))
		}
	}
	if err == nil && (s.Role != target.RoleReplica || s.Paused < a.term) {
		err = errUnpaused
	}
	return reply{id: id, status: s, err: err}
}
