package edge_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/database"
)

// Failure guarded against: the database of a session moves to another service and back while replicas apply
// late, and the session reads a log without its own commit from before.
func TestOwnCommitsAreSeenAfterADatabaseReturns(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		const other = "archive"
		archive := f.world.AddGroup(database.Options{Service: other, Lag: 60 * time.Millisecond, StatementTime: 5 * time.Millisecond}, zones...)
		defer func() {
			for _, id := range archive.Servers() {
				f.world.Crash(other, id)
			}
		}()
		routes := standardRoutes()
		move := func(to string) {
			// The route is removed first.
			at := slices.IndexFunc(routes, func(r catalog.Route) bool { return r.Database == own })
			f.world.SetRoutes(slices.Delete(slices.Clone(routes), at, at+1)...)
			time.Sleep(300 * time.Millisecond)
			routes[at].Service = to
			f.world.SetRoutes(routes...)
			time.Sleep(300 * time.Millisecond)
		}
		stop := make(chan struct{})
		var reading sync.WaitGroup
		defer reading.Wait()
		defer close(stop)
		var sessions []*consumer.Session
		for vm := range f.vms {
			sessions = append(sessions, f.session(vm, own), f.session(vm, own))
			// Exact reads sample the primary.
			reading.Go(func() { readUntil(f.session(vm, exact), stop) })
		}
		time.Sleep(time.Second)
		for _, id := range f.group.Servers() {
			if id != f.group.Leader() {
				f.group.SetApplyDelay(id, 3500*time.Millisecond)
			}
		}
		write := func(value string) {
			for i, c := range sessions {
				require.True(t, c.Query(fmt.Sprintf("WRITE pass%d %s", i, value)).OK())
			}
		}
		write("renewed")
		move(other)
		write("archived")
		move(service)
		for range 4 {
			for i, c := range sessions {
				require.Equal(t, []string{"renewed"}, c.Query(fmt.Sprintf("READ pass%d", i)).Rows)
			}
		}
	})
}

// readUntil reads again and again until it is stopped.
func readUntil(c *consumer.Session, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			c.Query("READ seat")
		}
	}
}
