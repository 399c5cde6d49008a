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
	term timeline.Term
	// replaced is the primary that the change has replaced; empty if it was given up.
	replaced target.ID
	until    clock.Time
	next     clock.Time
	// paused is set once the target has reported that it is paused.
	paused bool
}

// startFollowUp starts sending commands to a target after a change of primary.
//
// Failure guarded against: an old primary that is cut off from its peers, but not from consumers,
// continues to act as the primary, and a paused replica remains out of service. Reads then find no
// witness, and a replica lags further and further behind.
func (p *Promoter) startFollowUp(service string, id target.ID, term timeline.Term, replaced target.ID) {
	if id == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(service).followUps[id] = &followUp{term: term, replaced: replaced, until: p.cfg.Clock.Now().Add(followUpLimit)}
}

// pausedFollowUp returns a target that a follow-up has found paused; nil if there is none. The caller
// holds the lock.
func (w *serviceState) pausedFollowUp() *followUp {
	for _, x := range w.followUps {
		if x.paused {
			return x
		}
	}
	return nil
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

// sendFollowUp queries a target, and commands one that still leads in an earlier term to step down.
//
// Failure guarded against: the pause of the target is the fence of another attempt, made since. If the
// target were resumed it would confirm commits that the target chosen by that attempt lacks. A command to
// resume names no term, so that the target cannot refuse it, and the other attempt may begin between the
// reply and the command. So a paused target is left to an attempt that is recorded for that (cleanUp).
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
	default:
		p.recordFollowUp(g.Service, id, s.Paused != 0)
		if s.Paused == 0 {
			return
		}
	}
	p.cfg.Log.Info("target-pursued", zap.String("target", string(id)), zap.Stringer("role", s.Role),
		zap.Uint64("term", uint64(s.Term)), zap.Uint64("paused", uint64(s.Paused)), zap.Error(err))
}

// recordFollowUp records whether a target that has the right role is still paused. Otherwise its follow-up
// has ended.
func (p *Promoter) recordFollowUp(service string, id target.ID, paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.stateOf(service)
	x := w.followUps[id]
	switch {
	case x == nil:
	case paused:
		x.paused = true
	default:
		delete(w.followUps, id)
	}
}
