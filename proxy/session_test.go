package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/view"
)

// blockWriter opens a transaction directly at the primary, so that every write through the proxy
// waits for its lock.
func blockWriter(t *testing.T, cl *cluster) *pgx.Conn {
	c, err := pgx.Connect(context.Background(), "postgres://direct@"+cl.servers[0].Addr()+"/ledger?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('lock', 0)")
	return c
}

func startExec(c *pgx.Conn, sql string) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), sql)
		done <- err
	}()
	return done
}

func (r *rig) awaitInUse(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		st := r.pool.Stats("a")
		return st.Open-st.Idle >= n
	}, waitLimit, time.Millisecond)
}

func TestCancelStopsOnlyTheOwnStatement(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	lock := blockWriter(t, cl)
	mine, other := r.connect(t, simple), r.connect(t, simple)
	mineDone := startExec(mine, "INSERT INTO passes (id, seat) VALUES ('m', 1)")
	otherDone := startExec(other, "INSERT INTO passes (id, seat) VALUES ('o', 1)")
	r.awaitInUse(t, 2)
	var err error
	require.Eventually(t, func() bool {
		require.NoError(t, mine.PgConn().CancelRequest(context.Background()))
		select {
		case err = <-mineDone:
			return true
		default:
			return false
		}
	}, waitLimit, 10*time.Millisecond)
	require.Equal(t, "57014", pgError(t, err).Code)
	exec(t, lock, "ROLLBACK")
	require.NoError(t, <-otherDone)
	require.Equal(t, 1, queryInt(t, mine, "SELECT count(*) FROM passes"))
}

// All slots of the primary are taken. A caller cancels its request, which is still queued: it
// receives "not-run", and the request did not run.
func TestCancelOfAQueuedRequestIsNotRun(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	lock := blockWriter(t, cl)
	var blocked []chan error
	for range 3 {
		blocked = append(blocked, startExec(r.connect(t, simple), "INSERT INTO passes (id, seat) VALUES ('x', 1)"))
	}
	r.awaitInUse(t, 3)
	c := r.connect(t, simple)
	done := startExec(c, "INSERT INTO passes (id, seat) VALUES ('q', 1)")
	var err error
	require.Eventually(t, func() bool {
		require.NoError(t, c.PgConn().CancelRequest(context.Background()))
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	}, waitLimit, 10*time.Millisecond)
	e := pgError(t, err)
	require.Equal(t, "57014", e.Code)
	require.Contains(t, e.Detail, "outcome=not-run")
	exec(t, lock, "ROLLBACK")
	for _, b := range blocked {
		<-b
	}
}

func TestCancelForAnotherProxyIsForwardedAndAWrongSecretIgnored(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	var mu sync.Mutex
	var forwarded []uint32
	r := startProxy(t, cl, func(c *Config) {
		c.Node = 7
		c.RemoteCancel = func(_ context.Context, pid uint32, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			forwarded = append(forwarded, pid)
		}
	})
	c := r.connect(t)
	require.False(t, r.Cancel(context.Background(), c.PgConn().PID(), []byte("nope")))
	send := func(pid uint32) {
		conn, err := net.Dial("tcp", r.addr)
		require.NoError(t, err)
		buf, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: []byte("nope")}).Encode(nil)
		require.NoError(t, err)
		_, err = conn.Write(buf)
		require.NoError(t, err)
		_, _ = conn.Read(buf)
	}
	send(c.PgConn().PID())
	send(9<<nodeShift | 1)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []uint32{9<<nodeShift | 1}, forwarded)
}

// A proxy drains. Idle callers are disconnected with an error at once; an open transaction
// continues to its end, and a request in flight gets its answer.
func TestDrainCutsNothing(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	lock := blockWriter(t, cl)
	idle, open, running := r.connect(t), r.connect(t, simple), r.connect(t, simple)
	exec(t, open, "BEGIN READ ONLY")
	exec(t, open, "SELECT 1")
	inFlight := startExec(running, "INSERT INTO passes (id, seat) VALUES ('f', 1)")
	r.awaitInUse(t, 2)

	drained := make(chan error, 1)
	go func() { drained <- r.Drain(context.Background()) }()
	_, err := idle.PgConn().Conn().Read(make([]byte, 1))
	require.NoError(t, err, "the idle caller receives the reason")
	exec(t, open, "SELECT 1")
	exec(t, open, "COMMIT")
	exec(t, lock, "ROLLBACK")
	require.NoError(t, <-inFlight)
	require.NoError(t, <-drained)
	require.Zero(t, r.Sessions())
	_, err = pgx.Connect(context.Background(), r.dsn(""))
	require.Error(t, err)
}

// A drain must end although a caller never finishes its transaction. The transaction is rolled
// back, and the caller receives "not-run".
func TestDrainEndsAForgottenTransaction(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	p := testProfile()
	p.DrainGrace = time.Millisecond
	cl.views.Load().Profiles.Profiles["app"] = p
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('f', 1)")
	require.NoError(t, r.Drain(context.Background()))
	_, err := c.Exec(context.Background(), "COMMIT")
	var e *pgconn.PgError
	if errors.As(err, &e) {
		require.Equal(t, "57P01", e.Code)
		require.Contains(t, e.Detail, "outcome=not-run")
	}
	require.Error(t, err)
	require.Eventually(t, func() bool { return len(cl.servers[0].Executions()) > 0 }, waitLimit, time.Millisecond)
	require.Empty(t, cl.committed(0))
}

// A caller opens a transaction and sends no further statement. The transaction holds a scarce
// connection and a slot, so the proxy ends it and informs the caller.
func TestIdleTransactionIsEnded(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) {
		c.Limits.IdleInTransaction = time.Millisecond
	})
	c := r.connect(t, simple)
	exec(t, c, "BEGIN READ ONLY")
	require.Eventually(t, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
	require.Eventually(t, func() bool { return r.last().Code == codeIdleInTransaction }, waitLimit, time.Millisecond)
	require.Equal(t, "not-run", r.last().Outcome)
}

// A target is draining. New requests use another target or wait; a transaction that is open there
// continues within the profile's grace, and is ended as "not-run" when the grace is over.
func TestDrainingTargetKeepsItsTransactionForTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{waitLimit, 0} {
		cl := startCluster(t, dbd.Options{})
		p := testProfile()
		p.DrainGrace = grace
		cl.views.Load().Profiles.Profiles["app"] = p
		r := startProxy(t, cl)
		c := r.connect(t, simple)
		exec(t, c, "BEGIN")
		exec(t, c, "INSERT INTO passes (id, seat) VALUES ('d', 1)")
		cl.views.Update(func(v *view.View) { v.Draining = map[target.ID]bool{"a": true} })
		_, errInsert := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('e', 1)")
		_, errCommit := c.Exec(context.Background(), "COMMIT")
		if grace > 0 {
			require.NoError(t, errInsert)
			require.NoError(t, errCommit)
			require.Len(t, cl.committed(0), 1)
		} else {
			require.Error(t, errCommit)
			require.Eventually(t, func() bool { return r.last().Code == "57P01" }, waitLimit, time.Millisecond)
			require.Equal(t, "not-run", r.last().Outcome)
			require.Empty(t, cl.committed(0))
		}
		_, err := r.connect(t).Exec(context.Background(), "/*endivemoor kind=brief*/ INSERT INTO passes (id, seat) VALUES ('f', 1)")
		require.Contains(t, pgError(t, err).Detail, "outcome=not-run")
	}
}
