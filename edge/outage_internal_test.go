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

// Guards against: a first retry that is delayed as if after three failures in a row because the
// store refused three callers at once. A VM that has just started serves nothing until the store
// has answered.
func TestAnOutageIsTriedAgainSoon(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		o := &outage{clk: monotonic.New()}
		for range 3 {
			require.True(t, o.admit(context.Background()))
		}
		for range 3 {
			o.record(errDown)
		}
		began := time.Now()
		require.True(t, o.admit(context.Background()))
		require.LessOrEqual(t, time.Since(began), watchBackoff.Base)
	})
}

// Guards against: callers that keep waiting after the store has recovered. One caller has a call in
// flight that will succeed. Another one waits in backoff after many failures, and continues as soon
// as the store answers.
func TestSuccessAdmitsAllWaitingCallers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		o := &outage{clk: monotonic.New()}
		o.record(errDown)
		for range 10 {
			require.True(t, o.admit(context.Background()))
			o.record(errDown)
		}
		time.AfterFunc(10*time.Millisecond, func() { o.record(nil) })
		began := time.Now()
		require.True(t, o.admit(context.Background()))
		require.Equal(t, 10*time.Millisecond, time.Since(began))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		require.False(t, o.admit(ctx))
	})
}
