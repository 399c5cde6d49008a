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

// movedSessions are sessions of a route that reads its own writes, whose database moves between services while the
// replicas of the first one apply late. Each session writes one item.
type movedSessions struct {
	*fleet
	routes        []catalog.Route
	sessions      []*consumer.Session
	inTransaction bool
}

// move has the database served by another service. Its route is removed first.
func (m *movedSessions) move(to string) {
	at := slices.IndexFunc(m.routes, func(r catalog.Route) bool { return r.Database == own })
	m.world.SetRoutes(slices.Delete(slices.Clone(m.routes), at, at+1)...)
	time.Sleep(150 * time.Millisecond)
	m.routes[at].Service = to
	m.world.SetRoutes(m.routes...)
	time.Sleep(150 * time.Millisecond)
}

func (m *movedSessions) write(value string) {
	for i, c := range m.sessions {
		if m.inTransaction {
			require.True(m.t, c.Query("BEGIN").OK())
		}
		require.True(m.t, c.Query(fmt.Sprintf("WRITE pass%d %s", i, value)).OK())
		if m.inTransaction {
			require.True(m.t, c.Query("COMMIT").OK())
		}
	}
}

func (m *movedSessions) requireReads(value string) {
	m.t.Helper()
	for range 4 {
		for i, c := range m.sessions {
			if m.inTransaction {
				require.True(m.t, c.Query("BEGIN READ").OK())
			}
			require.Equal(m.t, []string{value}, c.Query(fmt.Sprintf("READ pass%d", i)).Rows)
			if m.inTransaction {
				require.True(m.t, c.Query("COMMIT").OK())
			}
		}
	}
}

// delayReplicas has the replicas of the first service apply late.
func (m *movedSessions) delayReplicas() {
	for _, id := range m.group.Servers() {
		if id != m.group.Leader() {
			m.group.SetApplyDelay(id, 3500*time.Millisecond)
		}
	}
}

// Failure guarded against: the database of a session moves to another service and back while replicas apply
// late, and the session reads a log without its own commit from before.
func TestOwnCommitsAreSeenAfterADatabaseReturns(t *testing.T) {
	for name, c := range map[string]struct {
		moves         []string
		inTransaction bool
		promotion     bool
	}{
		"once":                    {moves: []string{"archive", service}},
		"twice":                   {moves: []string{"archive", service, "archive", service}},
		"through a third service": {moves: []string{"archive", "vault", service}},
		"across a promotion":      {moves: []string{"archive", service}, promotion: true},
		"in transactions":         {moves: []string{"archive", service}, inTransaction: true},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(f *fleet) { testMoves(f, c.moves, c.inTransaction, c.promotion) })
		})
	}
}

func testMoves(f *fleet, moves []string, inTransaction, promotion bool) {
	m := &movedSessions{fleet: f, routes: standardRoutes(), inTransaction: inTransaction}
	for _, name := range []string{"archive", "vault"} {
		group := f.world.AddGroup(database.Options{Service: name, Lag: 60 * time.Millisecond, StatementTime: 5 * time.Millisecond}, zones...)
		defer func() {
			for _, id := range group.Servers() {
				f.world.Crash(name, id)
			}
		}()
	}
	stop := make(chan struct{})
	var reading sync.WaitGroup
	defer reading.Wait()
	defer close(stop)
	for vm := range f.vms {
		m.sessions = append(m.sessions, f.session(vm, own), f.session(vm, own))
		// Exact reads sample the primary.
		reading.Go(func() { readUntil(f.session(vm, exact), stop) })
	}
	time.Sleep(time.Second)
	m.delayReplicas()
	m.write("renewed")
	for i, to := range moves {
		m.move(to)
		if to != service {
			m.write(fmt.Sprint("archived", i))
		}
		if promotion && i == 0 {
			f.world.Crash(service, f.group.Leader())
			time.Sleep(time.Second)
			m.delayReplicas()
		}
	}
	m.requireReads("renewed")
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
