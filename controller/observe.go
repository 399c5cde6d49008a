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

// watchedWithin is how lately an ask of a server must have ended for this VM
// to answer peers from what it has. It is above two control timeouts: an ask
// that waits behind one on a frozen server ends after both.
const watchedWithin = 2*control.DefaultTimeout + 200*time.Millisecond

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

// neverGrace is how long a VM must have watched a server that never answered it
// to count as a witness of its silence.
const neverGrace = 1500 * time.Millisecond

// peerReport reads a peer's word.
//
// Failure guarded against: the daemons are replaced while the primary is dead.
// None of them has ever had an answer from it, none counts as a witness, and the
// group stays without a primary for ever. A VM that has watched in vain for
// longer than a start takes is a witness as well.
func peerReport(vm membership.VM, o *peerpb.Observation) failover.PeerReport {
	age := time.Duration(o.GetGoodAgeMs()) * time.Millisecond
	return failover.PeerReport{
		VM:       vm.ID,
		Zone:     vm.Zone,
		Server:   target.ID(o.GetServer()),
		Seen:     !o.GetNever() || age >= neverGrace,
		LastGood: age,
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

// Observe returns this VM's evidence of each of a group's servers.
//
// Failure guarded against: the primary freezes, every VM suspects it, and each
// asks its peers. Were a peer to ask the frozen server once more before it
// answers, its word would come after the question's time had passed, no two
// zones would ever agree, and the group would stay without a primary. A VM that
// watches a server therefore answers at once, with the age of what it has; only
// one that does not watch it asks first.
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
	if !o.Evidence.AskedSince(s.ID, o.Clock.Now().Add(-watchedWithin)) {
		_, _ = o.Links.Of(s).Status(ctx)
	}
	newest, ok := o.Evidence.Newest(s.ID)
	if !ok {
		return peer.Observation(group, s.ID, nil, o.Evidence.WatchedFor(s.ID, o.Clock.Now()))
	}
	return peer.Observation(group, s.ID, &newest.Status, o.Clock.Now().Sub(newest.Asked))
}
