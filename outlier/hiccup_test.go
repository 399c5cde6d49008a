package outlier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: failures that ended a second ago set a target aside, because few
// statements have come since.
func TestHiccupThatIsOverCountsNoLonger(t *testing.T) {
	var c Counter
	for i := range window {
		c.Record(at(i*10), "s", "x", Errored)
	}
	failed, statements := c.Fraction(at(window*10), "x")
	require.Greater(t, failed, minFailed)
	require.Equal(t, window, statements)
	for i := range 12 {
		c.Record(at(window*10+i*100), "s", "x", Answered)
	}
	failed, _ = c.Fraction(at(window*10+1200), "x")
	require.Zero(t, failed)
	require.Empty(t, c.Failing(at(window*10+1200)))
}

// Failure guarded against: a VM that was suspended, or reached nobody, avoids targets for its own fault.
func TestWhatTheVMExplainsIsForgotten(t *testing.T) {
	var c Counter
	d := NewDetector()
	c.Record(at(0), "s", "x", Lost)
	d.Record(at(0), "x", 7, Lost)
	c.Reset()
	d.Reset()
	require.Empty(t, c.Failing(at(0)))
	require.True(t, d.Idle())
}
