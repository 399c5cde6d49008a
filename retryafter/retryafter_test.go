package retryafter

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

const ms = time.Millisecond

// Failure guarded against: callers refused at one moment are told one time, and come back together.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	var s Schedule
	terms := Terms{First: 100 * ms, Interval: 10 * ms, Max: 150 * ms}
	var got []time.Duration
	for range 6 {
		got = append(got, s.Next(1, 1, terms)/ms)
	}
	require.Equal(t, []time.Duration{100, 110, 120, 130, 140, 150}, got)
	require.Equal(t, 100*ms, s.Next(1, 0, terms), "a more urgent caller does not wait behind them")
	require.Equal(t, 110*ms, s.Next(1, 0, terms))
	terms.Jitter = 0.5
	require.Equal(t, 125*ms, s.Next(1, 0, terms))
}

// Failure guarded against: ten times more callers are refused than can return in their time. All
// that do not fit come back at its end together, or before those who were refused first.
func TestCallersThatDoNotFitAreDistributed(t *testing.T) {
	var s Schedule
	terms := Terms{First: 100 * ms, Interval: 10 * ms, Max: 500 * ms}
	var overflow []time.Duration
	for n := range 410 {
		got := s.Next(1, 1, terms)
		require.LessOrEqual(t, got, terms.Max)
		if n > 40 {
			require.GreaterOrEqual(t, got, 300*ms)
			overflow = append(overflow, got)
		}
	}
	perInterval := make(map[time.Duration]int)
	for _, at := range overflow {
		perInterval[at/(20*ms)]++
	}
	for _, n := range perInterval {
		require.LessOrEqual(t, n, 2*len(overflow)/10)
	}
	require.False(t, slices.Contains(overflow, 0))
}

// Failure guarded against: a caller is told to come back after its own time is over.
func TestNoReturnTimeBeyondTheCallersTime(t *testing.T) {
	var s Schedule
	require.Zero(t, s.Next(1, 0, Terms{First: 200 * ms, Interval: ms, Max: 150 * ms}))
	require.Equal(t, 200*ms, s.Next(1, 0, Terms{First: 200 * ms, Interval: ms, Max: time.Second}), "nobody waits behind a caller that was told no time")
}

// Failure guarded against: a VM that was suspended keeps return times of before.
func TestReturnTimesOfThePastDoNotCount(t *testing.T) {
	var s Schedule
	terms := Terms{First: 100 * ms, Interval: 50 * ms, Max: time.Second}
	for range 10 {
		s.Next(1, 0, terms)
	}
	require.Equal(t, 100*ms, s.Next(clock.Time(10*time.Second), 0, terms))
}
