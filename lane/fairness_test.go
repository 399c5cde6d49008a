package lane

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/internal/bubble"
)

// besideHot plays five workspaces with limits at a target. Four ask for little, at a fifth of the
// capacity together; the other for the given multiple of the capacity. Some parts may be off. It
// returns what the four and the other got.
func besideHot(load float64, seed uint64, off ...feature.Part) (small, hot result) {
	config := &catalog.Config{Workspaces: map[string]*catalog.Workspace{"hot": {Limited: true, Rate: 40}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		config.Workspaces[name] = &catalog.Workspace{Limited: true, Rate: 10}
	}
	one := newCrowd(1+seed, slots)
	one.lane.setWeights(newWeights(config))
	one.lane.setFeatures(feature.Without(off...))
	var wait sync.WaitGroup
	var crowds []*crowd
	add := func(load float64, workspace string) {
		c := &crowd{lane: one.lane, rnd: rand.New(rand.NewPCG(2+seed, uint64(len(crowds)))), returns: 2, got: make(map[uint32]*result)}
		crowds = append(crowds, c)
		wait.Go(func() {
			c.play(load, 3*time.Second, workspace, commits, syncs, galleries)
			c.wait.Wait()
		})
	}
	add(load, "hot")
	for _, name := range []string{"a", "b", "c", "d"} {
		add(0.05, name)
	}
	wait.Wait()
	for i, c := range crowds {
		for _, r := range c.got {
			if i == 0 {
				hot.add(*r)
			} else {
				small.add(*r)
			}
		}
	}
	return small, hot
}

// One workspace asks for many times its share. Failure guarded against: the requests of the others
// are late or refused, though each asks for less than its share.
func TestWorkspaceBelowItsShareDoesNotFeelOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		for seed := range uint64(4) {
			calm, _ := besideHot(0.3, seed)
			for _, load := range []float64{1.2, 2.5, 5} {
				small, hot := besideHot(load, seed)
				t.Logf("at %.1f: %+v, hot %+v", load, small, hot)
				require.Greater(t, small.inTime, calm.inTime*95/100)
				require.Greater(t, float64(hot.inTime+hot.late), 0.6*capacity*3, "what the others leave")
			}
		}
	})
}

// serveShares serves n requests of workspaces that always wait, and returns how many each got.
func serveShares(s *shares, n int, workspaces ...string) map[string]int {
	got := make(map[string]int)
	for range n {
		next := workspaces[0]
		for _, w := range workspaces {
			if s.usage(w, 10*time.Millisecond) < s.usage(next, 10*time.Millisecond) {
				next = w
			}
		}
		s.charge(next, 10*time.Millisecond)
		got[next]++
	}
	return got
}

func TestSharesFollowTheWeights(t *testing.T) {
	s := &shares{weights: newWeights(&catalog.Config{Workspaces: map[string]*catalog.Workspace{
		"a": {Limited: true, Rate: 10}, "b": {Limited: true, Rate: 30}, "free": {}}})}
	got := serveShares(s, 70, "a", "b", "free")
	require.InDelta(t, 10, got["a"], 2)
	require.InDelta(t, 30, got["b"], 2)
	require.InDelta(t, 30, got["free"], 2)
	require.Equal(t, 50, serveShares(s, 50, "a")["a"], "an unused share goes to the others")
	require.Less(t, serveShares(s, 40, "a", "b")["b"], 35, "and is not owed later")
}

// Failure guarded against: a workspace rests in transactions on many connections and gets as many
// slots as one that does not.
func TestRestingConnectionsCountAsUsed(t *testing.T) {
	s := &shares{}
	s.rest("a", 3)
	require.Greater(t, serveShares(s, 10, "a", "b")["b"], 5)
	s.rest("a", -3)
	require.Empty(t, s.resting)
}
