package proxy

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/view"
)

// The answer to a write without a key is lost. The proxy must not send the write again, and must
// not report that it did not run, because it did.
func TestLostAnswerOfAnUnkeyedWriteIsUnknown(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	r.faults.breakOnRead("INSERT 0 1\x00")
	_, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n1', 1)")
	e := pgError(t, err)
	require.Equal(t, "08007", e.Code)
	require.Contains(t, e.Detail, "outcome=unknown retry-after-ms=")
	require.Equal(t, 1, r.faults.hits)
	require.Empty(t, token(c))
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM passes"))
}

// The answer to a write of an idempotent kind, and that to a read, are lost. The proxy repeats
// both, and the caller sees no failure.
func TestRepeatableRequestsSurviveALostAnswer(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t, simple)
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('n1', 1)")
	r.faults.breakOnRead("UPDATE 1\x00")
	exec(t, c, "/*endivemoor kind=set-seat*/ UPDATE passes SET seat = 9 WHERE id = 'n1'")
	r.faults.breakOnRead("SELECT 1\x00")
	require.Equal(t, 9, queryInt(t, c, "/*endivemoor kind=balance*/ SELECT seat FROM passes WHERE id = 'n1'"))
	require.Equal(t, 2, r.faults.hits)
}

// The connection breaks in the middle of a caller's transaction. The caller must not continue as if
// the transaction were open, since later statements would be committed without the earlier ones.
func TestBrokenTransactionEndsTheSession(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t, simple)
	exec(t, c, "BEGIN")
	r.faults.breakOnRead("INSERT 0 1\x00")
	_, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n1', 1)")
	require.Equal(t, "FATAL", pgError(t, err).Severity)
	require.True(t, c.IsClosed())
	require.Zero(t, queryInt(t, r.connect(t), "SELECT count(*) FROM passes"))
}

// The gate finds no proof that the primary still leads. The write is in the primary's log, but the
// caller receives neither "done" nor "not-run", and its watermark does not advance.
func TestUnprovenCommitIsUnknown(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	cl.gate.setRefuse(true)
	for _, sql := range []string{
		"INSERT INTO passes (id, seat) VALUES ('n1', 1)",
		"BEGIN; INSERT INTO passes (id, seat) VALUES ('n2', 1); COMMIT",
	} {
		_, err := c.Exec(context.Background(), sql)
		require.Equal(t, "08007", pgError(t, err).Code, sql)
	}
	tx, err := c.Begin(context.Background())
	require.NoError(t, err)
	_, err = tx.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n3', 1)")
	require.NoError(t, err)
	require.Equal(t, "08007", pgError(t, tx.Commit(context.Background())).Code)
	require.Empty(t, token(c))
	require.Empty(t, cl.gate.acked)
}

// The server that commits is not the primary of the term under which the write was sent. Its
// position says nothing about the history of the group.
func TestCommitUnderAnotherTermIsUnknown(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t)
	g := *cl.views.Load().Groups["ledger"]
	g.Term = 2
	cl.publish(g)
	_, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n1', 1)")
	require.Equal(t, "08007", pgError(t, err).Code)
	require.Empty(t, cl.gate.acked)
}

// A promotion happens while the proxy's view is outdated. The fenced primary itself refuses the
// write, so the proxy may wait for the new view and send the write to the new primary: the caller
// sees only a delay.
func TestWriteToAFencedPrimaryGoesToTheNewOne(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('n0', 1)")
	cl.caughtUp(t)
	g := cl.promote(t, 1, 2, 0)
	before := r.tracker.ends.Load()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n1', 1)")
		done <- err
	}()
	require.Eventually(t, func() bool { return r.tracker.ends.Load() > before }, waitLimit, time.Millisecond)
	cl.publish(g)
	require.NoError(t, <-done)
	require.Equal(t, "fenced", r.last().Attempts[0].Failure)
	require.Len(t, cl.committed(1), 1)
	require.Equal(t, 2, queryInt(t, c, "SELECT count(*) FROM passes"))
}

// The process of the primary has died, and this has not been detected yet. Writes that were not
// sent wait for the next primary instead of failing.
func TestQueuedWriteWaitsForTheNextPrimary(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	cl.caughtUp(t)
	cl.servers[0].Kill()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n1', 1)")
		done <- err
	}()
	cl.publish(cl.promote(t, 1, 2, 2))
	require.NoError(t, <-done)
	require.Len(t, cl.committed(1), 1)
}

// No primary is available before the deadline. The outcome is "not-run", because no byte was sent,
// and the error carries a retry-after.
func TestNoPrimaryIsNotRun(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t)
	cl.servers[0].Kill()
	_, err := c.Exec(context.Background(), "/*endivemoor kind=brief*/ INSERT INTO passes (id, seat) VALUES ('n1', 1)")
	e := pgError(t, err)
	require.Contains(t, e.Detail, "outcome=not-run retry-after-ms=")
	require.Contains(t, []string{"53300", "57P03"}, e.Code)
}

