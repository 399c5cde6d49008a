package controller

import (
	"context"
	"sync"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/failover"
	"endivemoor.example/endivemoor/membership"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// freshEvidence is the age up to which a peer's own evidence is sent without
// asking the server again.
const freshEvidence = 150 * time.Millisecond

// AskPeers implements PeerEvidence: the group's other probers are asked at
// once. They watch its servers and are spread over the availability zones.
func (x *Exchange) AskPeers(ctx context.Context, group string, report func(failover.PeerReport)) {
	var wg sync.WaitGroup
	for _, vm := range x.duty.Probers(group) {
		if vm.ID == x.duty.self {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			x.askPeer(ctx, vm, group, report)
		}()
	}
	wg.Wait()
}

func (x *Exchange) askPeer(ctx context.Context, vm membership.VM, group string, report func(failover.PeerReport)) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	self, _ := x.members()
	reply, err := x.clients.At(vm.Addr).Observe(ctx, &peerpb.ObserveRequest{Sender: self, Group: group})
	if err != nil {
		return
	}
	for _, o := range reply.GetObservations() {
		report(peerReport(vm, o))
	}
}

func peerReport(vm membership.VM, o *peerpb.Observation) failover.PeerReport {
	return failover.PeerReport{
		VM:       vm.ID,
		Zone:     vm.Zone,
		Server:   target.ID(o.GetServer()),
		Seen:     !o.GetNever(),
		LastGood: time.Duration(o.GetGoodAgeMs()) * time.Millisecond,
		Status:   peer.Status(o),
	}
}

// Observer answers peers that ask for this VM's own evidence.
type Observer struct {
	Clock    clock.Clock
	Views    *view.Holder
	Links    *control.Links
	Evidence *Evidence
}

// Observe returns this VM's evidence of each of a group's servers. A server
// without fresh evidence is asked first, so that a peer that does not watch the
// group is a witness too.
func (o *Observer) Observe(ctx context.Context, name string) []*peerpb.Observation {
	group := o.Views.Load().Groups[name]
	if group == nil {
		return nil
	}
	out := make([]*peerpb.Observation, len(group.Servers))
	var wg sync.WaitGroup
	for i, s := range group.Servers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = o.one(ctx, name, s)
		}()
	}
	wg.Wait()
	return out
}

func (o *Observer) one(ctx context.Context, group string, s view.Server) *peerpb.Observation {
	newest, ok := o.Evidence.Newest(s.ID)
	if !ok || o.Clock.Now().Sub(newest.Asked) > freshEvidence {
		_, _ = o.Links.Of(s).Status(ctx)
		newest, ok = o.Evidence.Newest(s.ID)
	}
	if !ok {
		return peer.Observation(group, s.ID, nil, 0)
	}
	return peer.Observation(group, s.ID, &newest.Status, o.Clock.Now().Sub(newest.Asked))
}
