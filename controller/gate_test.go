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

// fakeServers answer control calls from a table that the test changes.
type fakeServers struct {
	mu       sync.Mutex
	status   map[target.ID]target.Status
	silent   map[target.ID]bool
	onStatus func(id target.ID)
}

type fakeDB struct {
	target.Database
	id target.ID
	in *fakeServers
}

func (d fakeDB) Status(context.Context) (target.Status, error) {
	d.in.mu.Lock()
	defer d.in.mu.Unlock()
	if d.in.silent[d.id] {
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
	f := &fakeServers{status: map[target.ID]target.Status{}, silent: map[target.ID]bool{}}
	for _, id := range []target.ID{"a", "b", "c"} {
		f.status[id] = target.Status{Server: id, Role: target.RoleReplica, Term: 1, Promised: 1, LSN: 5}
	}
	f.status["a"] = target.Status{Server: "a", Role: target.RolePrimary, Term: 1, Promised: 1, LSN: 9}
	return f
}

// A purchase commits at 9, both replicas are at 5. The answer waits until one
// of them holds the purchase; a crash before that would have lost it.
func TestAcknowledgementWaitsForAReplicaThatHoldsTheWrite(t *testing.T) {
	f := newServers()
	asks := 0
	f.onStatus = func(id target.ID) {
		if asks++; asks == 6 {
			f.status["c"] = target.Status{Server: "c", Term: 1, Promised: 1, LSN: 9}
		}
	}
	g, group := newGate(f)
	pos := timeline.Position{Term: 1, LSN: 9}
	require.NoError(t, g.Acknowledge(context.Background(), group, pos, profile.Confirmed))
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(t, asks, 6)
}

// The old primary a froze and was superseded: b leads term 2, c follows it. A
// purchase commits at b. a answers no question; the purchase must not wait for
// that: here a never answers at all, so a wait would not end.
func TestAcknowledgementDoesNotWaitForAFrozenServer(t *testing.T) {
	f := newServers()
	g, group := newGate(f)
	next := *group
	next.Term, next.Primary = 2, "b"
	next.History = group.History.Append(timeline.Start{Term: 2, LSN: 5})
	g.Views.Adopt(&next)
	asks := 0
	f.onStatus = func(id target.ID) {
		lsn := timeline.LSN(5)
		if asks++; asks > 5 {
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

// The primary is cut off and superseded while it commits: another server leads
// term 2, which started before the write. The caller must hear "unknown".
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

// A session roams in without its token. This proxy still believes in a, but b
// and c have promised term 2. The floor must not be taken from a.
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

// asOutcome returns the typed error in err, if there is one.
func asOutcome(err error) (*outcome.Error, bool) {
	var o *outcome.Error
	ok := errors.As(err, &o)
	return o, ok
}
