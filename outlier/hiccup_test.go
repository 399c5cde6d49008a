package outlier

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/target"
)

// Failure guarded against: failures that ended a second ago set a target aside, because few
// statements have come since.
func TestHiccupThatIsOverCountsNoLonger(t *testing.T) {
	var c Counter
	for i := range window {
		c.Record(at(i*10), "s", "x", Errored)
	}
	require.Equal(t, window, c.Fraction(at(window*10), "x").Statements)
	for i := range 12 {
		c.Record(at(window*10+i*100), "s", "x", Answered)
	}
	f := c.Fraction(at(window*10+1200), "x")
	require.Greater(t, f.Errored, minFailed)
	require.Less(t, f.Statements, minStatements)
}

// Failure guarded against: a VM that was suspended, or reached nobody, avoids targets for its own fault.
func TestWhatTheVMExplainsIsForgotten(t *testing.T) {
	var c Counter
	d := NewDetector()
	c.Record(at(0), "s", "x", Lost)
	d.Record(at(0), "x", 7, Lost, true)
	c.Reset()
	d.Reset()
	require.Empty(t, c.byTarget)
	require.True(t, d.Idle())
}

// Failure guarded against: a service whose statements are errors now and then fills pulls with reports.
func TestFewErrorsAreNotPassedOn(t *testing.T) {
	var c Counter
	for i := range 500 {
		o := Answered
		if i%50 == 0 {
			o = Errored
		}
		c.Record(at(i*10), "s", "x", o)
		require.Empty(t, c.Failing(at(i*10)))
		require.Zero(t, c.Fraction(at(i*10), "x"))
	}
}

// Failure guarded against: a target that failed once, and that no read asks for since, is remembered
// for good and costs the reads of its service the fast path.
func TestTargetThatIsNotAskedIsForgotten(t *testing.T) {
	var c Counter
	d := NewDetector()
	c.Record(at(0), "s", "x", Lost)
	d.Record(at(0), "x", 7, Lost, true)
	known := func(target.ID) (int64, bool) { return 7, true }
	c.Retain(at(1), known)
	d.Retain(at(1), known)
	require.False(t, d.Idle())
	c.Retain(at(1).Add(ownTTL), known)
	d.Retain(at(1).Add(ownTTL), known)
	require.True(t, d.Idle())
	require.Empty(t, c.byTarget)
}
