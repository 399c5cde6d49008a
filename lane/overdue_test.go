package lane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// One statement of a VM may run at a target at a time, and the answer to one is lost. The next
// statements must not wait until it times out. Once its connection is discarded, one statement at
// a time may run again.
func TestOverdueStatementDoesNotBlockOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 5}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: 2, MaxIdle: 2, MaxRunning: 1})
		lost := acquire(t, l)
		_, err := l.Acquire(context.Background(), AcquireOptions{}, minOverdue/2)
		require.Error(t, err, "the first statement may still be answered")
		time.Sleep(minOverdue)
		l.maintain()
		next := acquire(t, l)
		_, err = l.Acquire(context.Background(), AcquireOptions{}, minOverdue/2)
		require.Error(t, err, "only one statement may run beside the overdue one")
		lost.Discard()
		_, err = l.Acquire(context.Background(), AcquireOptions{}, minOverdue/2)
		require.Error(t, err)
		next.Release()
		acquire(t, l).Release()
		require.Zero(t, l.overdue)
		require.Empty(t, l.busy)
	})
}

// A transaction waits for its consumer, runs a statement, and waits again. Only the time in which
// it runs a statement may make it overdue.
func TestParkedTimeIsNotOverdue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 5}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: 2, MaxIdle: 2, MaxRunning: 1})
		c := acquire(t, l)
		c.Park()
		time.Sleep(2 * minOverdue)
		l.maintain()
		require.Zero(t, l.overdue)
		require.NoError(t, c.Unpark(context.Background(), AcquireOptions{}, time.Second))
		l.maintain()
		require.Zero(t, l.overdue)
		time.Sleep(2 * minOverdue)
		l.maintain()
		require.Equal(t, 1, l.overdue)
		c.Park()
		require.Zero(t, l.overdue)
		c.Release()
	})
}

// A control command uses a connection that a statement used before. The time since then must not
// count as that of a statement.
func TestControlCommandsDoNotCountAsSlowStatements(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 5}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: 2, MaxIdle: 2, MaxRunning: 1})
		acquire(t, l).Release()
		time.Sleep(10 * time.Second)
		c, err := l.control(context.Background(), time.Second)
		require.NoError(t, err)
		c.Release()
		require.Less(t, l.waiting.times.average.mean, 10*time.Millisecond)
	})
}
