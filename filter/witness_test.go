package filter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/request"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// floorGate answers Floor with a fixed error and counts the calls.
type floorGate struct {
	err   error
	calls int
}

func (g *floorGate) Acknowledge(context.Context, *view.Group, timeline.Position, profile.Durability) error {
	return nil
}

func (g *floorGate) Floor(context.Context, *view.Group) (timeline.Position, error) {
	g.calls++
	return timeline.Position{}, g.err
}

func readAt(server *view.Server, g *view.Group, maxAge time.Duration) *Request {
	return &Request{
		Clock:    monotonic.New(),
		Deadline: monotonic.New().Now().Add(time.Minute),
		Kind:     &profile.Kind{Access: profile.Read, MaxAge: maxAge},
		Executes: true,
		Group:    g,
		Server:   server,
		Floor:    session.Floor{Source: session.SourceToken},
	}
}

// Failure guarded against: a balance check of a session with a token is routed to a primary that
// was cut off and superseded a second ago, and this proxy's view does not show it. The answer must
// not be returned as current.
func TestExactReadOfASupersededPrimaryIsNotAnswered(t *testing.T) {
	g := &view.Group{Name: "g", Primary: "a", Servers: []view.Server{{ID: "a"}, {ID: "b"}}}
	gate := &floorGate{err: errors.New("b has promised term 2")}
	served := func(context.Context, *Request) *Failure { return nil }
	fail := Witness{gate}.Handle(context.Background(), readAt(&g.Servers[0], g, 0), served)
	require.NotNil(t, fail)
	require.Equal(t, request.FailureSuperseded, fail.Cause)

	gate.err = nil
	require.Nil(t, Witness{gate}.Handle(context.Background(), readAt(&g.Servers[0], g, 0), served))
	require.Equal(t, 2, gate.calls)
	require.Nil(t, Witness{gate}.Handle(context.Background(), readAt(&g.Servers[1], g, time.Second), served))
	require.Equal(t, 2, gate.calls, "a read that accepts an age relies on the router's evidence")
}
