package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/freshness"
	"endivemoor.example/endivemoor/groups"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// registryOn returns a registry of groups whose targets are never queried.
func registryOn(clk clock.Clock) *groups.Registry {
	return groups.NewRegistry(groups.Config{Catalog: catalog.NewHolder(), Clock: clk, Log: zap.NewNop()})
}

func noGroups() *groups.Registry { return registryOn(fixedClock{}) }

// slowTarget is a target that takes answerTime for each status query, in virtual time.
type slowTarget struct {
	mu      sync.Mutex
	queries int
	err     error
}

// count returns the number of status queries received.
func (k *slowTarget) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.queries
}

const answerTime = 10 * time.Millisecond

func (k *slowTarget) Control(_ context.Context, id target.ID, _ lane.Command, _ time.Duration) ([]string, error) {
	k.mu.Lock()
	k.queries++
	err := k.err
	k.mu.Unlock()
	time.Sleep(answerTime)
	return []string{string(id)}, err
}

// Failure guarded against: two hundred VMs query the status of the same replica at a gateway within
// a tenth of a second, and the gateway forwards each query, which takes slots from the readers.
func TestManyVMsShareAStatusQuery(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &slowTarget{}
		s := NewStatuses(k, monotonic.New())
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 2)
				called := time.Now()
				rows, age, err := s.Recent(context.Background(), "t", 100*time.Millisecond, time.Second)
				require.NoError(t, err)
				require.Equal(t, []string{"t"}, rows)
				require.LessOrEqual(t, age, 100*time.Millisecond)
				require.LessOrEqual(t, time.Since(called), answerTime)
			})
		}
		wg.Wait()
		require.Equal(t, 1, k.count())
	})
}

// Failure guarded against: a read misses a commit that was acknowledged before the read arrived. A
// requester that accepts no age gets no older status report, nor that of a query already in flight.
func TestZeroMaxAgeSendsANewQuery(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &slowTarget{}
		s := NewStatuses(k, monotonic.New())
		for range 3 {
			go func() { _, _, _ = s.Recent(context.Background(), "t", 0, time.Second) }()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(answerTime)
		require.Equal(t, 3, k.count())
		_, age, err := s.Recent(context.Background(), "t", 2*answerTime, time.Second)
		require.NoError(t, err)
		require.Equal(t, answerTime+time.Millisecond, age, "since the latest query was sent")
		time.Sleep(answerTime)
		_, age, err = s.Recent(context.Background(), "t", answerTime, time.Second)
		require.NoError(t, err)
		require.Zero(t, age)
		require.Equal(t, 4, k.count())
	})
}

// A query without an answer yields no status report, and the next request sends a new query.
func TestFailedQueryIsNotCached(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &slowTarget{err: errors.New("no answer")}
		s := NewStatuses(k, monotonic.New())
		_, _, err := s.Recent(context.Background(), "t", time.Second, time.Second)
		require.Error(t, err)
		_, _, err = s.Recent(context.Background(), "t", time.Second, time.Second)
		require.Error(t, err)
		require.Equal(t, 2, k.count())
	})
}

// A VM sends a purchase through a gateway, so seldom that it has no proof of its own. The reply
// carries the gateway's proof, with its age counted from when the VM sent its request. The reply to
// a VM that has a proof as recent carries none, to save the bytes.
func TestAnswersBringNewerProofsAlong(t *testing.T) {
	clk := &manualClock{now: clock.Time(time.Minute)}
	registry := registryOn(clk)
	at := clk.now
	registry.Group("s").Freshness.MergeProof(freshness.Proof{Term: 3, Leader: "p", At: at, Position: timeline.Position{Term: 3, LSN: 7}, Witnessed: at})
	s := NewServer(ServerConfig{Clock: clk, Groups: registry})
	clk.now = clk.now.Add(20 * time.Millisecond)
	e := s.evidence("s", 0)
	require.NotNil(t, e)

	requester := registryOn(clk).Group("s")
	recordEvidence(requester, e, at)
	p, ok := requester.Freshness.Newest()
	require.True(t, ok)
	require.Equal(t, timeline.Position{Term: 3, LSN: 7}, p.Position)
	require.LessOrEqual(t, p.At, at.Add(-20*time.Millisecond), "never newer than the gateway's own proof")

	require.Nil(t, s.evidence("s", uint64((60*time.Millisecond).Microseconds())), "about as recent")
	require.NotNil(t, s.evidence("s", uint64(time.Second.Microseconds())))
	require.Nil(t, s.evidence("unknown", 0))
}

// manualClock is a clock that only the test advances.
type manualClock struct{ now clock.Time }

func (s *manualClock) Now() clock.Time { return s.now }

// The reply of a gateway of the previous version carries no age: the target was queried since the
// request.
func TestReplyWithoutAgeHasAgeZero(t *testing.T) {
	require.Zero(t, duration(int64((&relaypb.AskReply{}).GetAgeUs())))
}