// A target answers long after the proxy has given up the request. The late answer must not reach
// any caller: neither the one that has its final answer, nor the next one on the same server.
func TestLateAnswersReachNobody(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	release, late := make(chan struct{}), make(chan struct{})
	startScripted(t, cl, func(b *pgproto3.Backend, sql string) {
		_, value, _ := strings.Cut(sql, "SELECT ")
		if value == "41" {
			<-release
			defer close(late)
		}
		b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 23}}})
		b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	})
	c := startProxy(t, cl).connect(t, simple)
	_, err := c.Exec(context.Background(), "/*endivemoor kind=brief*/ SELECT 41")
	require.Equal(t, "08007", pgError(t, err).Code)
	close(release)
	<-late
	for i := range 5 {
		require.Equal(t, i, queryInt(t, c, fmt.Sprintf("SELECT %d", i)))
	}
}

// Many callers run transactions over a few connections, some of which break or are left open. The
// target's record shows that no transaction contains statements of two callers.
func TestTransactionsNeverMix(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	const callers, rounds = 12, 8
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { churn(r, i, rounds) })
	}
	wg.Wait()
	for _, e := range cl.servers[0].Executions() {
		require.LessOrEqual(t, len(owners(e.Statements, callers)), 1, "mixed: %v", e.Statements)
	}
	require.Equal(t, callers*rounds*2, queryInt(t, r.connect(t), "SELECT count(*) FROM passes"))
}

func churn(r *rig, caller, rounds int) {
	ctx := context.Background()
	for j := range rounds {
		c, err := pgx.Connect(ctx, r.dsn(""))
		if err != nil {
			panic(err)
		}
		insert := func(part string) string {
			return fmt.Sprintf("INSERT INTO passes (id, seat) VALUES ('%s-%s-%d', %d)", name(caller), part, j, j)
		}
		mustDo(c, "BEGIN", insert("x"), insert("y"), "COMMIT", "BEGIN", insert("lost"))
		_ = c.Close(ctx)
	}
}

func mustDo(c *pgx.Conn, statements ...string) {
	for _, sql := range statements {
		if _, err := c.Exec(context.Background(), sql); err != nil {
			panic(err)
		}
	}
}

func name(caller int) string { return fmt.Sprintf("caller%02d", caller) }

func owners(statements []string, callers int) map[string]bool {
	found := map[string]bool{}
	for _, s := range statements {
		for i := range callers {
			if strings.Contains(s, name(i)) {
				found[name(i)] = true
			}
		}
	}
	return found
}

// A caller writes through one proxy and reads through another before the replicas have its write.
// It reads its write with its token, and also without.
func TestRoamingReadsItsOwnWrite(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	for _, s := range cl.servers[1:] {
		s.Faults().SetReplicationDelay(50 * time.Millisecond)
	}
	r1, r2 := startProxy(t, cl), startProxy(t, cl)
	const read = "/*endivemoor kind=balance*/ SELECT seat FROM passes WHERE id = 'p'"
	w := r1.connect(t)
	exec(t, w, "INSERT INTO passes (id, seat) VALUES ('p', 0)")
	for i := 1; i <= 6; i++ {
		exec(t, w, "UPDATE passes SET seat = $1 WHERE id = 'p'", i)
		roam := []func(*pgx.ConnConfig){}
		if i%2 == 0 {
			roam = append(roam, withToken(token(w)))
		}
		r2.observe()
		require.Equal(t, i, queryInt(t, r2.connect(t, roam...), read))
	}
}

// The token is from a term that this proxy has not received yet. The primary in its view is
// superseded, so no server in the view can be proven to hold the session's write: the read waits
// for the new view.
func TestTokenFromALaterTermWaitsForTheView(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r1 := startProxy(t, cl)
	stale := view.NewHolder()
	stale.Update(func(v *view.View) { *v = *cl.views.Load() })
	r2 := startProxy(t, cl, func(c *Config) { c.View = stale })
	cl.caughtUp(t)
	g := cl.promote(t, 1, 2, 2)
	cl.publish(g)
	w := r1.connect(t, simple)
	exec(t, w, "INSERT INTO passes (id, seat) VALUES ('p', 5)")
	c := r2.connect(t, simple, withToken(token(w)))
	_, err := c.Exec(context.Background(), "/*endivemoor kind=brief*/ SELECT seat FROM passes WHERE id = 'p'")
	require.Contains(t, pgError(t, err).Detail, "outcome=not-run")
	stale.Update(func(v *view.View) { v.Groups = cl.views.Load().Groups })
	require.Equal(t, 5, queryInt(t, c, "SELECT seat FROM passes WHERE id = 'p'"))
}

// A replica was promoted recently, and the proxy's view is outdated. A statement that was declared
// as a read, but writes, commits there. It passed no gate under the new term, so the caller
// receives "unknown" and not "done".
func TestWriteDeclaredAsReadAtANewPrimaryIsUnknown(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	cl.caughtUp(t)
	r.observe()
	cl.promote(t, 1, 2)
	cl.promote(t, 2, 3)
	_, err := c.Exec(context.Background(), "/*endivemoor kind=balance*/ INSERT INTO passes (id, seat) VALUES ('n1', 1)")
	require.Equal(t, "08007", pgError(t, err).Code)
	require.Empty(t, cl.gate.acked)
}
