package lane

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/gateways"
	"endivemoor.example/endivemoor/internal/bubble"
)

// forWorkspace acquires a connection and requires that it was opened for the workspace.
func forWorkspace(t *testing.T, l *Lane, workspace string, timeout time.Duration) *Conn {
	t.Helper()
	c, err := l.Acquire(context.Background(), AcquireOptions{Workspace: workspace, Due: l.clk.Now().Add(200 * time.Millisecond)}, timeout)
	require.NoError(t, err)
	require.Equal(t, workspace, c.workspace)
	return c
}

// Failure guarded against: a statement runs on a connection that was opened for another workspace.
func TestConnectionServesOneWorkspace(t *testing.T) {
	inBubble(t, 10, 10, func(l *Lane, d *dialer) {
		forWorkspace(t, l, "north", time.Second).Release()
		forWorkspace(t, l, "south", time.Second).Release()
		forWorkspace(t, l, "north", time.Second).Release()
		_, dials := d.links()
		require.Equal(t, 2, dials, "the first connection is reused")
	})
}

// Failure guarded against: a workspace gets no connection because others retain all of them.
func TestIdleConnectionOfAnotherWorkspaceMakesRoom(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := &dialer{limit: 3}
		l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: 3, MaxIdle: 3, MaxRunning: 2})
		for i := range 12 {
			forWorkspace(t, l, fmt.Sprint("w", i), 100*time.Millisecond).Release()
		}
		require.Equal(t, 3, l.Load().Open)
	})
}

// Failure guarded against: a workspace's requests wait behind those of others until they time out,
// because each released connection goes to a workspace that has one.
func TestBusyWorkspacesDoNotStarveOthers(t *testing.T) {
	for _, open := range []int{2, 10} {
		bubble.Test(t, func(t *testing.T) {
			d := &dialer{limit: open}
			l := newLane("x", d.dial, monotonic.New(), gateways.Share{MaxOpen: open, MaxIdle: open, MaxRunning: 2})
			var wait sync.WaitGroup
			end := time.Now().Add(2 * time.Second)
			for i := range 6 {
				wait.Go(func() {
					for time.Now().Before(end) {
						c := forWorkspace(t, l, fmt.Sprint("busy", i%2), time.Second)
						time.Sleep(10 * time.Millisecond)
						c.Release()
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			for range 5 {
				forWorkspace(t, l, "idle", 300*time.Millisecond).Release()
				time.Sleep(100 * time.Millisecond)
			}
			wait.Wait()
		})
	}
}

// Failure guarded against: the target is unreachable, and the requests of a workspace without a
// connection wait until they time out, because connections of other workspaces still seem to be
// open.
func TestUnreachableTargetFailsRequestsOfAWorkspaceWithoutAConnection(t *testing.T) {
	inBubble(t, 10, 10, func(l *Lane, d *dialer) {
		forWorkspace(t, l, "north", time.Second).Release()
		d.mu.Lock()
		d.err = errors.New("no route")
		d.mu.Unlock()
		_, err := l.Acquire(context.Background(), AcquireOptions{Workspace: "south"}, time.Second)
		var u *UnavailableError
		require.ErrorAs(t, err, &u)
		require.False(t, u.Expired)
		synctest.Wait()
	})
}

// Failure guarded against: an overload is not detected because skipped requests count as served.
func TestSkippedRequestsAreNotServed(t *testing.T) {
	q := &queue{detectsLate: true}
	for _, w := range []string{"a", "b"} {
		q.push(&waiter{opts: AcquireOptions{Workspace: w, Due: 1}})
	}
	require.Nil(t, q.next(10, func(w *waiter) bool { return w.opts.Workspace == "c" }))
	require.Equal(t, 2, q.Len())
	served := q.lateServed
	require.Nil(t, q.next(20, func(w *waiter) bool { return w.opts.Workspace == "c" }))
	require.Equal(t, served, q.lateServed)
	require.Equal(t, "b", q.next(30, func(w *waiter) bool { return w.opts.Workspace == "b" }).opts.Workspace)
}
