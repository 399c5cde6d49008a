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
	// pursueEvery is the interval of orders to a target that was left behind.
	pursueEvery = 500 * time.Millisecond
	// pursueFor bounds them: a target that was cut off for longer has met the
	// new primary by itself.
	pursueFor = 30 * time.Second
)

// pursuit is a target that a change of primary has left behind: the old
// primary, which may believe that it still leads, or one that is still paused.
type pursuit struct {
	term  timeline.Term
	until clock.Time
	next  clock.Time
}

// chase goes on sending orders to a target after a change of primary.
//
// Failure guarded against: an old primary that is cut off from its peers and
// not from consumers goes on as if it led, and a paused replica stays out of
// service. It shows as reads that find no witness, and as a replica that is
// ever further behind.
func (p *Promoter) chase(service string, id target.ID, term timeline.Term) {
	if id == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).deposed[id] = &pursuit{term: term, until: p.cfg.Clock.Now().Add(pursueFor)}
}

// pursue sends the orders that are due; the caller holds the lock.
func (p *Promoter) pursue(ctx context.Context, g *groups.Group, w *watched, now clock.Time) {
	for id, x := range w.deposed {
		if now.After(x.until) || p.cfg.Catalog.Load().Targets[id] == nil {
			delete(w.deposed, id)
			continue
		}
		if now.Before(x.next) {
			continue
		}
		x.next = now.Add(pursueEvery)
		go p.order(ctx, g, id, x.term)
	}
}

func (p *Promoter) order(ctx context.Context, g *groups.Group, id target.ID, term timeline.Term) {
	s, err := g.Status(ctx, id, spending.Change, fenceTimeout)
	if err != nil {
		return
	}
	switch {
	case s.Role == target.RolePrimary && s.Term < term:
		if g.Leadership.Believed().Primary == id {
			return
		}
		_, err = g.Order(ctx, id, lane.StepDownCommand(term), fenceTimeout)
	case s.Paused != 0:
		_, err = g.Order(ctx, id, lane.ResumeCommand, fenceTimeout)
	default:
		p.mu.Lock()
		delete(p.of(g.Service).deposed, id)
		p.mu.Unlock()
		return
	}
	p.cfg.Log.Info("target-pursued", zap.String("target", string(id)), zap.Stringer("role", s.Role),
		zap.Uint64("term", uint64(s.Term)), zap.Uint64("paused", uint64(s.Paused)), zap.Error(err))
}
