package edge

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/internal/bubble"
)

var errDown = errors.New("down")

// The store turns three callers away at once. The first tries again after the first
// pause of one caller, not that of a third failure in a row: a VM that has just
// started serves nobody until the store has answered.
func TestAnOutageIsTriedAgainSoon(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		o := &outage{clk: monotonic.New()}
		for range 3 {
			require.True(t, o.admit(context.Background()))
		}
		for range 3 {
			o.note(errDown)
		}
		began := time.Now()
		require.True(t, o.admit(context.Background()))
		require.LessOrEqual(t, time.Since(began), watchBackoff.Base)
	})
}

// One caller has a call under way that will succeed. Another one waits for its turn
// after many failures, and goes on the moment that the store answers.
func TestASuccessLetsAllGoOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		o := &outage{clk: monotonic.New()}
		o.note(errDown)
		for range 10 {
			require.True(t, o.admit(context.Background()))
			o.note(errDown)
		}
		time.AfterFunc(10*time.Millisecond, func() { o.note(nil) })
		began := time.Now()
		require.True(t, o.admit(context.Background()))
		require.Equal(t, 10*time.Millisecond, time.Since(began))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		require.False(t, o.admit(ctx))
	})
}
