package loadreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/target"
)

const ms = time.Millisecond

func at(n int) clock.Time { return clock.Time(n+1) * clock.Time(ms) }

// Failure guarded against: a report of a queue keeps reads away from a target long after the queue
// has gone, since nobody asks the target any more who could learn better.
func TestReportIsWorthLessAsItAges(t *testing.T) {
	b := NewBook()
	b.Record(Report{Target: "x", Reporter: "g", At: at(0), Wait: 800 * ms, Overloaded: true})
	fresh := b.Estimate("x", 0, "g", at(100))
	require.Equal(t, Estimate{Known: true, Wait: 720 * ms, Overloaded: true}, fresh)
	require.Equal(t, Estimate{Known: true, Wait: 400 * ms}, b.Estimate("x", 0, "g", at(500)))
	require.Zero(t, b.Estimate("x", 0, "g", at(1000)))
}

// Failure guarded against: a VM that was suspended for seconds passes on what it knew before, and
// the reports of other VMs that were made meanwhile are overwritten by it.
func TestReportOfASuspendedVMIsOld(t *testing.T) {
	b, suspended := NewBook(), NewBook()
	suspended.Record(Report{Target: "x", Reporter: "g", At: at(0), Wait: 800 * ms})
	require.Len(t, suspended.Share(at(100), func(target.ID) bool { return true }), 1)
	require.Empty(t, suspended.Share(at(3000), func(target.ID) bool { return true }))
	b.Record(Report{Target: "x", Reporter: "g", At: at(2900)})
	b.Record(Report{Target: "x", Reporter: "g", At: at(0), Wait: 800 * ms})
	require.Equal(t, Estimate{Known: true}, b.Estimate("x", 0, "g", at(3000)))
}

// Two gateways of a target contradict each other: each has its own queue. Requests wait in that of
// the gateway that this VM uses, so its report counts, and only without one the newest.
func TestContradictingReports(t *testing.T) {
	b := NewBook()
	b.Record(Report{Target: "x", Reporter: "g1", At: at(0), Wait: 400 * ms})
	b.Record(Report{Target: "x", Reporter: "g2", At: at(10)})
	require.NotZero(t, b.Estimate("x", 0, "g1", at(20)).Wait)
	require.Zero(t, b.Estimate("x", 0, "g2", at(20)).Wait)
	require.Zero(t, b.Estimate("x", 0, "g3", at(20)).Wait)
}

// Failure guarded against: a target starts again under its id and inherits the queue of the one
// before, also from a VM that has not heard of the new one yet.
func TestReportsOfAnEarlierIncarnationAreDropped(t *testing.T) {
	b := NewBook()
	b.Record(Report{Target: "x", Reporter: "g", Incarnation: 7, At: at(0), Wait: 400 * ms})
	require.True(t, b.Estimate("x", 7, "g", at(1)).Known)
	require.True(t, b.Estimate("x", 0, "g", at(1)).Known)
	require.Zero(t, b.Estimate("x", 8, "g", at(1)))
	b.Retain(func(target.ID) (int64, bool) { return 8, true })
	require.Empty(t, b.reports)
}

// Failure guarded against: a target is set aside by reports that are old, of another incarnation, or of
// programs that do not say how many statements have failed.
func TestReportsThatCountFailures(t *testing.T) {
	b := NewBook()
	b.Record(Report{Target: "x", Reporter: "old program", At: at(0), Failed: .4})
	require.False(t, b.Failures(at(0)))
	require.Empty(t, b.Failing("x", 0, at(0)))
	b.Record(Report{Target: "x", Reporter: "g", Incarnation: 7, At: at(0), Failed: .4, Statements: 32})
	require.True(t, b.Failures(at(999)))
	require.Len(t, b.Failing("x", 7, at(999)), 1)
	require.Empty(t, b.Failing("x", 8, at(0)))
	require.False(t, b.Failures(at(1000)))
	require.Empty(t, b.Failing("x", 7, at(1000)))
}

// Failure guarded against: gateways that come and go, or targets by the thousand, grow the memory of
// a VM or the bytes of a pull.
func TestReportsAreBounded(t *testing.T) {
	b := NewBook()
	for i := range 1000 {
		id := target.ID(fmt.Sprintf("x%d", i/10))
		b.Record(Report{Target: id, Reporter: fmt.Sprintf("g%d", i), At: at(i), Wait: ms})
	}
	require.Len(t, b.reports["x0"], maxReporters)
	shared := b.Share(at(1000), func(target.ID) bool { return true })
	require.Len(t, shared, MaxShared)
	require.Equal(t, "g999", shared[0].Reporter, "the newest spread first")
	b.Retain(func(target.ID) (int64, bool) { return 0, false })
	require.Empty(t, b.reports)
}

// Failure guarded against: reports of targets that fail a little displace that of one at which
// requests are refused.
func TestReportsOfQueuesAreSharedFirst(t *testing.T) {
	b := NewBook()
	b.Record(Report{Target: "full", Reporter: "g", At: at(0), Wait: 700 * ms, Overloaded: true})
	for i := range MaxShared {
		b.Record(Report{Target: target.ID(fmt.Sprint(i)), Reporter: "g", At: at(1), Errored: .2, Statements: MaxStatements})
	}
	require.Equal(t, target.ID("full"), b.Share(at(2), func(target.ID) bool { return true })[0].Target)
}
