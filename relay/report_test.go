package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/dispatch"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/outlier"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/statement"
	"endivemoor.example/endivemoor/target"
)

// loaded is a Runner whose target has a load.
type loaded struct {
	dispatch.Runner
	load lane.Load
}

func (l *loaded) Load(target.ID) lane.Load { return l.load }

// What a gateway sees reaches the VM that sends statements through it with each answer. Failure
// guarded against: an answer of a gateway that reports nothing, because its program is older, is
// taken for a report that the target is calm.
func TestLoadOfATargetReachesTheSender(t *testing.T) {
	gateway := NewServer(ServerConfig{Clock: fixedClock{}, Groups: noGroups(), Local: &loaded{load: lane.Load{
		InUse: 7, Queued: 12, ExpectedWait: 300 * time.Millisecond, ServiceTime: 40 * time.Millisecond, Overloaded: true,
	}}})
	c := &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x", Incarnation: 7}}}
	r := NewRouter(RouterConfig{Clock: fixedClock{}, Reports: loadreport.NewBook(), Statuses: NewStatuses(nil, fixedClock{})})
	r.Update(gateways.NewAssignment("me", c), c)
	r.recordReport("x", "g", nil, 1)
	_, known := r.reported("x", "g", 1, 1)
	require.False(t, known)
	sent, err := proto.Marshal(gateway.reply("x", &relaypb.RunRequest{}, nil, &dispatch.SetupError{Cause: errDeclined}))
	require.NoError(t, err)
	out := &relaypb.RunReply{}
	require.NoError(t, proto.Unmarshal(sent, out))
	require.Equal(t, int32(19), out.GetLoad(), "for VMs that do not use reports")
	r.recordReport("x", "g", out.GetLoadReport(), 1)
	load, known := r.reported("x", "g", 2, 1)
	require.True(t, known)
	require.Equal(t, lane.Load{Reported: true, InUse: 2, ExpectedWait: 300 * time.Millisecond, ServiceTime: 40 * time.Millisecond, Overloaded: true}, load)
	gateway.cfg.Local = &loaded{load: lane.Load{InUse: 7, ServiceTime: 40 * time.Millisecond}}
	_, calm := gateway.report("x")
	require.Zero(t, proto.Size(calm))
	r.recordReport("x", "g", calm, 2)
	load, _ = r.reported("x", "g", 2, 2)
	require.Equal(t, lane.Load{Reported: true, InUse: 2}, load)
	gateway.cfg.ReportsNothing = true
	inFlight, none := gateway.report("x")
	require.Equal(t, int32(7), inFlight)
	require.Nil(t, none, "without load reports, as from an older program")
	require.Equal(t, &gossippb.LoadReport{WaitUs: 80_000, ServiceUs: 40_000}, reportOf(lane.Load{InUse: 3, Parked: 1, Queued: 4, ServiceTime: 40 * time.Millisecond}))
}

func reportOf(l lane.Load) *gossippb.LoadReport {
	s := NewServer(ServerConfig{Clock: fixedClock{}, Local: &loaded{load: l}})
	_, out := s.report("x")
	return out
}

// Failure guarded against: a target counts as failing for a write that could not be done, for a
// gateway that did not reply, for a caller whose time has ended, or for a statement that never reached it.
func TestOnlyFailuresOfTheTargetCount(t *testing.T) {
	failed := &statement.Answer{Code: statement.Failed}
	for name, x := range map[string]struct {
		answer *statement.Answer
		err    error
		judged bool
		want   outlier.Outcome
		counts bool
	}{
		"a read's error":    {failed, nil, true, outlier.Errored, true},
		"a write's error":   {failed, nil, false, outlier.Errored, false},
		"a refusal":         {&statement.Answer{Code: statement.Lagging}, nil, true, outlier.Answered, true},
		"a lost answer":     {nil, &dispatch.LostError{Cause: errDeclined}, false, outlier.Lost, true},
		"a hurried caller":  {nil, &dispatch.LostError{Hurried: true, Cause: errDeclined}, true, outlier.Answered, false},
		"a silent gateway":  {nil, &dispatch.LostError{Gateway: "g", Cause: errDeclined}, true, outlier.Answered, false},
		"no connection yet": {nil, &dispatch.SetupError{Cause: errDeclined}, true, outlier.Answered, false},
	} {
		o, counts := outcomeOf(x.answer, x.err, x.judged)
		require.Equal(t, x.want, o, name)
		require.Equal(t, x.counts, counts, name)
	}
}

// Failure guarded against: reads that are errors in themselves fail at both replicas, and move to the
// primary, where they are errors too and delay writes.
func TestErrorsDoNotPlaceReads(t *testing.T) {
	var f outlier.Counter
	s := NewServer(ServerConfig{Clock: fixedClock{}, Local: &loaded{}, Failures: &f})
	for range loadreport.MaxStatements {
		f.Record(1, "s", "x", outlier.Errored)
	}
	c := &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x"}}}
	r := NewRouter(RouterConfig{Clock: fixedClock{}, Reports: loadreport.NewBook(), Statuses: NewStatuses(nil, fixedClock{})})
	r.Update(gateways.NewAssignment("me", c), c)
	_, out := s.report("x")
	require.NotZero(t, out.GetErroredPermille())
	r.recordReport("x", "g", out, 1)
	load, _ := r.reported("x", "g", 0, 1)
	require.Zero(t, load.Failed)
	require.Len(t, r.cfg.Reports.Failing("x", 0, 1), 1, "the detector has them")
}
