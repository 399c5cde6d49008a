package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/view"
)

// members returns this VM's own record and a bounded number of others.
func (x *Exchange) members() (*peerpb.Member, []*peerpb.Member) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var others []*peerpb.Member
	for _, r := range x.machine.Records(x.clk.Now()) {
		others = append(others, x.fleet.said(memberMessage(r)))
	}
	self := memberMessage(x.machine.Self())
	self.Said = &peerpb.Said{Generation: uint64(x.config.Current().Generation)}
	return self, others
}

func memberMessage(r membership.Record) *peerpb.Member {
	return &peerpb.Member{
		Vm:          r.VM.ID,
		Zone:        r.VM.Zone,
		Addr:        r.VM.Addr,
		Incarnation: r.Incarnation,
		HeardMs:     uint64(max(r.HeardAge, 0).Milliseconds()),
		Leaving:     r.Leaving,
	}
}

func record(m *peerpb.Member) membership.Record {
	return membership.Record{
		VM:          membership.VM{ID: m.GetVm(), Zone: m.GetZone(), Addr: m.GetAddr()},
		Incarnation: m.GetIncarnation(),
		HeardAge:    time.Duration(m.GetHeardMs()) * time.Millisecond,
		Leaving:     m.GetLeaving(),
	}
}

func (x *Exchange) takeMembers(ctx context.Context, from *peerpb.Member, others []*peerpb.Member) {
	if from.GetVm() == "" {
		return
	}
	ev := membership.Exchanged{From: record(from)}
	x.fleet.Hear(from)
	for _, m := range others {
		x.fleet.Hear(m)
		ev.Others = append(ev.Others, record(m))
	}
	x.step(ctx, ev)
}

// news returns the groups that changed lately and one more in turn, so that an
// exchange stays small however many groups there are, and a lost piece of news
// still gets around.
func (x *Exchange) news() []*peerpb.GroupState {
	groups := x.views.Load().Groups
	names := slices.Sorted(maps.Keys(groups))
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clk.Now()
	var out []*peerpb.GroupState
	for _, name := range names {
		if x.isNews(groups[name], now) {
			out = append(out, peer.GroupState(groups[name]))
		}
	}
	if len(names) > len(out) {
		x.turn = (x.turn + 1) % len(names)
		out = append(out, peer.GroupState(groups[names[x.turn]]))
	}
	return out
}

func (x *Exchange) isNews(g *view.Group, now clock.Time) bool {
	if x.terms[g.Name] != g.Term {
		x.terms[g.Name] = g.Term
		x.changed[g.Name] = now
	}
	return now.Sub(x.changed[g.Name]) < newsFor
}

// answerGroups returns all groups to a VM that has just started, also while
// the store is down, and the news to others.
func (x *Exchange) answerGroups(in *peerpb.ExchangeRequest) []*peerpb.GroupState {
	if !in.GetWantGroups() {
		return x.news()
	}
	var out []*peerpb.GroupState
	for _, g := range x.views.Load().Groups {
		out = append(out, peer.GroupState(g))
	}
	return out
}
