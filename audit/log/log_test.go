package log

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
)

var at = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func act(id string) Pending {
	return Act(id, at, "vm-1", audit.GroupPromoted, "primary lost", "ledger-0", "1", "2")
}

func open(s store.Store) *Log { return New(s).WithPause(time.Millisecond) }

func requireTrail(t *testing.T, s *platformd.Store, ids int) []audit.Entry {
	t.Helper()
	s.SetFaults(platformd.Faults{})
	entries, err := open(s).All(context.Background())
	require.NoError(t, err)
	require.Empty(t, audit.Verify(entries))
	require.Len(t, entries, ids)
	return entries
}

// Concurrent writers append while half of all answers are lost and segments fill up. Every act must
// be in the trail once, in one unbroken chain.
func TestRacingWritersWithLostAnswersNeitherLoseNorDouble(t *testing.T) {
	const writers, each = 6, 25
	ctx := context.Background()
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{LoseProbability: 0.5, Seed: 7})
	var group errgroup.Group
	for w := range writers {
		group.Go(func() error { return appendMany(ctx, open(s), fmt.Sprint("w", w), each) })
	}
	require.NoError(t, group.Wait())
	_, struck := s.Faults()
	require.Positive(t, struck.LostAnswers)
	requireTrail(t, s, writers*each)
	segments, err := s.List(ctx, store.PurposeAudit, SegmentPrefix)
	require.NoError(t, err)
	require.Greater(t, len(segments), 2)
	tail, err := open(s).Tail(ctx, 100)
	require.NoError(t, err)
	require.Len(t, tail, 100)
	require.EqualValues(t, writers*each, tail[99].Seq)
}

func appendMany(ctx context.Context, l *Log, name string, n int) error {
	for i := range n {
		a := act(fmt.Sprint(name, "-", i))
		a.Reason = strings.Repeat("r", 600)
		var err error
		if a.Since, err = l.Last(ctx); err != nil {
			return err
		}
		if err := l.Append(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// Failure guarded against: a command is killed after its entry was written, another one completes
// its work when the trail is some segments longer, and the act is recorded twice.
func TestActIsRecognisedInAnEarlierSegment(t *testing.T) {
	ctx := context.Background()
	s := platformd.NewStore()
	l := open(s)
	first := act("publish-7")
	first.Since = 1
	require.NoError(t, l.Append(ctx, first))
	require.NoError(t, appendMany(ctx, l, "later", 150))
	require.NoError(t, l.Append(ctx, first))
	requireTrail(t, s, 151)
}

// The same act is written again, after a lost answer or by another command. Without the search for
// its ID the act is recorded twice, and Verify reports it. Without only the read-back, the search
// for the ID still finds the act: the two guards cover each other.
func TestActIDGuardIsNeeded(t *testing.T) {
	for _, c := range []struct {
		guards guard.Set
		faults int
	}{
		{nil, 0},
		{guard.Without(GuardReadBack), 0},
		{guard.Without(GuardActID), 1},
		{guard.Without(GuardActID, GuardReadBack), 2},
	} {
		s := platformd.NewStore()
		l := open(s)
		l.guards = c.guards
		s.SetFaults(platformd.Faults{LoseAnswers: 1})
		require.NoError(t, l.Append(context.Background(), act("a")))
		require.NoError(t, l.Append(context.Background(), act("a")))
		entries, err := l.All(context.Background())
		require.NoError(t, err)
		require.Len(t, audit.Verify(entries), c.faults)
	}
}

// Another command recorded one act of a batch first. The other acts must still be written, and that
// one not again.
func TestBatchKeepsWhatAnotherCommandLeft(t *testing.T) {
	ctx := context.Background()
	s := platformd.NewStore()
	l := open(s)
	require.NoError(t, l.Append(ctx, act("b")))
	require.NoError(t, l.Append(ctx, act("a"), act("b"), act("c")))
	entries := requireTrail(t, s, 3)
	require.Equal(t, "c", entries[2].ID)
}

// Failure guarded against: a put is delayed in the network, its writer gives up, and the put
// arrives after other writers have appended and overwrites their entries.
func TestLateAppendChangesNothing(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{HoldRequests: 1})
	require.NoError(t, open(s).Append(context.Background(), act("a")))
	require.NoError(t, open(s).Append(context.Background(), act("b")))
	s.Release()
	requireTrail(t, s, 2)
}

// The store is down when a daemon promotes a primary. The act must wait in memory, the daemon must
// report it as waiting, and it must be written once when the store is back, although the first
// answer is lost then.
func TestOwnActsWaitOutAnOutage(t *testing.T) {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{Down: true})
	registry := prometheus.NewRegistry()
	r, err := NewRecorder(open(s), zap.NewNop(), registry)
	require.NoError(t, err)
	r.pause = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx, time.Minute) })
	require.NoError(t, r.Record(act("p1")))
	require.NoError(t, r.Record(act("p2")))
	require.Eventually(t, func() bool { _, struck := s.Faults(); return struck.Down > 2 }, time.Minute, time.Millisecond)
	require.Equal(t, 2, r.Waiting())
	s.SetFaults(platformd.Faults{LoseAnswers: 1})
	require.Eventually(t, func() bool { return r.Waiting() == 0 }, time.Minute, time.Millisecond)
	require.NoError(t, r.Record(act("p3")))
	cancel()
	wg.Wait()
	requireTrail(t, s, 3)
}

// The store is down for so long that the queue is full. The next act must be refused with an error,
// not dropped silently.
func TestFullQueueRefuses(t *testing.T) {
	r, err := NewRecorder(open(platformd.NewStore()), zap.NewNop(), nil)
	require.NoError(t, err)
	for i := range queueLimit {
		require.NoError(t, r.Record(act(fmt.Sprint(i))))
	}
	require.ErrorIs(t, r.Record(act("one more")), ErrQueueFull)
	require.Equal(t, queueLimit, r.Waiting())
}

// A middle segment is deleted from the store. Verify must report the missing entries.
func TestDeletedSegmentIsNamed(t *testing.T) {
	ctx := context.Background()
	s := platformd.NewStore()
	l := open(s)
	require.NoError(t, appendMany(ctx, l, "x", 200))
	o, err := s.Get(ctx, store.PurposeAudit, segmentKey(2))
	require.NoError(t, err)
	require.NoError(t, s.Delete(ctx, store.PurposeAudit, o.Key, o.Version))
	entries, err := l.All(ctx)
	require.NoError(t, err)
	faults := audit.Verify(entries)
	require.Len(t, faults, 1)
	require.Equal(t, audit.Dropped, faults[0].Kind)
}

// The store fails between the lost answer and the read-back. The caller must get an UnknownError,
// and a second append with the same ID must settle the outcome.
func TestUnansweredAppendIsUnknownAndSettledByItsID(t *testing.T) {
	s := platformd.NewStore()
	ctx, cancel := context.WithCancel(context.Background())
	s.SetFaults(platformd.Faults{LoseAnswers: 1})
	err := New(outageAfterPut{s, cancel}).WithPause(time.Millisecond).Append(ctx, act("a"))
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	s.SetFaults(platformd.Faults{})
	require.NoError(t, open(s).Append(context.Background(), act("a")))
	requireTrail(t, s, 1)
}

// outageAfterPut makes the store unavailable after one update and cancels the caller's context.
type outageAfterPut struct {
	*platformd.Store
	cancel func()
}

func (o outageAfterPut) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	v, err := o.Store.Put(ctx, p, key, value, expect)
	o.SetFaults(platformd.Faults{Down: true})
	o.cancel()
	return v, err
}
