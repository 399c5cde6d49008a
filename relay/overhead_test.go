package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/relay/relaypb"
)

// pairOfGateways plays statements, one every 1.4 s, through two gateways.
type pairOfGateways struct {
	overheads overheads
	now       clock.Time
}

const playedObjective = 150 * time.Millisecond

// run returns how many of n statements went to the first gateway.
func (p *pairOfGateways) run(n int, first, second func(i int) time.Duration) (atFirst int) {
	a, b := &catalog.VM{ID: "a"}, &catalog.VM{ID: "b"}
	for i := range n {
		p.now = p.now.Add(1400 * time.Millisecond)
		if p.overheads.slow(a, b, playedObjective, p.now) {
			p.overheads.record(b, second(i), p.now)
			continue
		}
		atFirst++
		p.overheads.record(a, first(i), p.now)
	}
	return atFirst
}

func adds(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

func TestOnlyAGatewayThatAddsMuchIsPassedOver(t *testing.T) {
	for _, x := range []struct {
		name          string
		first, second func(i int) time.Duration
		of            int
		atLeast, most int
	}{
		{"slow", adds(80 * time.Millisecond), adds(4 * time.Millisecond), 400, 50, 60},
		{"within a tenth of the objective", adds(15 * time.Millisecond), adds(time.Millisecond), 400, 400, 400},
		{"the other is as slow, as if this VM is", adds(80 * time.Millisecond), adds(60 * time.Millisecond), 400, 397, 400},
		{"both far away", adds(16 * time.Millisecond), adds(16 * time.Millisecond), 4000, 3970, 4000},
		{"both farther away", adds(80 * time.Millisecond), adds(80 * time.Millisecond), 4000, 3970, 4000},
		{"pauses", func(i int) time.Duration { return time.Duration(i%3/2) * 200 * time.Millisecond }, adds(4 * time.Millisecond), 400, 400, 400},
	} {
		got := (&pairOfGateways{}).run(x.of, x.first, x.second)
		require.GreaterOrEqual(t, got, x.atLeast, x.name)
		require.LessOrEqual(t, got, x.most, x.name)
	}
}

// Failure guarded against: a gateway that was slow for a while is never tried first again.
func TestAGatewayThatRecoversIsTriedFirst(t *testing.T) {
	p := &pairOfGateways{}
	p.run(50, adds(80*time.Millisecond), adds(4*time.Millisecond))
	p.run(30, adds(4*time.Millisecond), adds(4*time.Millisecond))
	require.Equal(t, 10, p.run(10, adds(4*time.Millisecond), adds(4*time.Millisecond)))
}

// Failure guarded against: as this VM itself is slow, the second gateway seems so as well, and the first
// one is not passed over when it is slow later.
func TestOldSamplesDoNotHideASlowGateway(t *testing.T) {
	p := &pairOfGateways{}
	p.run(50, adds(80*time.Millisecond), adds(80*time.Millisecond))
	p.run(500, adds(4*time.Millisecond), adds(4*time.Millisecond))
	require.Less(t, p.run(100, adds(80*time.Millisecond), adds(4*time.Millisecond)), 25)
}

// Failure guarded against: the wait in a gateway's queue, also of a statement of an open transaction, or
// a commit that waits for others, is taken for a slow gateway.
func TestWaitsAreNoOverhead(t *testing.T) {
	r := &Router{cfg: RouterConfig{Clock: fixedClock{}}}
	busy := &relaypb.RunReply{LoadReport: &gossippb.LoadReport{WaitUs: 5}}
	calm := &relaypb.RunReply{LoadReport: &gossippb.LoadReport{}}
	overloaded := &relaypb.RunReply{LoadReport: &gossippb.LoadReport{Overloaded: true}}
	for _, x := range []struct {
		in  *relaypb.RunRequest
		out *relaypb.RunReply
	}{
		{&relaypb.RunRequest{}, busy},
		{&relaypb.RunRequest{}, overloaded},
		{&relaypb.RunRequest{}, &relaypb.RunReply{}},
		{&relaypb.RunRequest{Commits: true}, calm},
		{&relaypb.RunRequest{Transaction: 1}, calm},
		{&relaypb.RunRequest{Transaction: 1}, busy},
		{&relaypb.RunRequest{Transaction: 1}, overloaded},
		{&relaypb.RunRequest{Transaction: 1}, &relaypb.RunReply{}},
		{&relaypb.RunRequest{Transaction: 1, Commits: true}, calm},
	} {
		r.recordOverhead(&catalog.VM{ID: "a"}, x.in, x.out, -1)
	}
	require.Empty(t, r.overheads.byVM)
	r.recordOverhead(&catalog.VM{ID: "a"}, &relaypb.RunRequest{}, &relaypb.RunReply{LoadReport: &gossippb.LoadReport{}}, -1)
	require.Len(t, r.overheads.byVM, 1)
}
