package lane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// Failure guarded against: a command gets its connection after its sender's authority has ended, and is sent.
func TestExpiredCommandIsNotSent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c, expired := groupsOf(1), false
		p := NewPool(monotonic.New(), func(*catalog.Target) Dialer {
			return func(ctx context.Context, workspace string) (Link, error) {
				expired = true
				return (&dialer{limit: 10}).dial(ctx, workspace)
			}
		})
		p.Update(c, gateways.NewAssignment("vm1", c).Share)
		ctx := WithExpiry(context.Background(), func() bool { return expired })
		_, err := p.Control(ctx, "s0-0", ResumeCommand, time.Second)
		require.ErrorIs(t, err, ErrExpired)
		expired = false
		_, err = p.Control(ctx, "s0-0", ResumeCommand, time.Second)
		require.NoError(t, err, "the connection is kept")
		require.False(t, Expired(context.Background()))
	})
}
