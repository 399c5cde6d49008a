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

// registryOn has the groups of services whose targets are never asked.
func registryOn(clk clock.Clock) *groups.Registry {
	return groups.NewRegistry(groups.Config{Catalog: catalog.NewHolder(), Clock: clk, Log: zap.NewNop()})
}

func noGroups() *groups.Registry { return registryOn(still{}) }

// talker is a target that takes a while for each question, in virtual time.
type talker struct {
	mu    sync.Mutex
	asked int
	err   error
}

// count is how often it was asked.
func (k *talker) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asked
}

const talks = 10 * time.Millisecond

func (k *talker) Control(_ context.Context, id target.ID, _ lane.Command, _ time.Duration) ([]string, error) {
	k.mu.Lock()
	k.asked++
	err := k.err
	k.mu.Unlock()
	time.Sleep(talks)
	return []string{string(id)}, err
}

// Two hundred VMs ask a gateway about the same replica within a tenth of a second.
// Passed on one by one their questions take the target's slots from its readers.
func TestManyVMsShareAQuestion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &talker{}
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
				require.LessOrEqual(t, time.Since(called), talks)
			})
		}
		wg.Wait()
		require.Equal(t, 1, k.count())
	})
}

// A read must see what was acknowledged before it came. Who asks for an account of
// now gets no older one, also not that of a question which is under way already.
func TestAnAccountOfNowIsAskedForNow(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &talker{}
		s := NewStatuses(k, monotonic.New())
		for range 3 {
			go func() { _, _, _ = s.Recent(context.Background(), "t", 0, time.Second) }()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(talks)
		require.Equal(t, 3, k.count())
		_, age, err := s.Recent(context.Background(), "t", 2*talks, time.Second)
		require.NoError(t, err)
		require.Equal(t, talks+time.Millisecond, age, "since the latest question was sent")
		time.Sleep(talks)
		_, age, err = s.Recent(context.Background(), "t", talks, time.Second)
		require.NoError(t, err)
		require.Zero(t, age)
		require.Equal(t, 4, k.count())
	})
}

// A question that was not answered is no account, and the next one is put anew.
func TestSilenceIsNoAccount(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &talker{err: errors.New("no answer")}
		s := NewStatuses(k, monotonic.New())
		_, _, err := s.Recent(context.Background(), "t", time.Second, time.Second)
		require.Error(t, err)
		_, _, err = s.Recent(context.Background(), "t", time.Second, time.Second)
		require.Error(t, err)
		require.Equal(t, 2, k.count())
	})
}

// A VM buys through a gateway, seldom enough to have no proof of its own. The answer
// brings the gateway's along, with its age counted from when the VM sent its request;
// a VM that has one as new is spared the bytes.
func TestAnswersBringNewerProofsAlong(t *testing.T) {
	clk := &steps{now: clock.Time(time.Minute)}
	held := registryOn(clk)
	at := clk.now
	held.Group("s").Freshness.Relay(freshness.Proof{Term: 3, Leader: "p", At: at, Position: timeline.Position{Term: 3, LSN: 7}, Witnessed: at})
	s := NewServer(ServerConfig{Clock: clk, Groups: held})
	clk.now = clk.now.Add(20 * time.Millisecond)
	e := s.evidence("s", 0)
	require.NotNil(t, e)

	asker := registryOn(clk).Group("s")
	hear(asker, e, at)
	p, ok := asker.Freshness.Newest()
	require.True(t, ok)
	require.Equal(t, timeline.Position{Term: 3, LSN: 7}, p.Position)
	require.LessOrEqual(t, p.At, at.Add(-20*time.Millisecond), "never newer than it is")

	require.Nil(t, s.evidence("s", uint64((60*time.Millisecond).Microseconds())), "about as new")
	require.NotNil(t, s.evidence("s", uint64(time.Second.Microseconds())))
	require.Nil(t, s.evidence("unknown", 0))
}

// steps is a clock that stands still until it is moved.
type steps struct{ now clock.Time }

func (s *steps) Now() clock.Time { return s.now }

// A gateway of the version before tells no age: its answers were asked for just now.
func TestOldGatewaysAnswersAreOfNow(t *testing.T) {
	require.Zero(t, duration(int64((&relaypb.AskReply{}).GetAgeUs())))
}
