package daemon

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/controller"
	"endivemoor.example/endivemoor/peer/peerpb"
)

// peerHandler implements peer.Handler.
type peerHandler struct{ d *daemon }

// OnExchange implements peer.Handler.
func (h *peerHandler) OnExchange(ctx context.Context, in *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	return h.d.exchange.OnExchange(ctx, in)
}

// OnObserve implements peer.Handler.
func (h *peerHandler) OnObserve(in *peerpb.ObserveRequest) *peerpb.ObserveReply {
	o := controller.Observer{Clock: h.d.clk, Views: h.d.views, Links: h.d.links, Evidence: h.d.evidence}
	self := &peerpb.Member{Vm: h.d.set.VM.ID, Zone: h.d.set.VM.Zone, Addr: h.d.set.Listen.Peers}
	return &peerpb.ObserveReply{Receiver: self, Observations: o.Observe(context.Background(), in.GetGroup())}
}

// OnCancel implements peer.Handler.
func (h *peerHandler) OnCancel(process uint32, secret []byte) bool {
	return h.d.callers.Cancel(context.Background(), process, secret)
}

// nodeOf returns a VM's part of the process IDs that its callers receive. It routes a cancel
// request that the balancer sends to another VM.
func nodeOf(vm string) uint16 { return uint16(xxhash.Sum64String(vm)) }

// remoteCancel forwards a cancel request to the VMs with the node part of the process ID: usually
// one, or a few if hashes collide.
func (d *daemon) remoteCancel(ctx context.Context, pid uint32, secret []byte) {
	node := uint16(pid >> 16)
	for _, vm := range d.exchange.Live() {
		if vm.ID == d.set.VM.ID || nodeOf(vm.ID) != node {
			continue
		}
		_, err := d.clients.At(vm.Addr).Cancel(ctx, &peerpb.CancelRequest{Process: pid, Secret: secret})
		d.log.Info("cancel_forwarded", zap.String("peer", vm.ID), zap.Error(err))
	}
}
