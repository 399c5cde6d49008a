package engine

import (
	"math/rand/v2"
	"time"

	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/target"
)

// Outcomes of placing that an operator may want to know of; see package decisions.
const (
	// divertedByReport: a reported wait moved a read to another target.
	divertedByReport = "diverted"
	// refusedByReport: a target refused a read, and all others were known to do the same.
	refusedByReport = "all-full"
)

// place chooses the target of a read among those that have not been tried yet; once all have been,
// among all. The target is empty if there is none.
func (s *Session) place(g *groups.Group, w *work, tried map[target.ID]bool) (target.ID, placing.Choice) {
	now := s.engine.cfg.Clock.Now()
	cat := s.engine.cfg.Catalog.Load()
	primary := g.Leadership.Current().Primary
	left := w.route.Objective - now.Sub(w.arrived)
	var candidates []placing.Candidate
	for _, t := range cat.ByService[g.Service] {
		if t.Draining || tried[t.ID] {
			continue
		}
		c := candidate(s.engine.cfg.Runner.Load(t.ID), left)
		c.ID, c.SameZone, c.Primary = t.ID, s.engine.sameZone(t), t.ID == primary
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 && len(tried) > 0 {
		clear(tried)
		return s.place(g, w, tried)
	}
	if !s.engine.cfg.Features.Without(feature.WarmConnections) {
		placing.PreferHome(s.workspace, candidates)
	}
	if avoid := s.engine.cfg.Avoid; avoid != nil {
		avoid(g.Service, candidates, w.tries == 0)
	}
	choice := s.engine.cfg.Placing.Choose(now, candidates, w.route.Objective, rand.Float64())
	if choice.Index < 0 {
		return "", choice
	}
	id := candidates[choice.Index].ID
	if choice.Diverted {
		s.engine.cfg.Decisions.Count(decisions.Placing, g.Service, divertedByReport, 1)
	}
	return id, choice
}

// candidate returns what a load says of a target for a read that is due after the time left.
func candidate(l lane.Load, left time.Duration) placing.Candidate {
	c := placing.Candidate{Down: l.Down, Pending: l.InUse + l.Queued}
	if l.Reported {
		c.Wait, c.ServiceTime, c.Failed = l.ExpectedWait, l.ServiceTime, l.Failed
		c.Full = l.Overloaded && l.ExpectedWait+l.ServiceTime > left
	}
	return c
}
