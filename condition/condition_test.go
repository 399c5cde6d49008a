package condition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

const interval = 50 * time.Millisecond

var limits = Limits{Objective: 150 * time.Millisecond, Capacity: 0.2}

// vm plays a VM whose timers fire late and whose processor is busy.
type vm struct {
	monitor Monitor
	now     clock.Time
	used    time.Duration
}

// run returns the condition after the given time, and how often it changed.
func (v *vm) run(during time.Duration, lateness func(i int) time.Duration, busy float64) (out catalog.Condition, changes int) {
	out = v.monitor.condition()
	end := v.now.Add(during)
	for i := 0; v.now.Before(end); i++ {
		late := lateness(i)
		v.now = v.now.Add(interval + late)
		v.used += time.Duration(busy * limits.Capacity * float64(interval+late))
		before := out
		if out = v.monitor.Step(Sample{Lateness: late, Processor: v.used}, limits, v.now); out != before {
			changes++
		}
	}
	return out, changes
}

func started() *vm { return &vm{now: clock.Time(time.Hour), used: time.Second} }

func always(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

func TestLateTimersMakeAVMYield(t *testing.T) {
	for _, x := range []struct {
		name     string
		lateness func(i int) time.Duration
		want     catalog.Condition
	}{
		{"on time", always(time.Millisecond), catalog.Normal},
		{"a tenth of the objective", always(15 * time.Millisecond), catalog.Normal},
		{"always late", always(20 * time.Millisecond), catalog.Yielding},
		{"very late", always(400 * time.Millisecond), catalog.Yielding},
		{"two of three late, as under a usage cap", func(i int) time.Duration { return time.Duration(min(i%3, 1)) * 60 * time.Millisecond }, catalog.Yielding},
		{"one of three late, as by pauses", func(i int) time.Duration { return time.Duration(i%3/2) * 60 * time.Millisecond }, catalog.Normal},
	} {
		got, _ := started().run(5*time.Second, x.lateness, 0.1)
		require.Equal(t, x.want, got, x.name)
	}
}

// Failure guarded against: a VM is suspended, wakes, and gives all its targets away.
func TestSuspensionsAreNoCondition(t *testing.T) {
	for _, suspended := range []time.Duration{100 * time.Millisecond, 990 * time.Millisecond, 5 * time.Second} {
		v := started()
		_, changes := v.run(30*time.Second, func(i int) time.Duration {
			if i%40 == 0 {
				return suspended
			}
			return 0
		}, 0.1)
		require.Zero(t, changes, suspended)
	}
}

func TestBusyProcessorLoadsAVM(t *testing.T) {
	v := started()
	got, _ := v.run(1500*time.Millisecond, always(0), 0.9)
	require.Equal(t, catalog.Normal, got, "one busy second is none")
	v.run(3*time.Second, always(0), 0.3)
	got, _ = v.run(4*time.Second, always(0), 0.9)
	require.Equal(t, catalog.Loaded, got)
	got, _ = v.run(2*time.Second, always(30*time.Millisecond), 0.9)
	require.Equal(t, catalog.Yielding, got)
	require.Positive(t, v.monitor.Last().Late)
	require.InDelta(t, 0.9, v.monitor.Last().Busy, 0.01)
}

// Failure guarded against: the load that a VM gives away brings it back below the bound, it takes the
// load again, and gateways move to and fro.
func TestConditionsEndOnlyAfterCalmTime(t *testing.T) {
	v := started()
	got, _ := v.run(4*time.Second, always(30*time.Millisecond), 0.95)
	require.Equal(t, catalog.Yielding, got)
	got, changes := v.run(60*time.Second, always(10*time.Millisecond), 0.6)
	require.Equal(t, catalog.Yielding, got)
	require.Zero(t, changes, "above half of the bounds")
	got, _ = v.run(12*time.Second, always(time.Millisecond), 0.6)
	require.Equal(t, catalog.Loaded, got)
	got, _ = v.run(8*time.Second, always(time.Millisecond), 0.1)
	require.Equal(t, catalog.Loaded, got)
	got, _ = v.run(4*time.Second, always(time.Millisecond), 0.1)
	require.Equal(t, catalog.Normal, got)
}

func TestUnknownLimitsAreNotExceeded(t *testing.T) {
	var m Monitor
	for i := range 200 {
		now := clock.Time(time.Duration(i+1) * 100 * time.Millisecond)
		require.Equal(t, catalog.Normal, m.Step(Sample{Lateness: 50 * time.Millisecond, Processor: time.Duration(now)}, Limits{}, now))
	}
}
