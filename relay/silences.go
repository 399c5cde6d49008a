package relay

import (
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// Silences are the peers, by address, that this VM or another could not reach lately,
// and when that was.
func (r *Router) Silences() map[string]clock.Time { return r.peers.silences() }

// HeardSilent records that another VM could not reach a peer at a moment.
func (r *Router) HeardSilent(addr string, at clock.Time) { r.peers.heardSilent(addr, at) }

func (p *peers) silences() map[string]clock.Time {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]clock.Time, len(p.heard))
	for addr, at := range p.heard {
		if now.Sub(at) < silenceLasts {
			out[addr] = at
		} else {
			delete(p.heard, addr)
		}
	}
	return out
}

// heardSilent takes over a silence, unless the peer has answered this VM since.
func (p *peers) heardSilent(addr string, at clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.at[addr]; known != nil && known.answered >= at {
		return
	}
	p.heard[addr] = max(p.heard[addr], at)
}

// doubted reports whether a peer was found silent lately.
func (p *peers) doubted(addr string) bool {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.heard[addr]
	return ok && now.Sub(at) < silenceLasts
}

// trusted puts the gateways first that nobody found silent lately.
//
// Failure guarded against: a gateway dies, or a partition cuts the fleet in two, and
// each of hundreds of VMs finds out by itself, for each gateway and with a statement that
// waits for it. What one VM has found the others hear within a second. They still try a
// doubted gateway if there is no other: it may be the first VM that was cut off. Only a
// connection that did not open is told, for an answer that is late says that a gateway
// has much to do.
func (p *peers) trusted(vms []catalog.VM) []catalog.VM {
	var first, last []catalog.VM
	for _, vm := range vms {
		if p.doubted(vm.Peer) {
			last = append(last, vm)
		} else {
			first = append(first, vm)
		}
	}
	return append(first, last...)
}
