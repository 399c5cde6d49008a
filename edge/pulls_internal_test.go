package edge

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"endivemoor.example/endivemoor/clock"
)

// Guards against: a VM that receives no updates and does not log it, or logs it for every pull.
func TestLossOfUpdatesIsLoggedOnce(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	o := newPullOutcomes(zap.New(core), prometheus.NewRegistry(), clock.Time(time.Minute))
	timeout := errors.Wrap(context.DeadlineExceeded, "pull from x")
	for at := range 20 {
		o.record(clock.Time(time.Minute).Add(time.Duration(at)*200*time.Millisecond), "vm1", timeout)
	}
	o.record(clock.Time(time.Minute).Add(4*time.Second), "vm2", nil)
	require.Equal(t, 2, lines.Len())
	lost, regained := lines.All()[0].ContextMap(), lines.All()[1].ContextMap()
	require.Equal(t, pullTimedOut, lost["result"])
	require.Equal(t, 4*time.Second, regained["after"])
	require.EqualValues(t, 20, regained["missed"])
	require.Equal(t, pullFailed, pullResult(errors.New("refused")))
}
