package promoter

import (
	"context"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// abandoned reports whether an attempt is recorded that its holder has left open, so that its
// remains may be cleaned up.
//
// Failure guarded against: the dead holder's call to promote a replica is still on its way. Another
// replica that was resumed confirms the old primary's commits, and the promotion then loses them.
// So while the target that was to be replaced leads, the whole of ExpireAfter has to pass, even if
// an earlier process of this VM was the holder.
func (p *Promoter) abandoned(r *catalog.LeadershipRecord, w *serviceState, leads target.ID, now clock.Time) bool {
	if r.Attempt == nil {
		return outdated(r) && now.Sub(w.revisionSeen) >= takeover.ExpireAfter
	}
	expiry := p.expireAfter(r, w)
	if leads == r.Attempt.Deposed {
		expiry = takeover.ExpireAfter
	}
	return now.Sub(w.revisionSeen) >= expiry
}

// outdated reports whether a record was written before the store was restored from an older copy,
// or was lost by that restore: an attempt may have been recorded since, and left targets paused.
// The VM that cleans up writes the record again.
func outdated(r *catalog.LeadershipRecord) bool {
	return r.Lost || r.Era < catalog.EraOf(r.Revision)
}

// replacedBefore returns the target that the attempt to be cleaned up was to replace; empty if there is
// none.
func (a *attempt) replacedBefore() target.ID {
	if a.known.Attempt != nil {
		return a.known.Attempt.Deposed
	}
	return a.followsUp
}

// cleanUp undoes the remains of an attempt whose holder has left it open. It is false if it is not
// certain which target leads, so that nothing was done.
//
// Failure guarded against: a VM dies after it has ordered a promotion. The target leads, but the
// other replica is still paused, and no VM resumes it: if the old primary does not return, no write
// is ever confirmed again, although two of three targets are alive. The record shows an open
// attempt permanently, so that no VM may trust its evidence and each exact read queries a replica.
// Cleaning up is safe because another VM ends the expired attempt under a record of its own, so
// that no promotion is under way meanwhile.
func (a *attempt) cleanUp(ctx context.Context, log *zap.Logger) bool {
	if _, settled := a.pausedTargets(ctx); !settled {
		return false
	}
	if err := a.record(ctx, a.known, a.replacedBefore()); err != nil {
		log.Info("takeover-not-ours", zap.Error(err))
		return true
	}
	// The first check may have been of an attempt that was still under way. If it is not certain
	// any more which target leads, the record is left to expire again.
	paused, settled := a.pausedTargets(ctx)
	if !settled {
		log.Info("takeover-untidied", zap.Duration("after", a.elapsed()))
		return true
	}
	a.paused = paused
	if !a.resume(lane.WithExpiry(ctx, a.expired), a.old, a.replacedBefore()) {
		return true
	}
	a.end(ctx, a.old)
	log.Info("takeover-tidied", zap.Int("resumed", len(paused)), zap.Duration("after", a.elapsed()))
	return true
}

// pausedTargets returns the targets that are still paused, and whether it is certain that the
// current primary leads.
func (a *attempt) pausedTargets(ctx context.Context) (paused []target.ID, settled bool) {
	s, err := a.g.Status(ctx, a.old, spending.Change, statusTimeout)
	leader := targetStatusOf(a.old, s, err)
	var others []takeover.TargetStatus
	for _, t := range a.sendAll(ctx, a.others, lane.StatusCommand) {
		o := targetStatusOf(t.id, t.status, t.err)
		others = append(others, o)
		if o.Paused != 0 {
			paused = append(paused, o.ID)
		}
	}
	return paused, takeover.IsSettled(leader, others, a.replacedBefore())
}

func targetStatusOf(id target.ID, s statement.Status, err error) takeover.TargetStatus {
	if err != nil {
		return takeover.TargetStatus{ID: id, Unresponsive: true}
	}
	return takeover.TargetStatus{ID: id, Role: s.Role, Term: s.Term, Paused: s.Paused}
}
