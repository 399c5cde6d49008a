package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
)

func at(d time.Duration) clock.Time { return clock.Time(d) }

func TestProxyLetsRequestsFinish(t *testing.T) {
	d := New(Config{Notice: 2 * time.Second, Grace: 10 * time.Second})
	require.Empty(t, d.Step(at(0), InFlight{Count: 2}))
	require.Equal(t, []Action{Announce}, d.Step(at(time.Second), Begin{}))
	require.Empty(t, d.Step(at(2*time.Second), Tick{}))
	require.Equal(t, []Action{RefuseNew}, d.Step(at(3*time.Second), Tick{}))
	require.Empty(t, d.Step(at(4*time.Second), InFlight{Count: 1}))
	require.Equal(t, []Action{Finish}, d.Step(at(5*time.Second), InFlight{Count: 0}))
	require.Empty(t, d.Step(at(6*time.Second), Begin{}))
}

func TestTargetAbortsWorkAtTheEndOfGrace(t *testing.T) {
	d := New(Config{Grace: 3 * time.Second})
	d.Step(at(0), InFlight{Count: 1})
	require.Equal(t, []Action{Announce, RefuseNew}, d.Step(at(0), Begin{}))
	ends, ok := d.GraceEnds()
	require.True(t, ok)
	require.Equal(t, at(3*time.Second), ends)
	require.Empty(t, d.Step(ends-1, Tick{}))
	require.Equal(t, []Action{AbortRemaining, Finish}, d.Step(ends, Tick{}))
	require.Empty(t, d.Step(ends, Cancel{}))
}

func TestCancelResumesServing(t *testing.T) {
	d := New(Config{Grace: 3 * time.Second})
	d.Step(at(0), InFlight{Count: 1})
	d.Step(at(0), Begin{})
	require.Equal(t, []Action{Resume}, d.Step(at(1), Cancel{}))
	require.Equal(t, PhaseServing, d.Phase())
}
