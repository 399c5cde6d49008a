package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/lane"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/target"
)

// suspendedGateway is the clock of a gateway that is suspended while a command waits for a connection, and
// its connections to targets.
type suspendedGateway struct {
	now     clock.Time
	expired bool
}

func (g *suspendedGateway) Now() clock.Time { return g.now }

func (g *suspendedGateway) Control(ctx context.Context, _ target.ID, _ lane.Command, timeout time.Duration) ([]string, error) {
	g.now = g.now.Add(timeout)
	g.expired = lane.Expired(ctx)
	return nil, nil
}

// Failure guarded against: a gateway is suspended with another VM's command, and sends it when it wakes.
func TestGatewaySendsNoCommandThatHasExpired(t *testing.T) {
	g := &suspendedGateway{now: clock.Time(time.Minute)}
	s := &Server{cfg: ServerConfig{Control: g, Clock: g}}
	_, _, err := s.command(context.Background(), "t", lane.ResumeCommand, &relaypb.AskRequest{TimeoutUs: 300_000})
	require.NoError(t, err)
	require.True(t, g.expired)
}
