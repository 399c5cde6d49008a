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

// abandoned reports whether an attempt is recorded that its holder has left, so
// that what it left behind may be undone.
//
// Failure guarded against: an order of the dead holder that is still on its way. A
// replica that was let go confirms the old primary's commits, and the promotion of
// the other one then loses them. So while the target leads that was to be replaced
// the whole Lapse has to pass, also if this VM's own process before was the holder.
func (p *Promoter) abandoned(r *catalog.LeadershipRecord, w *watched, leads target.ID, now clock.Time) bool {
	if r.Attempt == nil {
		return outdated(r) && now.Sub(w.seen) >= takeover.Lapse
	}
	lapse := p.lapse(r, w)
	if leads == r.Attempt.Deposed {
		lapse = takeover.Lapse
	}
	return now.Sub(w.seen) >= lapse
}

// outdated reports whether a record is of before the store came back from an older copy,
// or lost by that: an attempt may have been recorded since, and left targets paused. It is
// written again by whoever tidies.
func outdated(r *catalog.LeadershipRecord) bool {
	return r.Lost || r.Era < catalog.EraOf(r.Revision)
}

// deposed is the target that the recorded attempt was to replace; empty if there is none.
func deposed(r *catalog.LeadershipRecord) target.ID {
	if r.Attempt == nil {
		return ""
	}
	return r.Attempt.Deposed
}

// tidy undoes what an attempt has left behind whose holder is gone. It is false
// if it is not sure who leads, so that nothing was done.
//
// Failure guarded against: a VM dies after it has ordered a promotion. The target
// leads, but the other replica is still paused, and nobody is to let it go: if the
// old primary stays away, no write is ever confirmed again, though two of three
// targets live. The record shows an attempt for good, so that no VM may trust its
// evidence and each exact read asks a replica. It holds because an attempt that
// lapses is ended by another VM, under a record of its own, so that no promotion
// is open meanwhile.
func (a *attempt) tidy(ctx context.Context, log *zap.Logger) bool {
	if _, settled := a.left(ctx); !settled {
		return false
	}
	if err := a.record(ctx, deposed(a.known)); err != nil {
		log.Info("takeover-not-ours", zap.Error(err))
		return true
	}
	// What was seen before may have been of an attempt that was still under way.
	// If it is not sure any more who leads, the record is left to lapse again.
	paused, settled := a.left(ctx)
	if !settled {
		log.Info("takeover-untidied", zap.Duration("after", a.elapsed()))
		return true
	}
	a.paused = paused
	a.resume(ctx, a.old)
	a.end(ctx, a.old)
	log.Info("takeover-tidied", zap.Int("resumed", len(paused)), zap.Duration("after", a.elapsed()))
	return true
}

// left returns the targets that are still paused, and whether it is sure that
// the believed primary leads.
func (a *attempt) left(ctx context.Context) (paused []target.ID, settled bool) {
	s, err := a.g.Status(ctx, a.old, spending.Change, askTimeout)
	leader := accountOf(a.old, s, err)
	var others []takeover.Account
	for _, t := range a.all(ctx, a.others, lane.StatusCommand) {
		o := accountOf(t.id, t.status, t.err)
		others = append(others, o)
		if o.Paused != 0 {
			paused = append(paused, o.ID)
		}
	}
	return paused, takeover.Settled(leader, others, deposed(a.known))
}

func accountOf(id target.ID, s statement.Status, err error) takeover.Account {
	if err != nil {
		return takeover.Account{ID: id, Silent: true}
	}
	return takeover.Account{ID: id, Role: s.Role, Term: s.Term, Paused: s.Paused}
}
