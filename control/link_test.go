package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/clock/monotonic"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
	"endivemoor.example/endivemoor/view"
)

// stepDB replies to a status query only when the test releases it, and counts the queries.
type stepDB struct {
	target.Database
	mu      sync.Mutex
	lsn     timeline.LSN
	queries int
	started chan struct{}
	release chan struct{}
}

func (d *stepDB) Status(context.Context) (target.Status, error) {
	d.mu.Lock()
	d.queries++
	st := target.Status{Term: 1, LSN: d.lsn}
	d.mu.Unlock()
	d.started <- struct{}{}
	<-d.release
	return st, nil
}

func (d *stepDB) Close(context.Context) error { return nil }

func newStepLink(db *stepDB) *Link {
	dial := func(context.Context, target.ID, string) (target.Database, error) { return db, nil }
	return NewLink("g-a", "127.0.0.1:1", dial, monotonic.New(), time.Minute, nil)
}

// A write commits at position 7 while a status query is in flight that will return position 6. If
// the write's gate used that reply, it would evaluate the replica's state from before the commit.
// It must wait for a query that is sent afterwards.
func TestStatusNeverJoinsAQueryInFlight(t *testing.T) {
	db := &stepDB{lsn: 6, started: make(chan struct{}, 8), release: make(chan struct{})}
	l := newStepLink(db)
	first := make(chan Answer, 1)
	go func() { a, _ := l.Status(context.Background()); first <- a }()
	<-db.started

	db.mu.Lock()
	db.lsn = 7
	db.mu.Unlock()
	later := make(chan Answer, 20)
	for range 20 {
		q := l.joinNext()
		go func() { <-q.done; later <- q.answer }()
	}
	close(db.release)
	require.Equal(t, timeline.LSN(6), (<-first).Status.LSN)
	for range 20 {
		require.Equal(t, timeline.LSN(7), (<-later).Status.LSN)
	}
	require.Equal(t, 2, db.queries, "twenty commits share one round trip")
}

// A server is replaced and is reachable at another address. Control must not stay connected to the
// old address, which may belong to a superseded primary.
func TestMovedServerGetsANewLink(t *testing.T) {
	ls := NewLinks(nil, monotonic.New(), time.Second, nil)
	old := ls.Of(view.Server{ID: "g-a", Addr: "127.0.0.1:1"})
	require.Same(t, old, ls.Of(view.Server{ID: "g-a", Addr: "127.0.0.1:1"}))
	require.NotSame(t, old, ls.Of(view.Server{ID: "g-a", Addr: "127.0.0.1:2"}))
}
