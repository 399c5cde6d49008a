package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/ack"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/control"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// fakeServers answers control calls from a table that the test changes.
type fakeServers struct {
	mu           sync.Mutex
	status       map[target.ID]target.Status
	unresponsive map[target.ID]bool
	onStatus     func(id target.ID)
}

type fakeDB struct {
	target.Database
	id target.ID
	in *fakeServers
}

func (d fakeDB) Status(context.Context) (target.Status, error) {
	d.in.mu.Lock()
	defer d.in.mu.Unlock()
	if d.in.unresponsive[d.id] {
		return target.Status{}, errors.New("no answer")
	}
	if d.in.onStatus != nil {
		d.in.onStatus(d.id)
	}
	return d.in.status[d.id], nil
}

func (d fakeDB) Close(context.Context) error { return nil }

func newGate(f *fakeServers) (*Gate, *view.Group) {
	clk := monotonic.New()
	dial := func(_ context.Context, id target.ID, _ string) (target.Database, error) {
		return fakeDB{id: id, in: f}, nil
	}
	g := &view.Group{
		Name: "g", Term: 1, Primary: "a", History: timeline.History{{Term: 1}},
		Servers: []view.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}
	views := view.NewHolder()
	views.Adopt(g)
	links := control.NewLinks(dial, clk, time.Minute, nil)
	return &Gate{Gate: ack.Standard(), Links: links, Views: views, Clock: clk}, g
}

func newServers() *fakeServers {
	f := &fakeServers{status: map[target.ID]target.Status{}, unresponsive: map[target.ID]bool{}}
	for _, id := range []target.ID{"a", "b", "c"} {
		f.status[id] = target.Status{Server: id, Role: target.RoleReplica, Term: 1, Promised: 1, LSN: 5}
	}
	f.status["a"] = target.Status{Server: "a", Role: target.RolePrimary, Term: 1, Promised: 1, LSN: 9}
	return f
}

// A purchase commits at position 9 while both replicas are at 5. The acknowledgement must wait
// until one of them holds the purchase; otherwise a crash of the primary could lose an
// acknowledged write.
func TestAcknowledgementWaitsForAReplicaThatHoldsTheWrite(t *testing.T) {
	f := newServers()
	queries := 0
	f.onStatus = func(id target.ID) {
		if queries++; queries == 6 {
			f.status["c"] = target.Status{Server: "c", Term: 1, Promised: 1, LSN: 9}
		}
	}
	g, group := newGate(f)
	pos := timeline.Position{Term: 1, LSN: 9}
	require.NoError(t, g.Acknowledge(context.Background(), group, pos, profile.Confirmed))
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(t, queries, 6)
}

// The old primary a froze and was superseded: b is primary of term 2, and c follows it. A purchase
// commits at b and must not wait for a. In this test a never replies, so a wait for it would not
// end.
func TestAcknowledgementDoesNotWaitForAFrozenServer(t *testing.T) {
	f := newServers()
	g, group := newGate(f)
	next := *group
	next.Term, next.Primary = 2, "b"
	next.History = group.History.Append(timeline.Start{Term: 2, LSN: 5})
	g.Views.Adopt(&next)
	queries := 0
	f.onStatus = func(id target.ID) {
		lsn := timeline.LSN(5)
		if queries++; queries > 5 {
			lsn = 9
		}
		f.status["c"] = target.Status{Server: "c", Term: 2, Promised: 2, LSN: lsn}
	}
	g.Links = control.NewLinks(func(_ context.Context, id target.ID, _ string) (target.Database, error) {
		if id == "a" {
			return frozenDB{}, nil
		}
		return fakeDB{id: id, in: f}, nil
	}, g.Clock, time.Hour, nil)
	pos := timeline.Position{Term: 2, LSN: 9}
	require.NoError(t, g.Acknowledge(context.Background(), &next, pos, profile.Confirmed))
}

// The primary is partitioned and superseded while it commits: another server is primary of term 2,
// which started before the write. The caller must receive the outcome unknown.
func TestWriteBeyondTheNextTermsStartIsUnknown(t *testing.T) {
	f := newServers()
	g, group := newGate(f)
	next := *group
	next.Term, next.Primary = 2, "b"
	next.History = group.History.Append(timeline.Start{Term: 2, LSN: 5})
	g.Views.Adopt(&next)
	err := g.Acknowledge(context.Background(), group, timeline.Position{Term: 1, LSN: 9}, profile.Confirmed)
	o, ok := asOutcome(err)
	require.True(t, ok)
	require.Equal(t, outcome.Unknown, o.Outcome)
	require.Positive(t, o.RetryAfter)
}

// A session without its token connects to this VM, which still considers a the primary, but b and
// c have promised term 2. The floor must not be taken from a.
func TestFloorIsNotTakenFromASupersededPrimary(t *testing.T) {
	f := newServers()
	g, group := newGate(f)
	pos, err := g.Floor(context.Background(), group)
	require.NoError(t, err)
	require.Equal(t, timeline.LSN(9), pos.LSN)

	f.mu.Lock()
	for _, id := range []target.ID{"b", "c"} {
		f.status[id] = target.Status{Server: id, Term: 1, Promised: 2, LSN: 5}
	}
	f.mu.Unlock()
	_, err = g.Floor(context.Background(), group)
	o, ok := asOutcome(err)
	require.True(t, ok)
	require.Equal(t, outcome.NotRun, o.Outcome)
}

// asOutcome returns the *outcome.Error in the chain of err, if there is one.
func asOutcome(err error) (*outcome.Error, bool) {
	var o *outcome.Error
	ok := errors.As(err, &o)
	return o, ok
}
