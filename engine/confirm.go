package engine

import (
	"context"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/leadership"
)

// stillLeads reports whether a commit that the primary has answered may be
// acknowledged.
//
// Failure guarded against: a write confirmed by a primary that was replaced. On
// a service whose commits wait for a replica it cannot happen: all replicas are
// paused before another target leads. Where they wait for none, the old primary
// goes on confirming to a VM that has not heard of its successor. So a witness is
// asked there, after the commit: if no promotion has begun by then, the commit
// came before it.
func (s *Session) stillLeads(ctx context.Context, g *groups.Group, b leadership.Belief) bool {
	service := s.engine.cfg.Catalog.Load().Service(g.Service)
	if service == nil || service.SyncReplicas > 0 {
		return true
	}
	err := g.Witness(ctx, b, 0)
	if err != nil {
		s.engine.cfg.Log.Info("commit-unwitnessed", zap.String("service", g.Service),
			zap.String("primary", string(b.Primary)), zap.Uint64("term", uint64(b.Term)), zap.Error(err))
	}
	return err == nil
}
