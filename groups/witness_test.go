package groups

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// atomicClock is advanced only by the test, and may be read concurrently.
type atomicClock struct{ now atomic.Int64 }

func (c *atomicClock) Now() clock.Time { return clock.Time(c.now.Load()) }

func (c *atomicClock) pass(d time.Duration) { c.now.Add(int64(d)) }

func newAtomicClock() *atomicClock {
	c := &atomicClock{}
	c.pass(time.Second)
	return c
}

// unresponsiveTargets answer no query.
type unresponsiveTargets struct{}

func (unresponsiveTargets) Control(context.Context, target.ID, lane.Command, time.Duration) ([]string, error) {
	return nil, errors.New("no answer")
}

func (unresponsiveTargets) Recent(context.Context, target.ID, time.Duration, time.Duration) ([]string, time.Duration, error) {
	return nil, 0, errors.New("no answer")
}

// record is the store's leadership record, which counts how often it is read.
type record struct {
	leadership catalog.LeadershipRecord
	read       int
}

func (r *record) Current(context.Context, string) (*catalog.LeadershipRecord, error) {
	r.read++
	return &r.leadership, nil
}

// queriedTargets record which targets were queried, and answer nothing.
type queriedTargets struct {
	unresponsiveTargets
	mu  sync.Mutex
	ids []target.ID
}

func (a *queriedTargets) Recent(ctx context.Context, id target.ID, maxAge, timeout time.Duration) ([]string, time.Duration, error) {
	a.mu.Lock()
	a.ids = append(a.ids, id)
	a.mu.Unlock()
	return a.unresponsiveTargets.Recent(ctx, id, maxAge, timeout)
}

func (a *queriedTargets) take() []target.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Sorted(slices.Values(a.ids))
	a.ids = nil
	return out
}

// A fleet of hundreds of VMs starts, and each VM uses each service for the first time. No other
// target claims to lead, so that one query for the term suffices. All targets are queried only if
// the listed primary does not answer, since another one may lead by then.
func TestFirstUseAsksOnlyTheListedPrimary(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		a := &queriedTargets{}
		h := catalog.NewHolder()
		reg := NewRegistry(Config{Catalog: h, Clock: monotonic.New(), Log: zap.NewNop(), Control: a})
		reg.Update(listing(h, 7, 10))
		time.Sleep(time.Second) // the daemon's clock is never 0
		ctx, cancel := context.WithTimeout(context.Background(), discoverInterval/2)
		defer cancel()
		_, err := reg.Group("s").Primary(ctx)
		require.ErrorIs(t, err, ErrNoPrimary)
		require.Equal(t, []target.ID{"p"}, a.take())
		ctx, cancel = context.WithTimeout(context.Background(), 2*discoverInterval)
		defer cancel()
		_, err = reg.Group("s").Primary(ctx)
		require.ErrorIs(t, err, ErrNoPrimary)
		require.Equal(t, []target.ID{"p", "r"}, a.take())
	})
}

// A network partition has cut a VM off from a new primary. The old one still answers it, and each
// of its reads looks for a proof until its timeout. The store's record is the same each time; if
// hundreds of VMs read it for each try, they exceed the store's rate limits.
func TestRecordOfReplacedPrimaryIsCached(t *testing.T) {
	clk := newAtomicClock()
	h := catalog.NewHolder()
	r := &record{leadership: catalog.LeadershipRecord{Service: "s", Revision: 9, Primary: "new"}}
	reg := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Control: unresponsiveTargets{}, Records: r, Eligible: func() bool { return false }})
	reg.Update(listing(h, 7, 10))
	g := reg.Group("s")
	b := leadership.State{Primary: "p", Term: 3}
	for range 20 {
		require.ErrorIs(t, g.Prove(context.Background(), b, 0, clk.Now()), ErrSuperseded)
		clk.pass(10 * time.Millisecond)
	}
	require.Equal(t, 1, r.read)
	require.ErrorIs(t, g.Prove(context.Background(), leadership.State{Primary: "q", Term: 4}, 0, clk.Now()), ErrSuperseded)
	require.Equal(t, 2, r.read, "another state is looked up")

	r.leadership = catalog.LeadershipRecord{Service: "s", Revision: 12, Primary: "p"}
	clk.pass(replacedTTL)
	require.NoError(t, g.Prove(context.Background(), b, 0, clk.Now()), "it leads again")
}

