package gossip

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/partners"
)

var busy = loadreport.Report{
	Target: "i-6a25603de1", Reporter: "edge-kasoa-west-986", Incarnation: 1_797_000_000_000, At: 1,
	Wait: 1234567 * time.Microsecond, ServiceTime: 123456 * time.Microsecond, Failed: .5, Errored: .25, Statements: 32, Overloaded: true,
}

// Failure guarded against: the reports of a fleet of 986 VMs and 1,000 services under load need more
// than the bytes that a VM's link has for control. A reply carries the same few reports however many
// targets and VMs there are.
func TestReportsNeedFewBytes(t *testing.T) {
	const pullsASecond, bound = partners.PerRound * 5, 5000
	reply := &gossippb.PullReply{}
	for range loadreport.MaxShared {
		reply.LoadReports = append(reply.LoadReports, LoadReportOf(busy, 400_000_000))
	}
	require.Less(t, proto.Size(reply)*pullsASecond, bound*2/3)
	require.Zero(t, proto.Size(LoadReportOf(loadreport.Report{}, 0)), "a calm target's report in an answer")
}

// The age of a report that was passed on is counted from before the request for it, so that it can
// only seem older.
func TestReportsKeepTheirAge(t *testing.T) {
	in := LoadReportOf(busy, busy.At.Add(300*time.Millisecond))
	out := LoadReport(in, "sender", 5_000_000_000)
	require.Equal(t, 300*time.Millisecond, (5_000_000_000 - time.Duration(out.At)))
	out.At = busy.At
	require.Equal(t, busy, out)
	require.Equal(t, "sender", LoadReport(&gossippb.LoadReport{}, "sender", 0).Reporter)
}

// Failure guarded against: an age that no peer can mean overflows, and the report lies in the future,
// where no later one replaces it.
func TestReportOfAnAbsurdAgeIsOld(t *testing.T) {
	now := clock.Time(48 * time.Hour)
	r := LoadReport(&gossippb.LoadReport{Target: "x", AgeUs: math.MaxUint64, WaitUs: math.MaxUint64}, "vm", now)
	require.Less(t, r.At, now.Add(-loadreport.MaxAge))
	require.Positive(t, r.Wait)
}

// Failure guarded against: a report that covers more statements than any VM counts makes its fraction
// seem small.
func TestReportCoversNoMoreThanAWindow(t *testing.T) {
	r := LoadReport(&gossippb.LoadReport{Target: "x", ErroredPermille: 400, Statements: math.MaxUint32}, "vm", 0)
	require.Equal(t, loadreport.MaxStatements, r.Statements)
	require.InDelta(t, .4, r.Errored, .001)
}
