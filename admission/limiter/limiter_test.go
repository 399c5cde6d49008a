package limiter

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"endivemoor.example/endivemoor/admission"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
)

var (
	browse   = &profile.Kind{Name: "browse", Access: profile.Read, Worth: 1}
	purchase = &profile.Kind{Name: "purchase", Worth: 20}
)

// noDeadline is later than the end of every test.
const noDeadline = clock.Time(time.Hour)

// manualClock returns the time that the test has set.
type manualClock struct{ now atomic.Int64 }

func (m *manualClock) Now() clock.Time { return clock.Time(m.now.Load()) }

func newLimiter(slots, queued int) (*Limiter, *manualClock) {
	m := &manualClock{}
	m.now.Store(1)
	return New(Config{Queue: admission.Config{Slots: slots, MaxQueued: queued}, Clock: m}), m
}

func waitQueued(t *testing.T, l *Limiter, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return l.Load("a").Queued == n }, time.Minute, time.Millisecond)
}

func TestNoMoreThanTheSlotsRunAtOnce(t *testing.T) {
	l, _ := newLimiter(3, 64)
	var running, most atomic.Int64
	var group errgroup.Group
	for range 40 {
		group.Go(func() error {
			release, refused := l.Acquire(context.Background(), "a", browse, noDeadline)
			if refused != nil {
				return refused
			}
			n := running.Add(1)
			for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			}
			running.Add(-1)
			release()
			return nil
		})
	}
	require.NoError(t, group.Wait())
	require.LessOrEqual(t, most.Load(), int64(3))
	require.Equal(t, Load{Limit: l.Load("a").Limit}, l.Load("a"))
}

// A caller disconnects while its request waits. Failure guarded against: the request keeps its place,
// and the queue fills with requests of disconnected callers. The caller must receive "not run".
func TestCancelledRequestFreesItsPlace(t *testing.T) {
	l, _ := newLimiter(1, 4)
	release, refused := l.Acquire(context.Background(), "a", browse, noDeadline)
	require.Nil(t, refused)
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan *outcome.Error, 1)
	go func() {
		_, e := l.Acquire(ctx, "a", browse, noDeadline)
		answers <- e
	}()
	waitQueued(t, l, 1)
	cancel()
	answer := <-answers
	require.Equal(t, outcome.NotRun, answer.Outcome)
	require.Positive(t, answer.RetryAfter)
	require.Zero(t, l.Load("a").Queued)
	release()
	require.Zero(t, l.Load("a").InUse)
}

// The queue is full of page views when a purchase arrives. The purchase must get a place, and the
// evicted page view must immediately receive a refusal with a retry-after time.
func TestFullQueueMakesRoomForHigherWorth(t *testing.T) {
	l, _ := newLimiter(1, 1)
	release, refused := l.Acquire(context.Background(), "a", browse, noDeadline)
	require.Nil(t, refused)
	evicted := make(chan *outcome.Error, 1)
	go func() {
		_, e := l.Acquire(context.Background(), "a", browse, noDeadline)
		evicted <- e
	}()
	waitQueued(t, l, 1)
	bought := make(chan func(), 1)
	go func() {
		r, _ := l.Acquire(context.Background(), "a", purchase, noDeadline)
		bought <- r
	}()
	answer := <-evicted
	require.Equal(t, outcome.NotRun, answer.Outcome)
	require.Positive(t, answer.RetryAfter)
	release()
	(<-bought)()
}

func TestUncontendedPathAllocatesNothing(t *testing.T) {
	l, _ := newLimiter(3, 8)
	ctx := context.Background()
	n := testing.AllocsPerRun(1000, func() {
		release, _ := l.Acquire(ctx, "a", browse, noDeadline)
		release()
	})
	require.Zero(t, n)
}

func BenchmarkAcquireRelease(b *testing.B) {
	l, _ := newLimiter(3, 8)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		release, _ := l.Acquire(ctx, "a", browse, noDeadline)
		release()
	}
}
