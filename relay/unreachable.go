package relay

import (
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// UnreachablePeers returns the peers, by address, that this VM or another one recently could not
// reach, and when.
func (r *Router) UnreachablePeers() map[string]clock.Time { return r.peers.unreachablePeers() }

// RecordUnreachable records that another VM could not reach a peer at the given time.
func (r *Router) RecordUnreachable(addr string, at clock.Time) { r.peers.recordUnreachable(addr, at) }

func (p *peers) unreachablePeers() map[string]clock.Time {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]clock.Time, len(p.unreachable))
	for addr, at := range p.unreachable {
		if now.Sub(at) < suspicionTTL {
			out[addr] = at
		} else {
			delete(p.unreachable, addr)
		}
	}
	return out
}

// recordUnreachable records a peer as unreachable, unless it has replied to this VM since.
func (p *peers) recordUnreachable(addr string, at clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byAddr[addr]; known != nil && known.answered >= at {
		return
	}
	p.unreachable[addr] = max(p.unreachable[addr], at)
}

// suspected reports whether a peer was recently found unreachable.
func (p *peers) suspected(addr string) bool {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.unreachable[addr]
	return ok && now.Sub(at) < suspicionTTL
}

// suspectedLast moves the suspected gateways to the end.
//
// Failure guarded against: a gateway dies, or a partition splits the fleet, and each of hundreds of
// VMs detects it by itself, for each gateway, with a statement that waits for it. Gossip passes the
// finding of one VM to the others within a second. They still try a suspected gateway if there is
// no other: the VM that reported it may be the partitioned one. Only a connection that did not open
// is reported, because a late reply only shows that a gateway is busy.
func (p *peers) suspectedLast(vms []catalog.VM) []catalog.VM {
	var first, last []catalog.VM
	for _, vm := range vms {
		if p.suspected(vm.Peer) {
			last = append(last, vm)
		} else {
			first = append(first, vm)
		}
	}
	return append(first, last...)
}
