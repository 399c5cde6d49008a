package promoter

import (
	"slices"

	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// choose returns the target to promote.
//
// Failure guarded against: the primary has stepped down and nobody leads, as the VM
// that was about to replace it has died. For the platform it is the present primary
// still, and to designate that one changes nothing: the service has no primary, for
// good. It shows as attempts whose target does not lead, one after the other. So it is
// passed over as long as the others surely hold what was acknowledged.
func (a *attempt) choose(fenced []takeover.Fenced, end *timeline.Position) (takeover.Fenced, error) {
	if end != nil {
		return takeover.Choose(fenced, end)
	}
	avoided := a.avoided()
	others := slices.DeleteFunc(slices.Clone(fenced), func(f takeover.Fenced) bool { return f.ID == avoided })
	if len(others) >= takeover.Enough {
		chosen, err := takeover.Choose(others, nil)
		if err == nil && takeover.Holds(chosen.Received, a.g.Acknowledged.Bound()) {
			return chosen, nil
		}
	}
	return takeover.Choose(fenced, nil)
}

// avoided is the target that the platform may take for the present primary: one that
// was designated in vain, or else the last one that led. The latter may hold alone
// what a service without synchronous replicas has acknowledged.
func (a *attempt) avoided() target.ID {
	if id := a.p.lastUnmoved(a.g.Service); id != "" {
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

// unmoved notes the target that was designated last and does not lead; none is empty.
func (p *Promoter) unmoved(service string, id target.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).unmoved = id
}

func (p *Promoter) lastUnmoved(service string) target.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service).unmoved
}
