package relay

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/loadreport"
	"endivemoor.example/endivemoor/ratelimit"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/target"
)

type movingClock struct{ now clock.Time }

func (c *movingClock) Now() clock.Time { return c.now }

// Failure guarded against: a report that is lost, late, repeated, left out by an older program or absurd
// sends reads to the wrong target for longer than a report counts.
func TestFaultsOfLoadReports(t *testing.T) {
	const ms = time.Millisecond
	full := &gossippb.LoadReport{WaitUs: 800_000, Overloaded: true}
	absurd := &gossippb.LoadReport{AgeUs: 1, WaitUs: math.MaxUint64, ServiceUs: math.MaxUint64, FailedPermille: math.MaxUint32, Overloaded: true, Statements: math.MaxUint32}
	type arrival struct {
		report      *gossippb.LoadReport
		sent, after time.Duration // before now; how long after it was sent the work ended
	}
	for name, cell := range map[string]struct {
		arrivals      []arrival
		known, isFull bool
		longest       time.Duration
	}{
		"lost":                       {},
		"from an older program":      {arrivals: []arrival{{}}},
		"prompt":                     {arrivals: []arrival{{report: full}}, known: true, isFull: true, longest: 800 * ms},
		"delayed":                    {arrivals: []arrival{{report: full, sent: 900 * ms}}, known: true, longest: 81 * ms},
		"too late":                   {arrivals: []arrival{{report: full, sent: time.Second}}},
		"duplicated":                 {arrivals: []arrival{{report: full, sent: 600 * ms}, {report: full, sent: 600 * ms}}, known: true, longest: 321 * ms},
		"overtaken by a later one":   {arrivals: []arrival{{report: &gossippb.LoadReport{}, sent: 10 * ms}, {report: full, sent: 400 * ms}}, known: true},
		"from the future":            {arrivals: []arrival{{report: full, after: time.Hour}, {report: &gossippb.LoadReport{}, after: time.Hour}}, known: true},
		"absurd":                     {arrivals: []arrival{{report: absurd}}, known: true, isFull: true, longest: 24 * time.Hour},
		"absurd, then a true one":    {arrivals: []arrival{{report: absurd, after: math.MaxInt64 / 2}, {report: &gossippb.LoadReport{}}}, known: true},
		"absurd, and then nothing":   {arrivals: []arrival{{report: absurd, sent: time.Second}}},
		"absurdly old":               {arrivals: []arrival{{report: &gossippb.LoadReport{AgeUs: math.MaxUint64, Overloaded: true}}}},
		"of an incarnation before":   {arrivals: []arrival{{report: &gossippb.LoadReport{Incarnation: 3, WaitUs: 800_000}}}, known: true, longest: 800 * ms},
		"of a reporter that is full": {arrivals: []arrival{{report: full, sent: 600 * ms}, {report: &gossippb.LoadReport{Reporter: "other"}}}, known: true, longest: 321 * ms},
	} {
		clk := &movingClock{now: clock.Time(48 * time.Hour)}
		c := &catalog.Catalog{Targets: map[target.ID]*catalog.Target{"x": {ID: "x", Incarnation: 7}}}
		r := NewRouter(RouterConfig{Clock: clk, Reports: loadreport.NewBook(), Statuses: NewStatuses(nil, clk)})
		r.Update(gateways.NewAssignment("me", c), c)
		now := clk.now
		for i, a := range cell.arrivals {
			clk.now = now.Add(time.Duration(i))
			r.recordReport("x", "g", a.report, r.endOfWork(clk.now.Add(-a.sent), a.after.Microseconds()))
		}
		load, known := r.reported("x", "g", 0, clk.now)
		require.Equal(t, cell.known, known, name)
		require.Equal(t, cell.isFull, load.Overloaded, name)
		require.LessOrEqual(t, load.ExpectedWait, cell.longest, name)
		require.GreaterOrEqual(t, load.ExpectedWait, time.Duration(0), name)
		require.LessOrEqual(t, load.Failed, 1.0, name)
		clk.now = clk.now.Add(loadreport.MaxAge)
		_, known = r.reported("x", "g", 0, clk.now)
		require.False(t, known, "%s: it counts for a second at most", name)
	}
}

// Failure guarded against: a request or reply for tokens that no VM sends lets operations pass that no
// owner has allowed, drains a bucket at once, or holds callers or VMs back for longer than an owner does.
func TestFaultsOfDraws(t *testing.T) {
	w, share := &catalog.Workspace{Name: "w", Limited: true, Rate: 900, Burst: 900}, ratelimit.Share{Owners: 3}
	buckets, now := ratelimit.NewBuckets(20), clock.Time(time.Hour)
	s := NewServer(ServerConfig{Draw: func(_ string, r ratelimit.Request) ratelimit.Reply { return buckets.Grant(now, w, share, r) }})
	for _, in := range []*relaypb.DrawRequest{
		{}, {Want: math.MaxUint32},
		{Want: math.MaxUint32, Demands: []*relaypb.Demand{{Priority: math.MinInt32, Operations: math.MaxUint32}, nil, {Priority: math.MaxInt32}}},
		{Demands: []*relaypb.Demand{{Priority: math.MaxInt32, Operations: math.MaxUint32}}},
	} {
		for range 2 { // also if it is duplicated
			out, err := s.Draw(context.Background(), in)
			require.NoError(t, err)
			require.InDelta(t, 32, out.GetTokens(), 32)
			require.Positive(t, out.GetTokens(), "%v, of a bucket of 300", in)
		}
	}
	request := ratelimit.Request{Want: 3, Priority: 1, Operations: 2}
	require.Zero(t, replyOf(&relaypb.DrawReply{}, request))
	for _, us := range []int64{math.MinInt64, -1, math.MaxInt64} {
		r := replyOf(&relaypb.DrawReply{Tokens: math.MaxUint32, ComeBackUs: us, IntervalUs: us}, request)
		require.Equal(t, 3, r.Tokens)
		for _, d := range []time.Duration{r.RetryAfter, r.Interval} {
			require.GreaterOrEqual(t, d, time.Duration(0))
			require.LessOrEqual(t, d, time.Second)
		}
	}
}

// Failure guarded against: times that no VM sends overflow, and a request that is due long ago is served
// before all others.
func TestAbsurdTimesOfAClaim(t *testing.T) {
	now := clock.Time(48 * time.Hour)
	for _, us := range []int64{math.MinInt64, -1} {
		require.True(t, claim(&relaypb.Claim{DueUs: us}, now).Options.Due.Before(now))
	}
	c := claim(&relaypb.Claim{DueUs: math.MaxInt64, QueueUs: math.MaxInt64, Class: math.MaxUint32, Caller: math.MaxUint64, Priority: math.MinInt32}, now)
	require.True(t, now.Before(c.Options.Due))
	require.Positive(t, c.QueueTimeout)
	old := claim(&relaypb.Claim{DueUs: 1}, now)
	require.Zero(t, old.Options.Class, "an older program states none: it counts as of the average")
	require.Zero(t, old.Options.Caller)
}
