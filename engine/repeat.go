package engine

import (
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
)

// sameTargetReserve is how many repeats of a service's budget are kept for tries at targets that the
// statement has not been sent to: these are more likely to succeed.
const sameTargetReserve = 10

// mayRepeat reports whether the service's budget allows to send a statement again, and spends it. A
// try that reached nobody, and a replica that lacks the data, cost no budget.
//
// Failure guarded against: all targets of a service are overloaded, and each request that one of
// them refuses is sent to the two others as well, and again.
func (s *Session) mayRepeat(w *work) bool {
	g := s.engine.cfg.Groups.Group(w.route.Service)
	if !w.costly || !s.engine.usesGateways(g.Service) || s.engine.cfg.Features.Without(feature.RepeatBudget) {
		return true
	}
	reserve, outcome := 0, "elsewhere"
	if w.writes || w.tries >= triesAtOnce {
		reserve, outcome = sameTargetReserve, "again"
	}
	allowed := g.Repeats.TryRetryAbove(s.engine.cfg.Clock.Now(), reserve)
	if !allowed {
		outcome = "denied"
	}
	s.engine.cfg.Decisions.Count(decisions.Repeat, g.Service, outcome, 1)
	return allowed
}
