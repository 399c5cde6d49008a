package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/relay/relaypb"
)

// A VM learns from others that a gateway is unreachable. It tries the other gateway first until the
// suspicion expires, and ignores a report that is older than the gateway's last reply to it.
func TestSuspectedGatewaysAreTriedLast(t *testing.T) {
	clk := &manualClock{now: clock.Time(time.Minute)}
	p := newPeers(nil, clk)
	a, b := catalog.VM{ID: "a", Peer: "10.0.0.1:1"}, catalog.VM{ID: "b", Peer: "10.0.0.2:1"}
	p.recordUnreachable(a.Peer, clk.now)
	require.Equal(t, []catalog.VM{b, a}, p.suspectedLast([]catalog.VM{a, b}))
	require.Equal(t, map[string]clock.Time{a.Peer: clk.now}, p.unreachablePeers())
	p.recordUnreachable(b.Peer, clk.now)
	require.Equal(t, []catalog.VM{a, b}, p.suspectedLast([]catalog.VM{a, b}), "both are still tried")

	clk.now = clk.now.Add(time.Millisecond)
	p.recordResult(p.get(a.Peer), true)
	p.recordUnreachable(a.Peer, clk.now.Add(-time.Millisecond))
	require.False(t, p.suspected(a.Peer), "it has replied since")
	p.recordUnreachable(a.Peer, clk.now.Add(time.Millisecond))
	require.True(t, p.suspected(a.Peer))

	clk.now = clk.now.Add(suspicionTTL + time.Millisecond)
	require.False(t, p.suspected(a.Peer))
	require.Empty(t, p.unreachablePeers())
	p.retain(map[string]bool{})
	require.Empty(t, p.unreachable)
}

// A gateway is dead for two seconds. It is probed by connections, and gets no statement until one
// has opened. The backoff of a gateway that accepts connections but does not reply grows with each
// failure.
func TestGatewayInBackoffGetsNoStatement(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dead := true
		p := newPeers(func(context.Context, string, string) (net.Conn, error) {
			if dead {
				return nil, errors.New("unreachable")
			}
			client, server := net.Pipe()
			_ = server.Close()
			return client, nil
		}, monotonic.New())
		at := p.get("10.0.0.1:1")
		p.recordResult(at, false)
		for range 20 {
			require.True(t, p.inBackoff(at.addr))
			time.Sleep(100 * time.Millisecond)
		}
		dead = false
		for range 20 {
			p.inBackoff(at.addr)
			time.Sleep(100 * time.Millisecond)
		}
		require.False(t, p.inBackoff(at.addr))
		failures := at.failures
		require.Positive(t, failures)
		p.recordResult(at, false)
		require.True(t, p.inBackoff(at.addr))
		require.Greater(t, at.failures, failures)
		p.recordResult(at, true)
		require.Zero(t, at.failures)
	})
}

// Failure guarded against: a VM cancels a call to a gateway early, because it got a proof elsewhere
// first or the statement's deadline passed. That does not show that the gateway is unresponsive; if
// it went into backoff, the next statements would open connections to the target. Only a call that
// ran into its timeout shows it.
func TestCanceledCallCausesNoBackoff(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPeers(nil, monotonic.New())
		vm := catalog.VM{ID: "g", Peer: "10.0.0.1:1"}
		unresponsive := func(ctx context.Context, _ relaypb.Relay) error {
			<-ctx.Done()
			return ctx.Err()
		}
		caller, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		require.Error(t, p.call(caller, vm, 300*time.Millisecond, false, unresponsive))
		require.False(t, p.inBackoff(vm.Peer))
		require.False(t, p.suspected(vm.Peer))
		require.Error(t, p.call(context.Background(), vm, 300*time.Millisecond, false, unresponsive))
		require.True(t, p.inBackoff(vm.Peer))
		time.Sleep(time.Second)
	})
}
