package lane

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/internal/bubble"
)

// besideUrgent plays a target with two gateways. A workspace sends urgent requests, at a multiple of the
// target's capacity, through the first one; six others send theirs through either, a fifth of the
// capacity together. It returns what those got.
func besideUrgent(load float64) (small result) {
	config := &catalog.Config{Workspaces: map[string]*catalog.Workspace{"hot": {Limited: true, Rate: 40}}}
	for i := range 6 {
		config.Workspaces[fmt.Sprint(i)] = &catalog.Workspace{Limited: true, Rate: 10}
	}
	target := make(chan struct{}, slots)
	var through []*Lane
	for range 2 {
		l := newCrowd(1, slots+1).lane
		l.setWeights(newWeights(config))
		through = append(through, l)
	}
	urgent := commits
	urgent.priority, urgent.work, urgent.share = 0, syncs.work, 1
	var wait sync.WaitGroup
	play := func(l *Lane, load float64, workspace string, kinds ...kind) *crowd {
		c := &crowd{lane: l, target: target, rnd: rand.New(rand.NewPCG(2, uint64(workspace[0]))), returns: 2, got: make(map[uint32]*result)}
		wait.Go(func() {
			c.play(load, 3*time.Second, workspace, kinds...)
			c.wait.Wait()
		})
		return c
	}
	play(through[0], load, "hot", urgent)
	var others []*crowd
	for i := range 6 {
		others = append(others, play(through[i%2], 0.2/6, fmt.Sprint(i), commits, syncs, galleries))
	}
	wait.Wait()
	for _, c := range others {
		for _, r := range c.got {
			small.add(*r)
		}
	}
	return small
}

// Failure guarded against: the urgent operations of a hot workspace, which its limit lets through first,
// push out the others at a target, or at the gateway that they do not even use.
func TestUrgentRequestsOfAHotWorkspaceTakeNoShareOfOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		calm := besideUrgent(0.3)
		for _, load := range []float64{1, 2, 4} {
			small := besideUrgent(load)
			t.Logf("at %.0f: %+v, calm %+v", load, small, calm)
			require.Greater(t, small.inTime, calm.inTime*95/100)
		}
	})
}
