package lane

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// gatewayShare is the share of each of two gateways to a target with 4 slots that accepts
// gatewayConnLimit connections, where requests belong to workspaces.
var gatewayShare = gateways.Share{MaxOpen: 25, MaxIdle: 20, MaxRunning: 5, PerWorkspace: true}

const gatewayConnLimit = 56

// gatewayLoad is the load of a gateway: half of what two of the target's slots serve, of 40 workspaces.
var gatewayLoad = load{interval: 25 * time.Millisecond, workspaces: 40}

// Failure guarded against: there are more workspaces than connections, the connection idle for
// longest is closed, and a workspace that sends a request every second opens one each time.
func TestConnectionsOfBusyWorkspacesAreRetained(t *testing.T) {
	opened := func(share gateways.Share) float64 {
		d := &dialer{limit: gatewayConnLimit}
		sent, served := driveFleet(d, 2, share, gatewayLoad, 1, 30*time.Second)
		require.Greater(t, float64(served)/float64(sent), 0.99)
		_, dials := d.links()
		return float64(dials) / float64(sent)
	}
	bubble.Test(t, func(t *testing.T) {
		by := gatewayShare
		by.PerWorkspace = false
		before, now := opened(by), opened(gatewayShare)
		t.Logf("by idle time %.3f openings a request, by use %.3f", before, now)
		require.Less(t, now, 0.75*before)
	})
}

// Failure guarded against: both gateways of a target restart at once, the target still holds the
// connections that they had retained, and the first of the new ones takes the remaining ones.
func TestRestartedGatewaysFindConnections(t *testing.T) {
	for _, seed := range []uint64{1, 51} {
		bubble.Test(t, func(t *testing.T) {
			d := &dialer{limit: gatewayConnLimit}
			driveFleet(d, 2, gatewayShare, gatewayLoad, seed, 6*time.Second)
			sent, served := driveFleet(d, 2, gatewayShare, gatewayLoad, seed+1, 2*time.Second)
			t.Logf("%d of %d", served, sent)
			require.Greater(t, float64(served)/float64(sent), 0.75, "three of four, as in a fleet without workspaces")
		})
	}
}

// Failure guarded against: a target refuses one connection for a moment, and a gateway that has served
// for long closes all that it retains for its workspaces.
func TestOneRefusalCostsNoRetainedConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: gatewayConnLimit}
		l := newLane("x", d.dial, monotonic.New(), gatewayShare)
		drive(l, gatewayLoad, rand.New(rand.NewPCG(1, 1)), 10*time.Second)
		l.mu.Lock()
		l.refusedUntil, l.refusedOpen = l.clk.Now().Add(refusedPause), l.open
		l.mu.Unlock()
		for range 10 {
			time.Sleep(MaintainInterval)
			l.maintain()
		}
		require.GreaterOrEqual(t, l.Load().Open, gatewayShare.MaxIdle)
	})
}

// Failure guarded against: a gateway is killed, the other one has retained its connections for its
// own workspaces, and the requests of those that it takes over wait until they time out.
func TestRemainingGatewayServesTheOthersWorkspaces(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: gatewayConnLimit}
		remaining, killed := newLane("x", d.dial, monotonic.New(), gatewayShare), newLane("x", d.dial, monotonic.New(), gatewayShare)
		drive(killed, gatewayLoad, rand.New(rand.NewPCG(1, 1)), 6*time.Second)
		drive(remaining, gatewayLoad, rand.New(rand.NewPCG(1, 2)), 6*time.Second)
		both := load{interval: gatewayLoad.interval / 2, workspaces: 2 * gatewayLoad.workspaces}
		sent, served := drive(remaining, both, rand.New(rand.NewPCG(2, 2)), 2*time.Second)
		require.Greater(t, float64(served)/float64(sent), 0.99)
	})
}

// Failure guarded against: the second connection of a busy workspace, which it no longer needs, is
// retained instead of the only one of another.
func TestUnneededConnectionOfBusyWorkspaceIsClosedFirst(t *testing.T) {
	var u usage
	for range 10 {
		u.used(0, "busy", 0)
	}
	u.used(0, "other", 0)
	require.Less(t, u.ofLast(1, "busy", 2), u.ofLast(1, "other", 1))
	require.Greater(t, u.ofLast(1, "busy", 1), u.ofLast(1, "other", 1))
}

// Failure guarded against: the names of workspaces that have left accumulate in a lane.
func TestUseIsForgotten(t *testing.T) {
	var u usage
	for i := range 3 * maxUseRecords {
		u.used(0, string(rune(i)), 0)
	}
	require.Len(t, u.records, maxUseRecords)
	u.forget(clock.Time(2*useDecay), nil)
	require.Len(t, u.records, maxUseRecords)
	u.forget(clock.Time(4*useDecay), map[string]int{"a": 1})
	require.Len(t, u.records, 1, "the one with an open connection")
}
