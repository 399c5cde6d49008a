package promoter

import (
	"context"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/spending"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const (
	// followUpInterval is the interval between the commands to a target that a change of primary
	// has left in its former state.
	followUpInterval = 500 * time.Millisecond
	// followUpLimit bounds the time for which they are sent: a target that was cut off for longer
	// has connected to the new primary by itself.
	followUpLimit = 30 * time.Second
)

// followUp is a target that a change of primary has left in its former state: the old primary,
// which may still consider itself the primary, or a target that is still paused.
type followUp struct {
	term  timeline.Term
	until clock.Time
	next  clock.Time
}

// startFollowUp starts sending commands to a target after a change of primary.
//
// Failure guarded against: an old primary that is cut off from its peers, but not from consumers,
// continues to act as the primary, and a paused replica remains out of service. Reads then find no
// witness, and a replica lags further and further behind.
func (p *Promoter) startFollowUp(service string, id target.ID, term timeline.Term) {
	if id == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(service).followUps[id] = &followUp{term: term, until: p.cfg.Clock.Now().Add(followUpLimit)}
}

// sendFollowUps sends the commands that are due; the caller holds the lock.
func (p *Promoter) sendFollowUps(ctx context.Context, g *groups.Group, w *serviceState, now clock.Time) {
	for id, x := range w.followUps {
		if now.After(x.until) || p.cfg.Catalog.Load().Targets[id] == nil {
			delete(w.followUps, id)
			continue
		}
		if now.Before(x.next) {
			continue
		}
		x.next = now.Add(followUpInterval)
		go p.sendFollowUp(ctx, g, id, x.term)
	}
}

func (p *Promoter) sendFollowUp(ctx context.Context, g *groups.Group, id target.ID, term timeline.Term) {
	s, err := g.Status(ctx, id, spending.Change, commandTimeout)
	if err != nil {
		return
	}
	switch {
	case s.Role == target.RolePrimary && s.Term < term:
		if g.Leadership.Current().Primary == id {
			return
		}
		_, err = g.SendCommand(ctx, id, lane.StepDownCommand(term), commandTimeout)
	case s.Paused != 0:
		_, err = g.SendCommand(ctx, id, lane.ResumeCommand, commandTimeout)
	default:
		p.mu.Lock()
		delete(p.stateOf(g.Service).followUps, id)
		p.mu.Unlock()
		return
	}
	p.cfg.Log.Info("target-pursued", zap.String("target", string(id)), zap.Stringer("role", s.Role),
		zap.Uint64("term", uint64(s.Term)), zap.Uint64("paused", uint64(s.Paused)), zap.Error(err))
}
