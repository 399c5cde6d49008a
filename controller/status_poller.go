package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/routing"
	"endivemoor.example/endivemoor/view"
)

// pollAfterRequest is how long a group's servers are polled after the last request for the group
// on this VM.
const pollAfterRequest = 10 * time.Second

// StatusPoller polls the status of the servers of groups that have requests on this VM while this
// VM is not one of the group's probers. Replica reads need recent evidence of the replicas' lag on
// every VM that routes them. A group without requests on this VM is not polled.
type StatusPoller struct {
	Clock      clock.Clock
	Views      *view.Holder
	Links      *control.Links
	Assignment *Assignment
	Router     *routing.Router

	lastRequest sync.Map // group name to *atomic.Int64, a clock.Time
}

// Route implements filter.Chooser: it records that the group is in use and delegates to Router.
func (p *StatusPoller) Route(v *view.View, g *view.Group, r routing.Request) routing.Decision {
	p.recordRequest(g.Name, r.Now)
	return p.Router.Route(v, g, r)
}

func (p *StatusPoller) recordRequest(group string, now clock.Time) {
	at, ok := p.lastRequest.Load(group)
	if !ok {
		at, _ = p.lastRequest.LoadOrStore(group, &atomic.Int64{})
	}
	at.(*atomic.Int64).Store(int64(now))
}

// Run polls at the given interval until ctx ends.
func (p *StatusPoller) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.poll(ctx)
		}
	}
}

func (p *StatusPoller) poll(ctx context.Context) {
	now := p.Clock.Now()
	groups := p.Views.Load().Groups
	p.lastRequest.Range(func(name, at any) bool {
		group := groups[name.(string)]
		last := clock.Time(at.(*atomic.Int64).Load())
		if group == nil || now.Sub(last) > pollAfterRequest || p.Assignment.Probes(group.Name) {
			return true
		}
		for _, s := range group.Servers {
			go func() { _, _ = p.Links.Of(s).Status(ctx) }()
		}
		return true
	})
}
