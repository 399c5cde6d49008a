package lane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/target"
)

func newFeaturesPool(off ...feature.Part) *Pool {
	d := &dialer{limit: 50}
	p := NewPool(monotonic.New(), func(*catalog.Target) Dialer { return d.dial })
	p.Features = feature.Without(off...)
	c := &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x"}}}
	p.Update(c, func(*catalog.Target) gateways.Share { return gatewayShare })
	return p
}

// Without warm connections, half of the connections are retained, and no use is recorded.
func TestConnectionsAreSharedWithoutWarmConnections(t *testing.T) {
	require.Equal(t, gatewayShare.MaxIdle, newFeaturesPool().Lane("x").minOpen)
	shared := newFeaturesPool(feature.WarmConnections).Lane("x")
	require.Equal(t, gatewayShare.MaxOpen/2, shared.minOpen)
	require.False(t, shared.perWorkspace)
}

// playBurst plays 1.35 times what a target can do for three seconds.
func playBurst(off ...feature.Part) (all result, l *Lane) {
	c := newCrowd(3, slots)
	c.lane.setFeatures(feature.Without(off...))
	c.play(0.75, 2*time.Second, "", commits, syncs, galleries)
	c.play(1.35, 3*time.Second, "", commits, syncs, galleries)
	c.wait.Wait()
	for _, r := range c.got {
		all.add(*r)
	}
	return all, c.lane
}

// Without admission by work, requests are ordered by due time until late ones have waited, and the
// lane serves what it can all the same.
func TestRequestsAreCountedWithoutAdmissionByWork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		byWork, _ := playBurst()
		byCount, l := playBurst(feature.AdmissionByWork)
		t.Logf("by work %+v, by count %+v", byWork, byCount)
		require.Greater(t, byWork.inTime, byCount.inTime)
		require.Greater(t, byCount.inTime+byCount.late, byCount.asked/2)
		require.False(t, l.waiting.pressed(), "the overload has ended")
	})
}

// Without fair shares, the hot workspace pushes out the others.
func TestHotWorkspaceIsFeltWithoutFairShares(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		with, _ := besideHot(2.5, 0)
		without, _ := besideHot(2.5, 0, feature.FairShares)
		t.Logf("with %+v, without %+v", with, without)
		require.Less(t, without.inTime, with.inTime*8/10)
	})
}
