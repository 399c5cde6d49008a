package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/relay/relaypb"
)

const (
	// dialTimeout bounds opening a connection to a gateway, which is at most a few milliseconds
	// away.
	dialTimeout = 150 * time.Millisecond
	// suspicionTTL is how long a peer is suspected after it was found unreachable.
	suspicionTTL = 1500 * time.Millisecond
	// callSlack is how much longer this VM waits for a reply than the gateway may take: it covers
	// the network round trip and the scheduling delay of the gateway on a small VM. It is
	// subtracted from the time that the gateway gets.
	callSlack = 40 * time.Millisecond
	// maxIdle and idleTimeout bound the connections kept to one gateway.
	maxIdle     = 8
	idleTimeout = 20 * time.Second
	// minBackoff and maxBackoff bound how long a gateway that did not reply is in backoff. The
	// backoff doubles with each consecutive failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

var (
	// errDeclined reports that the VM does not serve as a gateway to the target.
	errDeclined = errors.New("the gateway has declined")
	// errUnreached reports that the gateway could not be reached: nothing was sent.
	errUnreached = errors.New("the gateway could not be reached")
)

// peers calls gateways. It is safe for concurrent use.
type peers struct {
	http *http.Client
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	clk  clock.Clock

	mu     sync.Mutex
	byAddr map[string]*peer
	// unreachable is when this VM or another one last found a peer unreachable, by address.
	unreachable map[string]clock.Time
}

// peer is the state of one gateway as this VM observes it.
type peer struct {
	relaypb.Relay
	addr string
	// failures counts the consecutive calls without a reply.
	failures int
	// backingOff is set from such a call until a connection opens again. The first probe is due at
	// retryAt.
	backingOff bool
	probing    bool
	retryAt    clock.Time
	answered   clock.Time
	check      *check // in flight; nil if there is none
}

func newPeers(dial func(ctx context.Context, network, addr string) (net.Conn, error), clk clock.Clock) *peers {
	p := &peers{dial: dial, clk: clk, byAddr: make(map[string]*peer), unreachable: make(map[string]clock.Time)}
	transport := &http.Transport{DialContext: p.connect, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true}
	p.http = &http.Client{Transport: terse.Transport{RoundTripper: transport}}
	return p
}

func (p *peers) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.dial(ctx, network, addr)
}

func (p *peers) get(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddr[addr] == nil {
		p.byAddr[addr] = &peer{Relay: relaypb.NewRelayProtobufClient("http://"+addr, p.http), addr: addr}
	}
	return p.byAddr[addr]
}

// retain drops the peers whose address is not in addrs.
func (p *peers) retain(addrs map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.byAddr {
		if !addrs[addr] {
			delete(p.byAddr, addr)
		}
	}
	for addr := range p.unreachable {
		if !addrs[addr] {
			delete(p.unreachable, addr)
		}
	}
}

// inBackoff reports whether a gateway is in backoff. Once the backoff time is over, a separate
// connection probes the gateway, which stays in backoff until a probe succeeds.
//
// Failure guarded against: a gateway is dead or partitioned for seconds, and each VM repeatedly
// loses a consumer's statement to detect it.
func (p *peers) inBackoff(addr string) bool {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.byAddr[addr]
	if at == nil || !at.backingOff {
		return false
	}
	if !now.Before(at.retryAt) && !at.probing {
		at.probing = true
		go p.probe(at)
	}
	return true
}

// probe tries to connect to a peer that is in backoff.
func (p *peers) probe(at *peer) {
	reached := p.opens(at.addr, dialTimeout)
	p.mu.Lock()
	at.probing = false
	at.backingOff = !reached
	p.mu.Unlock()
	if !reached {
		p.recordResult(at, false)
		p.recordUnreachable(at.addr, p.clk.Now())
	}
}

// recordResult records whether a call to a peer, or a probe of it, succeeded.
func (p *peers) recordResult(at *peer, answered bool) {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		at.failures, at.backingOff, at.retryAt, at.answered = 0, false, 0, now
		delete(p.unreachable, at.addr)
		return
	}
	if now.Before(at.retryAt) {
		return
	}
	at.backingOff = true
	at.retryAt = now.Add(min(minBackoff<<min(at.failures, 8), maxBackoff))
	at.failures++
}

// call makes one call to a gateway. The error is errUnreached if nothing was sent, errDeclined if
// the gateway does not serve the call, and a *dispatch.LostError if no reply arrived.
//
// Failure guarded against: a write is sent to a second gateway though the first one has run it. A
// connection, once obtained, may have carried the request, so that only a call that never got a
// connection counts as not sent. The HTTP client does not repeat a request by itself once a part of
// it was written.
//
// A repeatable call is canceled once the gateway is unreachable.
//
// Failure guarded against: a caller cancels its call before the timeout, because another path was
// faster or the statement's deadline has passed, and the gateway is considered unresponsive. The
// next statements bypass the gateway and go to the target, and the more so under higher load.
func (p *peers) call(caller context.Context, vm catalog.VM, timeout time.Duration, repeatable bool, do func(ctx context.Context, to relaypb.Relay) error) error {
	at := p.get(vm.Peer)
	begun := p.clk.Now()
	var connected atomic.Bool
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	if repeatable {
		guarded, abort := context.WithCancelCause(ctx)
		defer abort(nil)
		ctx = guarded
		end := p.cancelIfLost(at, abort)
		defer end()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	err := do(ctx, at.Relay)
	var answered twirp.Error
	if errors.As(err, &answered) && answered.Code() == twirp.BadRoute {
		return errDeclined
	}
	if canceled := caller.Err() != nil && p.clk.Now().Sub(begun) < timeout-callSlack; err == nil || !canceled {
		p.recordResult(at, err == nil)
	}
	switch {
	case err == nil:
		return nil
	case !connected.Load():
		if caller.Err() == nil {
			p.recordUnreachable(vm.Peer, p.clk.Now())
		}
		return errors.WithMessage(errUnreached, err.Error())
	default:
		return &dispatch.LostError{Gateway: vm.ID, Cause: err}
	}
}
