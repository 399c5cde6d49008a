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
	// dialTimeout bounds opening a connection to a gateway, which is at most a
	// few milliseconds away.
	dialTimeout = 150 * time.Millisecond
	// silenceLasts is how long a peer that was found silent is doubted.
	silenceLasts = 1500 * time.Millisecond
	// callSlack is how much longer than the gateway itself its answer is waited
	// for: the way there and back, and the gateway's own turn on a small VM. It is
	// taken off the time that the gateway gets.
	callSlack = 40 * time.Millisecond
	// maxIdle and idleTimeout bound the connections kept to one gateway.
	maxIdle     = 8
	idleTimeout = 20 * time.Second
	// firstPause and maxPause are how long a gateway that did not answer is left
	// alone before it is tried again, at first and after it failed again and again.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
)

var (
	// errDeclined says that the VM does not serve as a gateway to the target.
	errDeclined = errors.New("the gateway has declined")
	// errUnreached says that the gateway could not be reached: nothing was sent.
	errUnreached = errors.New("the gateway could not be reached")
)

// peers calls gateways. It is safe for concurrent use.
type peers struct {
	http *http.Client
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	clk  clock.Clock

	mu sync.Mutex
	at map[string]*peer // by address
	// heard are the latest silences of peers, by address, as this VM and others found.
	heard map[string]clock.Time
}

// peer is one gateway as this VM knows it.
type peer struct {
	relaypb.Relay
	addr string
	// failures counts the calls in a row that were not answered.
	failures int
	// resting is set from such a call until a connection has opened again, which is
	// tried from until on.
	resting  bool
	probing  bool
	until    clock.Time
	answered clock.Time
	check    *check // under way; nil if there is none
}

func newPeers(dial func(ctx context.Context, network, addr string) (net.Conn, error), clk clock.Clock) *peers {
	p := &peers{dial: dial, clk: clk, at: make(map[string]*peer), heard: make(map[string]clock.Time)}
	transport := &http.Transport{DialContext: p.connect, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true}
	p.http = &http.Client{Transport: terse.Transport{RoundTripper: transport}}
	return p
}

// connect opens a connection.
func (p *peers) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.dial(ctx, network, addr)
}

func (p *peers) get(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at[addr] == nil {
		p.at[addr] = &peer{Relay: relaypb.NewRelayProtobufClient("http://"+addr, p.http), addr: addr}
	}
	return p.at[addr]
}

// keep forgets the peers whose address is not among those given.
func (p *peers) keep(addrs map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.at {
		if !addrs[addr] {
			delete(p.at, addr)
		}
	}
	for addr := range p.heard {
		if !addrs[addr] {
			delete(p.heard, addr)
		}
	}
}

// rests reports whether a gateway is left alone. Once its pause is over it is tried
// again by a connection of its own, and rests until that has opened.
//
// Failure guarded against: a gateway is dead or cut off for seconds, and each VM pays for
// finding out, again and again, with a statement of a consumer's.
func (p *peers) rests(addr string) bool {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.at[addr]
	if at == nil || !at.resting {
		return false
	}
	if !now.Before(at.until) && !at.probing {
		at.probing = true
		go p.probe(at)
	}
	return true
}

// probe tries to connect to a peer that rests.
func (p *peers) probe(at *peer) {
	reached := p.opens(at.addr, dialTimeout)
	p.mu.Lock()
	at.probing = false
	at.resting = !reached
	p.mu.Unlock()
	if !reached {
		p.note(at, false)
		p.heardSilent(at.addr, p.clk.Now())
	}
}

func (p *peers) note(at *peer, answered bool) {
	now := p.clk.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		at.failures, at.resting, at.until, at.answered = 0, false, 0, now
		delete(p.heard, at.addr)
		return
	}
	if now.Before(at.until) {
		return
	}
	at.resting = true
	at.until = now.Add(min(firstPause<<min(at.failures, 8), maxPause))
	at.failures++
}

// call makes one call to a gateway. The error is errUnreached if nothing was
// sent, and a *dispatch.LostError if no answer came.
//
// Failure guarded against: a write that is sent to a second gateway though the
// first one has run it. A connection that was obtained may have carried the
// request, so that only a call which never got one counts as not sent; and the
// HTTP client repeats no request of its own accord once a part of it was written.
//
// A call that may be repeated is given up once the gateway cannot be reached any more.
//
// Failure guarded against: a caller leaves before its call's time is over, because
// another way was quicker or its statement's time has ended, and the gateway is taken for
// silent. Statements go past it to the target, the more so the busier all are.
func (p *peers) call(caller context.Context, vm catalog.VM, timeout time.Duration, repeatable bool, do func(ctx context.Context, to relaypb.Relay) error) error {
	at := p.get(vm.Peer)
	begun := p.clk.Now()
	var connected atomic.Bool
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	if repeatable {
		guarded, give := context.WithCancelCause(ctx)
		defer give(nil)
		ctx = guarded
		end := p.guard(at, give)
		defer end()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	err := do(ctx, at.Relay)
	var answered twirp.Error
	if errors.As(err, &answered) && answered.Code() == twirp.BadRoute {
		return errDeclined
	}
	if left := caller.Err() != nil && p.clk.Now().Sub(begun) < timeout-callSlack; err == nil || !left {
		p.note(at, err == nil)
	}
	switch {
	case err == nil:
		return nil
	case !connected.Load():
		if caller.Err() == nil {
			p.heardSilent(vm.Peer, p.clk.Now())
		}
		return errors.WithMessage(errUnreached, err.Error())
	default:
		return &dispatch.LostError{Gateway: vm.ID, Cause: err}
	}
}
