package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/profile"
)

const (
	ms = clock.Time(time.Millisecond)
	// noDeadline is later than the end of every test.
	noDeadline = clock.Time(time.Hour)
)

var (
	browse   = &profile.Kind{Name: "browse", Worth: 1}
	purchase = &profile.Kind{Name: "purchase", Worth: 10}
)

func TestHigherWorthWaitsLessWithoutStarvation(t *testing.T) {
	q := NewQueue(Config{Slots: 1})
	q.Offer(0, browse, noDeadline)
	pageView := q.Offer(0, browse, noDeadline)
	for i := range clock.Time(30) {
		now := i * 10 * ms
		bought := q.Offer(now, purchase, noDeadline)
		granted := q.Done(now+9*ms, browse, 9*time.Millisecond, nil)
		require.Len(t, granted, 1)
		if granted[0] == pageView.Ticket {
			require.Equal(t, clock.Time(9), i, "ten times the worth must give a tenth of the wait")
			return
		}
		require.LessOrEqual(t, granted[0], bought.Ticket)
	}
	t.Fatal("the page view was not granted a slot in 30 turns")
}

// newBusyQueue returns a queue with a measured drain rate of one request in 10 ms, and the time.
func newBusyQueue(cfg Config) (*Queue, clock.Time) {
	cfg.Slots = 1
	q := NewQueue(cfg)
	q.Offer(0, browse, noDeadline)
	now := clock.Time(0)
	for range 50 {
		q.Offer(now, browse, noDeadline)
		now += 10 * ms
		q.Done(now, browse, 10*time.Millisecond, nil)
	}
	return q, now
}

// A target drains one request in 10 ms and twenty wait. A request with a deadline in 50 ms cannot be
// served. Failure guarded against: it waits in the queue until its deadline, and its caller then
// retries.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	q, now := newBusyQueue(Config{})
	for range 20 {
		require.Equal(t, CauseNone, q.Offer(now, browse, noDeadline).Refused.Cause)
	}
	got := q.Offer(now, browse, now+50*ms)
	require.Equal(t, CauseHopeless, got.Refused.Cause)
	require.GreaterOrEqual(t, got.Refused.RetryAfter, 200*time.Millisecond)
	require.LessOrEqual(t, got.Refused.RetryAfter, 320*time.Millisecond)
	require.Equal(t, CauseNone, q.Offer(now, purchase, now+100*ms).Refused.Cause,
		"a purchase is served before most of the page views")
}

func TestFullQueueRefusesTheLowestWorth(t *testing.T) {
	q, now := newBusyQueue(Config{MaxQueued: 2})
	first, last := q.Offer(now, browse, noDeadline), q.Offer(now, browse, noDeadline)
	require.Equal(t, CauseFull, q.Offer(now, browse, noDeadline).Refused.Cause)
	bought := q.Offer(now, purchase, noDeadline)
	require.Equal(t, CauseNone, bought.Refused.Cause)
	require.Equal(t, CauseEvicted, bought.Evicted.Cause)
	require.Equal(t, last.Ticket, bought.Evicted.Ticket)
	require.False(t, q.Cancel(last.Ticket))
	require.True(t, q.Cancel(first.Ticket))
}

func TestExpiredRequestIsRefusedAndCostsNoSlot(t *testing.T) {
	q, now := newBusyQueue(Config{})
	expired := q.Offer(now, browse, now+15*ms)
	waiting := q.Offer(now, browse, noDeadline)
	refused := q.Expire(now+15*ms, nil)
	require.Len(t, refused, 1)
	require.Equal(t, expired.Ticket, refused[0].Ticket)
	require.Equal(t, []Ticket{waiting.Ticket}, q.Done(now+15*ms, browse, time.Millisecond, nil))
}

// The other proxies overload the target. This proxy observes only that answers take ten times as
// long. Its limit must shrink, and grow again after the overload.
func TestSlotsFollowTheLatency(t *testing.T) {
	s := newSlots(3, false)
	s.share(8)
	limitAfter := func(k *profile.Kind, latency time.Duration) int {
		for range 200 {
			s.observe(k, latency, true)
		}
		return s.Limit()
	}
	require.Equal(t, 3, limitAfter(browse, 5*time.Millisecond))
	require.Equal(t, 1, limitAfter(browse, 50*time.Millisecond))
	s.share(2)
	require.Equal(t, 2, limitAfter(browse, 50*time.Millisecond), "the limit must not fall below the share")
	require.Equal(t, 3, limitAfter(browse, 5*time.Millisecond))
}

// At night, long purchases replace the short page views of the day. The mean latency grows tenfold
// although the target is idle, and the limit must not change.
func TestSlotsDoNotMistakeAChangeOfMixForASlowTarget(t *testing.T) {
	s := newSlots(3, false)
	s.share(8)
	for range 500 {
		s.observe(browse, 2*time.Millisecond, true)
	}
	for range 500 {
		s.observe(purchase, 20*time.Millisecond, true)
	}
	require.Equal(t, 3, s.Limit())
}

// In any order of events, each request is granted or refused exactly once, and the counts of used
// slots and waiting requests are correct.
func TestEveryRequestEndsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Config{Slots: 2, MaxQueued: 5})
		kinds := []*profile.Kind{browse, purchase}
		waiting, running := map[Ticket]bool{}, 0
		end := func(x Ticket) {
			require.True(t, waiting[x], "the request ended twice or was never queued")
			delete(waiting, x)
		}
		now := clock.Time(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Time(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			for _, r := range q.Expire(now, nil) {
				end(r.Ticket)
			}
			if running > 0 && rapid.Bool().Draw(t, "done") {
				running--
				for _, x := range q.Done(now, browse, 5*time.Millisecond, nil) {
					end(x)
					running++
				}
				continue
			}
			k := rapid.SampledFrom(kinds).Draw(t, "kind")
			o := q.Offer(now, k, now+clock.Time(rapid.IntRange(0, 60).Draw(t, "deadline"))*ms)
			if o.Evicted.Cause != CauseNone {
				end(o.Evicted.Ticket)
			}
			switch {
			case o.Granted:
				running++
			case o.Refused.Cause == CauseNone:
				waiting[o.Ticket] = true
			}
		}
		require.Equal(t, running, q.InUse())
		require.Equal(t, len(waiting), q.Queued())
		require.LessOrEqual(t, q.Queued(), 5)
	})
}

func BenchmarkOfferDone(b *testing.B) {
	q := NewQueue(Config{})
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(0, browse, noDeadline)
		q.Done(0, browse, time.Millisecond, nil)
	}
}
