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

// recentQueryPeriod is how recently a status query to a server must have ended for this VM to
// answer peers from its evidence. It exceeds two control timeouts: a query that waits behind
// another one to a frozen server ends after both.
const recentQueryPeriod = 2*control.DefaultTimeout + 200*time.Millisecond

// QueryPeers implements PeerEvidence: it queries the group's other probers concurrently. They poll
// the group's servers and are spread over the availability zones.
func (x *Exchange) QueryPeers(ctx context.Context, group string, report func(failover.PeerReport)) {
	var wg sync.WaitGroup
	for _, vm := range x.assignment.Probers(group) {
		if vm.ID == x.assignment.self {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			x.queryPeer(ctx, vm, group, report)
		}()
	}
	wg.Wait()
}

func (x *Exchange) queryPeer(ctx context.Context, vm membership.VM, group string, report func(failover.PeerReport)) {
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

// minWitnessWatch is how long a VM must have polled a server without any reply to count as a
// witness that the server is unresponsive.
const minWitnessWatch = 1500 * time.Millisecond

// peerReport converts an observation of a peer.
//
// Failure guarded against: the daemons are replaced while the primary is dead. None of them has
// ever received a reply from the primary, so none counts as a witness, and the group stays without
// a primary. Therefore a VM that has polled without a reply for longer than the daemons take to
// start is a witness as well.
func peerReport(vm membership.VM, o *peerpb.Observation) failover.PeerReport {
	age := time.Duration(o.GetGoodAgeMs()) * time.Millisecond
	return failover.PeerReport{
		VM:       vm.ID,
		Zone:     vm.Zone,
		Server:   target.ID(o.GetServer()),
		Seen:     !o.GetNever() || age >= minWitnessWatch,
		LastGood: age,
		Status:   peer.Status(o),
	}
}

// Observer answers peers that query this VM for its own evidence.
type Observer struct {
	Clock    clock.Clock
	Views    *view.Holder
	Links    *control.Links
	Evidence *Evidence
}

// Observe returns this VM's evidence of each server of a group.
//
// Failure guarded against: the primary freezes, every VM suspects it, and each queries its peers.
// If a peer queried the frozen server once more before it replies, its reply would arrive after
// the timeout of the request, no two zones would ever agree, and the group would stay without a
// primary. A VM that polls a server therefore replies at once with the age of its evidence; only a
// VM that does not poll the server queries it first.
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
			out[i] = o.observe(ctx, name, s)
		}()
	}
	wg.Wait()
	return out
}

func (o *Observer) observe(ctx context.Context, group string, s view.Server) *peerpb.Observation {
	if !o.Evidence.QueriedSince(s.ID, o.Clock.Now().Add(-recentQueryPeriod)) {
		_, _ = o.Links.Of(s).Status(ctx)
	}
	newest, ok := o.Evidence.Newest(s.ID)
	if !ok {
		return peer.Observation(group, s.ID, nil, o.Evidence.WatchedFor(s.ID, o.Clock.Now()))
	}
	return peer.Observation(group, s.ID, &newest.Status, o.Clock.Now().Sub(newest.Asked))
}
