package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

// Failure guarded against: all requests fail for a minute, the proxy tries each of them
// three times, and the target meets three times its load when it recovers. The budget
// keeps attempts below 1.1 times the requests.
func TestAttemptsStayWithinTheRatioThroughAnOutage(t *testing.T) {
	b := NewBudget(Config{})
	requests, attempts := 0, 0
	for i := range 6000 {
		now := clock.Time(i) * clock.Time(10*time.Millisecond)
		b.Request(now)
		requests++
		attempts++
		for range 2 {
			if b.TryRetry(now) {
				attempts++
			}
		}
	}
	require.Less(t, float64(attempts)/float64(requests), 1.1)
	require.Greater(t, attempts, requests)
}

func TestIdleGroupEarnsRetries(t *testing.T) {
	b := NewBudget(Config{Burst: 1})
	require.True(t, b.TryRetry(1))
	require.False(t, b.TryRetry(2))
	require.True(t, b.TryRetry(clock.Time(10*time.Second)))
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	b := Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	for attempt := range 64 {
		step := min(b.Base<<min(max(attempt-1, 0), maxShift), b.Max)
		d := b.Delay(attempt, rnd)
		require.GreaterOrEqual(t, d, step/2)
		require.LessOrEqual(t, d, step)
	}
}
