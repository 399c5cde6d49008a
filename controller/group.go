package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// eventBacklog is how many events of a group can be queued. Events beyond it are dropped: each one
// is repeated or superseded by a later one.
const eventBacklog = 1024

// PeerEvidence queries other VMs for their evidence of a group's servers. QueryPeers calls report
// once for each server that a peer reports on, and returns when every peer has replied or failed.
type PeerEvidence interface {
	QueryPeers(ctx context.Context, group string, report func(failover.PeerReport))
	// Relay sends the newest state of this VM to some peers at once.
	Relay()
}

// Recorder records the fleet's own acts for the audit trail and for explain.
type Recorder interface {
	RecordAct(e failover.Entry)
}

// Deps holds the dependencies that all group controllers share.
type Deps struct {
	Clock    clock.Clock
	Views    *view.Holder
	Links    *control.Links
	Store    store.Store
	Peers    PeerEvidence
	Recorder Recorder
	Log      *zap.Logger
}

// Group is the controller of one database group on this VM.
type Group struct {
	Deps
	name    string
	tick    time.Duration
	machine *failover.Machine
	events  chan failover.Event
	dropped func()
}

// NewGroup returns the controller of the group. It calls dropped for every event that does not fit
// into the backlog.
func NewGroup(d Deps, group *view.Group, cfg failover.Config, rng *rand.Rand, dropped func()) *Group {
	return &Group{
		Deps:    d,
		name:    group.Name,
		tick:    cfg.Tick,
		machine: failover.New(cfg, group.Name, rng),
		events:  make(chan failover.Event, eventBacklog),
		dropped: dropped,
	}
}

// Post queues an event, or drops it if the backlog is full. It never blocks.
func (g *Group) Post(ev failover.Event) {
	select {
	case g.events <- ev:
	default:
		g.dropped()
	}
}

// Run steps the machine until ctx ends. It is the only goroutine that uses the machine.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.step(ctx, failover.Tick{})
		case ev := <-g.events:
			g.step(ctx, ev)
		}
	}
}

func (g *Group) step(ctx context.Context, ev failover.Event) {
	for _, a := range g.machine.Step(g.Clock.Now(), ev) {
		g.execute(ctx, a)
	}
}

// execute starts an action. Actions that wait for a reply run in goroutines of their own, so that
// a frozen server or a slow store does not delay the ticks of the machine.
func (g *Group) execute(ctx context.Context, action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		go g.probe(ctx, a)
	case failover.QueryPeers:
		go g.Peers.QueryPeers(ctx, g.name, func(r failover.PeerReport) { r.Asked = a.Asked; g.Post(r) })
	case failover.ReadLease:
		go g.readLease(ctx, a)
	case failover.RenewLease:
		go g.renewLease(ctx, a)
	case failover.ReadGroup:
		go g.readGroup(ctx)
	case failover.Reserve:
		go g.reserve(ctx, a)
	case failover.Publish:
		go g.publish(ctx, a)
	case failover.Fence:
		go g.fence(a)
	case failover.Promote:
		go g.promote(a)
	case failover.Follow:
		go g.follow(a)
	case failover.Announce:
		g.announce(a)
	case failover.Record:
		g.Recorder.RecordAct(a.Entry)
	default:
		g.Log.Error("unknown_action", zap.String("group", g.name))
	}
}

func (g *Group) announce(a failover.Announce) {
	group := a.Group
	g.Views.Adopt(&group)
	g.Peers.Relay()
}

// link returns the control connection to a server of the group, or nil if the current view does
// not contain the server.
func (g *Group) link(id target.ID) *control.Link {
	group := g.Views.Load().Groups[g.name]
	if group == nil {
		return nil
	}
	s := group.Server(id)
	if s == nil {
		return nil
	}
	return g.Links.Of(*s)
}

func (g *Group) probe(ctx context.Context, a failover.Probe) {
	l := g.link(a.Server)
	if l == nil {
		g.Post(failover.ProbeFailed(a))
		return
	}
	answer, err := l.Status(ctx)
	if err != nil {
		g.Post(failover.ProbeFailed(a))
		return
	}
	g.Post(failover.ProbeAnswered{Server: a.Server, Asked: answer.Asked, Status: answer.Status})
}

func (g *Group) fence(a failover.Fence) {
	st, err := g.sendCommand(a.Server, func(l *control.Link) (target.Status, error) { return l.Fence(a.Term) })
	g.Post(failover.FenceAnswered{Server: a.Server, Term: a.Term, Status: st, Err: err})
}

func (g *Group) promote(a failover.Promote) {
	st, err := g.sendCommand(a.Server, func(l *control.Link) (target.Status, error) { return l.Promote(a.Term) })
	g.Post(failover.PromoteAnswered{Server: a.Server, Term: a.Term, Status: st, Err: err})
}

func (g *Group) sendCommand(id target.ID, command func(*control.Link) (target.Status, error)) (target.Status, error) {
	l := g.link(id)
	if l == nil {
		return target.Status{}, errNoServer
	}
	return command(l)
}

func (g *Group) follow(a failover.Follow) {
	l := g.link(a.Server)
	if l == nil {
		g.Post(failover.FollowAnswered{Server: a.Server, Term: a.Term, Err: errNoServer})
		return
	}
	discarded, err := l.Follow(a.Addr, a.Term)
	g.logFollow(a.Server, a.Term, len(discarded), err)
	g.Post(failover.FollowAnswered{Server: a.Server, Term: a.Term, Discarded: discarded, Err: err})
}

func (g *Group) logFollow(id target.ID, term timeline.Term, discarded int, err error) {
	g.Log.Info("follow_ordered",
		zap.String("group", g.name),
		zap.String("server", string(id)),
		zap.Uint64("term", uint64(term)),
		zap.Int("discarded", discarded),
		zap.Error(err))
}