// While an attempt is under way its end must be detected soon, since the primary may remain.
func TestRecordOfOpenAttemptIsCachedBriefly(t *testing.T) {
	clk := newAtomicClock()
	h := catalog.NewHolder()
	r := &record{leadership: catalog.LeadershipRecord{Service: "s", Revision: 9, Attempt: &catalog.Attempt{Deposed: "p"}}}
	reg := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Control: unresponsiveTargets{}, Records: r, Eligible: func() bool { return false }})
	reg.Update(listing(h, 7, 10))
	g := reg.Group("s")
	b := leadership.State{Primary: "p", Term: 3}
	require.ErrorIs(t, g.Prove(context.Background(), b, 0, clk.Now()), ErrSuperseded)
	r.leadership = catalog.LeadershipRecord{Service: "s", Revision: 10, Primary: "p"}
	clk.pass(replacingTTL)
	require.NoError(t, g.Prove(context.Background(), b, 0, clk.Now()))
}

// Failure guarded against: after the store is restored from an older copy, a record from before the
// restore proves a primary, although another target was promoted since.
func TestRecordOfAnEarlierEraProvesNothing(t *testing.T) {
	clk := newAtomicClock()
	h := catalog.NewHolder()
	r := &record{leadership: catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(2, 9), Era: 1, Primary: "p"}}
	reg := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Control: unresponsiveTargets{}, Records: r, Eligible: func() bool { return false },
		Era: func() int64 { return 2 }})
	reg.Update(listing(h, 7, 10))
	g := reg.Group("s")
	b := leadership.State{Primary: "p", Term: 3}
	require.ErrorIs(t, g.Prove(context.Background(), b, 0, clk.Now()), ErrNoWitness)
	r.leadership = catalog.LeadershipRecord{Service: "s", Era: 1}
	require.ErrorIs(t, g.Prove(context.Background(), b, 0, clk.Now()), ErrNoWitness, "a missing record")
	r.leadership = catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(2, 12), Era: 2, Primary: "p"}
	require.NoError(t, g.Prove(context.Background(), b, 0, clk.Now()))
}

// Failure guarded against: a VM regains its permission because the store has lost the record of an
// attempt, while the attempt's holder continues.
func TestLaterEraDoesNotRestorePermission(t *testing.T) {
	clk := newAtomicClock()
	h := catalog.NewHolder()
	reg := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Eligible: func() bool { return true }})
	g := reg.Group("s")
	g.Revoke(catalog.RevisionOf(1, 450), "p")
	h.SetLeadershipRecord(&catalog.LeadershipRecord{Service: "s", Revision: catalog.RevisionOf(2, 300), Primary: "p"})
	require.True(t, g.hasRevoked())
	require.True(t, g.BeingReplaced("p"))
	clk.pass(takeover.ExpireAfter)
	require.False(t, g.hasRevoked())
}

// Failure guarded against: an attempt ends before a VM hears of the new primary, and what the VM sends the old
// one is answered in doubt.
func TestReplacedPrimaryGetsNothingUntilItsSuccessorIsKnown(t *testing.T) {
	clk := newAtomicClock()
	h := catalog.NewHolder()
	reg := NewRegistry(Config{Catalog: h, Clock: clk, Log: zap.NewNop(), Eligible: func() bool { return true }})
	g := reg.Group("s")
	g.Revoke(11, "p")
	h.SetLeadershipRecord(&catalog.LeadershipRecord{Service: "s", Revision: 12, Primary: "q"})
	require.True(t, g.BeingReplaced("p"))
	require.False(t, g.BeingReplaced("q"))
	h.SetLeadershipRecord(&catalog.LeadershipRecord{Service: "s", Revision: 14, Primary: "p"})
	require.False(t, g.BeingReplaced("p"), "it remains")
}
