package engine

import (
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/placing"
	"endivemoor.example/endivemoor/target"
)

// place chooses the target of a read among those that have not been tried yet; once all have been,
// among all. The second result is set if there is no other choice.
func (s *Session) place(g *groups.Group, tried map[target.ID]bool) (target.ID, bool) {
	cat := s.engine.cfg.Catalog.Load()
	primary := g.Leadership.Current().Primary
	var candidates []placing.Candidate
	for _, t := range cat.ByService[g.Service] {
		if t.Draining || tried[t.ID] {
			continue
		}
		load := s.engine.cfg.Runner.Load(t.ID)
		candidates = append(candidates, placing.Candidate{
			ID: t.ID, SameZone: s.engine.sameZone(t), Primary: t.ID == primary,
			Down: load.Down, Pending: load.InUse + load.Queued,
		})
	}
	if len(candidates) == 0 && len(tried) > 0 {
		clear(tried)
		return s.place(g, tried)
	}
	placing.PreferHome(s.workspace, candidates)
	i, only := s.engine.cfg.Placing.Choose(s.engine.cfg.Clock.Now(), candidates)
	if i < 0 {
		return "", true
	}
	return candidates[i].ID, only
}
