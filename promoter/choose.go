package promoter

import (
	"slices"

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
	avoided := a.avoided()
	others := slices.DeleteFunc(slices.Clone(fenced), func(f takeover.Fenced) bool { return f.ID == avoided })
	if len(others) >= takeover.RequiredFenced {
		chosen, err := takeover.Choose(others, nil)
		if err == nil && takeover.Holds(chosen.Received, a.g.Acknowledged.Bound()) {
			return chosen, nil
		}
	}
	return takeover.Choose(fenced, nil)
}

// avoided returns the target that the platform may consider the present primary: one that was
// designated without effect, or else the last one that led. The latter may be the only holder of
// what a service without synchronous replicas has acknowledged.
func (a *attempt) avoided() target.ID {
	if id := a.p.lastIneffective(a.g.Service); id != "" {
		return id
	}
	s := a.p.cfg.Catalog.Load().Service(a.g.Service)
	if s == nil || s.SyncReplicas == 0 {
		return ""
	}
	if a.known != nil && a.known.Attempt != nil {
		return a.known.Attempt.Deposed
	}
	return a.g.Health.Watched()
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
