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

// One statement of a VM may run at a target at once, and the answer to one is lost.
// Those that follow it must not wait until its time is over; and as soon as it is
// given up on, one runs at once again.
func TestOverdueStatementHoldsNobodyUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 5}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{Kept: 2, Idle: 2, Running: 1})
		lost := acquire(t, l)
		_, err := l.Acquire(context.Background(), Order{}, leastOverdue/2)
		require.Error(t, err, "it may still be answered")
		time.Sleep(leastOverdue)
		l.tend()
		next := acquire(t, l)
		_, err = l.Acquire(context.Background(), Order{}, leastOverdue/2)
		require.Error(t, err, "one runs beside it, no more")
		lost.Discard()
		_, err = l.Acquire(context.Background(), Order{}, leastOverdue/2)
		require.Error(t, err)
		next.Release()
		acquire(t, l).Release()
		require.Zero(t, l.overdue)
		require.Empty(t, l.busy)
	})
}

// A transaction waits for its consumer, runs a statement, and waits again. Only the
// time in which it runs something can make it overdue.
func TestRestIsNotOverdue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 5}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{Kept: 2, Idle: 2, Running: 1})
		c := acquire(t, l)
		c.Rest()
		time.Sleep(2 * leastOverdue)
		l.tend()
		require.Zero(t, l.overdue)
		require.NoError(t, c.Resume(context.Background(), Order{}, time.Second))
		l.tend()
		require.Zero(t, l.overdue)
		time.Sleep(2 * leastOverdue)
		l.tend()
		require.Equal(t, 1, l.overdue)
		c.Rest()
		require.Zero(t, l.overdue)
		c.Release()
	})
}

// The fleet asks a target how it is over a connection that a statement had used
// before. The time since then is not what a statement takes.
func TestQuestionsAreNotTakenForSlowStatements(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 5}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{Kept: 2, Idle: 2, Running: 1})
		acquire(t, l).Release()
		time.Sleep(10 * time.Second)
		c, err := l.control(context.Background(), time.Second)
		require.NoError(t, err)
		c.Release()
		require.Less(t, l.waiting.takes, 10*time.Millisecond)
	})
}
