package retryafter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

// Failure guarded against: callers refused at one moment are told one time, and come back together.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	var s Schedule
	terms := Terms{First: 100 * time.Millisecond, Interval: 10 * time.Millisecond, Max: 150 * time.Millisecond}
	var got []time.Duration
	for range 8 {
		got = append(got, s.Next(clock.Time(1), 1, terms)/time.Millisecond)
	}
	require.Equal(t, []time.Duration{100, 110, 120, 130, 140, 150, 150, 150}, got)
	require.Equal(t, 100*time.Millisecond, s.Next(clock.Time(1), 0, terms), "a more urgent caller does not wait behind them")
}
