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

// usedFor is how long a group's servers are asked after its last request here.
const usedFor = 10 * time.Second

// Feeder asks the servers of the groups that have requests on this VM, while
// this VM is not among the group's probers. Replica reads need recent evidence
// of lag wherever they are routed; a group without requests here costs nothing.
type Feeder struct {
	Clock  clock.Clock
	Views  *view.Holder
	Links  *control.Links
	Duty   *Duty
	Router *routing.Router

	used sync.Map // group name to *atomic.Int64, a clock.Time
}

// Route implements filter.Chooser: it notes the group's use and asks Router.
func (f *Feeder) Route(v *view.View, g *view.Group, r routing.Request) routing.Decision {
	f.note(g.Name, r.Now)
	return f.Router.Route(v, g, r)
}

func (f *Feeder) note(group string, now clock.Time) {
	at, ok := f.used.Load(group)
	if !ok {
		at, _ = f.used.LoadOrStore(group, &atomic.Int64{})
	}
	at.(*atomic.Int64).Store(int64(now))
}

// Run asks every interval until ctx ends.
func (f *Feeder) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.feed(ctx)
		}
	}
}

func (f *Feeder) feed(ctx context.Context) {
	now := f.Clock.Now()
	groups := f.Views.Load().Groups
	f.used.Range(func(name, at any) bool {
		group := groups[name.(string)]
		last := clock.Time(at.(*atomic.Int64).Load())
		if group == nil || now.Sub(last) > usedFor || f.Duty.Probes(group.Name) {
			return true
		}
		for _, s := range group.Servers {
			go func() { _, _ = f.Links.Of(s).Status(ctx) }()
		}
		return true
	})
}
