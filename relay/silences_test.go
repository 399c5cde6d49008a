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

// A VM hears from others that a gateway is silent. It tries the other one first, for a
// while, and goes by its own experience where that is newer.
func TestDoubtedGatewaysAreTriedLast(t *testing.T) {
	clk := &steps{now: clock.Time(time.Minute)}
	p := newPeers(nil, clk)
	a, b := catalog.VM{ID: "a", Peer: "10.0.0.1:1"}, catalog.VM{ID: "b", Peer: "10.0.0.2:1"}
	p.heardSilent(a.Peer, clk.now)
	require.Equal(t, []catalog.VM{b, a}, p.trusted([]catalog.VM{a, b}))
	require.Equal(t, map[string]clock.Time{a.Peer: clk.now}, p.silences())
	p.heardSilent(b.Peer, clk.now)
	require.Equal(t, []catalog.VM{a, b}, p.trusted([]catalog.VM{a, b}), "both are tried all the same")

	clk.now = clk.now.Add(time.Millisecond)
	p.note(p.get(a.Peer), true)
	p.heardSilent(a.Peer, clk.now.Add(-time.Millisecond))
	require.False(t, p.doubted(a.Peer), "it has answered since")
	p.heardSilent(a.Peer, clk.now.Add(time.Millisecond))
	require.True(t, p.doubted(a.Peer))

	clk.now = clk.now.Add(silenceLasts + time.Millisecond)
	require.False(t, p.doubted(a.Peer))
	require.Empty(t, p.silences())
	p.keep(map[string]bool{})
	require.Empty(t, p.heard)
}

// A gateway is dead for two seconds. It is tried by connections, and gets no statement
// before one has opened; one that accepts connections and answers nothing is left alone
// for longer each time.
func TestRestingGatewayGetsNoStatement(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dead := true
		p := newPeers(func(context.Context, string, string) (net.Conn, error) {
			if dead {
				return nil, errors.New("unreachable")
			}
			here, there := net.Pipe()
			_ = there.Close()
			return here, nil
		}, monotonic.New())
		at := p.get("10.0.0.1:1")
		p.note(at, false)
		for range 20 {
			require.True(t, p.rests(at.addr))
			time.Sleep(100 * time.Millisecond)
		}
		dead = false
		for range 20 {
			p.rests(at.addr)
			time.Sleep(100 * time.Millisecond)
		}
		require.False(t, p.rests(at.addr))
		failures := at.failures
		require.Positive(t, failures)
		p.note(at, false)
		require.True(t, p.rests(at.addr))
		require.Greater(t, at.failures, failures)
		p.note(at, true)
		require.Zero(t, at.failures)
	})
}

// A VM asks a gateway for a proof and gets one elsewhere first, or its statement's time
// is over. Nothing shows that the gateway does not answer: were it left alone, the next
// statements would open connections to the target. A call that has had its whole time
// shows it.
func TestWhoLeavesEarlyBlamesNoGateway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPeers(nil, monotonic.New())
		vm := catalog.VM{ID: "g", Peer: "10.0.0.1:1"}
		silent := func(ctx context.Context, _ relaypb.Relay) error {
			<-ctx.Done()
			return ctx.Err()
		}
		caller, leave := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer leave()
		require.Error(t, p.call(caller, vm, 300*time.Millisecond, false, silent))
		require.False(t, p.rests(vm.Peer))
		require.False(t, p.doubted(vm.Peer))
		require.Error(t, p.call(context.Background(), vm, 300*time.Millisecond, false, silent))
		require.True(t, p.rests(vm.Peer))
		time.Sleep(time.Second)
	})
}
