package promoter

import (
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// choose returns the target to promote.
//
// Failure guarded against: the primary has stepped down and no target leads, since the VM that was
// about to replace it has died. The platform still considers it the present primary, and
// designating it changes nothing: the service has no primary permanently, and attempt after attempt
// fails because its target does not lead. So that target is avoided as long as the others certainly
// hold every acknowledged commit.
func (a *attempt) choose(fenced []takeover.Fenced, end *timeline.Position) (takeover.Fenced, error) {
	if end != nil {
		return takeover.Choose(fenced, end)
	}
	if chosen, ok := takeover.ChooseOther(fenced, a.present(fenced), a.g.Acknowledged.Bound()); ok {
		return chosen, nil
	}
	return takeover.Choose(fenced, nil)
}

// present returns the target that the platform may consider the present primary: one that was
// designated without effect, or else the last one that led. The latter may be the only holder of what a
// service without synchronous replicas has acknowledged.
func (a *attempt) present(fenced []takeover.Fenced) takeover.Present {
	out := takeover.Present{ID: a.p.lastIneffective(a.g.Service), LostCopy: a.g.LostCopy()}
	out.Led = latestTerm(fenced, out.ID)
	if out.ID == "" {
		if s := a.p.cfg.Catalog.Load().Service(a.g.Service); s == nil || s.SyncReplicas == 0 {
			return out
		}
		out.ID = a.g.Health.Watched()
		if a.known != nil && a.known.Attempt != nil {
			out.ID = a.known.Attempt.Deposed
		}
		out.Led = a.g.Leadership.LastLed(out.ID)
	}
	if a.old != "" {
		out.Led = 0 // The old primary may have led since, and is not fenced.
	}
	return out
}

// latestTerm returns the latest term that a fenced target knows. The platform's present primary led it.
func latestTerm(fenced []takeover.Fenced, id target.ID) timeline.Term {
	for _, f := range fenced {
		if f.ID == id {
			return f.Term
		}
	}
	return 0
}

// recordIneffective records the target that was designated last and does not lead; empty if there
// is none.
func (p *Promoter) recordIneffective(service string, id target.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(service).ineffective = id
}

func (p *Promoter) lastIneffective(service string) target.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateOf(service).ineffective
}
