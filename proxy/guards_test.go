package proxy

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/internal/guard"
	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/pool"
)

// guardCheckers holds a checker for each guard. It causes the failure that the guard prevents, and
// compares the answers that the callers received with what the target recorded. With the guard the
// result is empty; without it the checker must find the breach.
var guardCheckers = map[guard.Name]func(t *testing.T, g guard.Set) string{
	filter.GuardGate:  checkGate,
	filter.GuardFloor: checkFloor,
	GuardTerm:         checkTerm,
	GuardKeyRow:       checkKeyRow,
	GuardKeyUser:      checkKeyUser,
	GuardDigest:       checkDigest,
	GuardControl:      checkControl,
	GuardStray:        checkStray,
	pool.GuardReset:   checkReset,
	pool.GuardClean:   checkClean,
}

// backedBy lists the guards that prevent the same failure: the reset of a returned connection with
// an open transaction also detects it, since the target refuses the reset.
var backedBy = map[guard.Name][]guard.Name{
	pool.GuardClean: {pool.GuardReset},
}

func TestCheckersDetectEachDisabledGuard(t *testing.T) {
	for name, check := range guardCheckers {
		t.Run(string(name), func(t *testing.T) {
			require.Empty(t, check(t, nil), "with all guards")
			out := guard.Without(append(backedBy[name], name)...)
			require.NotEmpty(t, check(t, out), "without the guard")
		})
	}
}

func guarded(t *testing.T, cl *cluster, g guard.Set) *rig {
	return startProxy(t, cl, func(c *Config) { c.Guards = g })
}

// checkGate looks for a commit without proof that is reported as done.
func checkGate(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	c := guarded(t, cl, g).connect(t)
	cl.gate.setRefuse(true)
	if _, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n', 1)"); err == nil {
		return "acknowledged without proof"
	}
	return ""
}

// checkFloor looks for a caller that moves to another proxy without its token and reads from before
// its own write.
func checkFloor(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	r1, r2 := startProxy(t, cl), guarded(t, cl, g)
	cl.caughtUp(t)
	r2.observe()
	for _, s := range cl.servers[1:] {
		s.Faults().SetReplicationDelay(waitLimit)
	}
	exec(t, r1.connect(t), "INSERT INTO passes (id, seat) VALUES ('n', 1)")
	if queryInt(t, r2.connect(t), "/*endivemoor kind=balance*/ SELECT count(*) FROM passes") == 0 {
		return "did not read its own write"
	}
	return ""
}

// checkTerm looks for a commit under another term than the request's that is reported as done.
func checkTerm(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	c := guarded(t, cl, g).connect(t)
	v := *cl.views.Load().Groups["ledger"]
	v.Term = 2
	cl.publish(v)
	if _, err := c.Exec(context.Background(), "INSERT INTO passes (id, seat) VALUES ('n', 1)"); err == nil {
		return "acknowledged under another term"
	}
	return ""
}

// checkKeyRow looks for a payment whose answer is lost and that runs again.
func checkKeyRow(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	r := guarded(t, cl, g)
	c := r.connect(t, simple)
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('n', 0)")
	r.faults.breakOnRead("COMMIT\x00")
	_, _ = c.Exec(context.Background(), "/*endivemoor kind=purchase&key=k*/ UPDATE passes SET seat = seat + 1")
	if n := queryInt(t, c, "SELECT seat FROM passes"); n != 1 {
		return fmt.Sprintf("ran %d times", n)
	}
	return ""
}

// checkKeyUser looks for a service that receives another service's answer, while its own request
// does not run.
func checkKeyUser(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	r := guarded(t, cl, g)
	exec(t, r.connect(t), "INSERT INTO passes (id, seat) VALUES ('n', 0)")
	const sql = "/*endivemoor kind=purchase&key=k*/ UPDATE passes SET seat = seat + 1"
	exec(t, r.connect(t, simple), sql)
	other := r.connect(t, simple, func(cfg *pgx.ConnConfig) { cfg.User = "other" })
	exec(t, other, sql)
	if n := queryInt(t, other, "SELECT seat FROM passes"); n != 2 {
		return "one of two users' payments did not run"
	}
	return ""
}

// checkDigest looks for a key that is reused for another purchase and whose caller receives the
// answer to the first one.
func checkDigest(t *testing.T, g guard.Set) string {
	c := guarded(t, startCluster(t, dbd.Options{}), g).connect(t)
	_, err := purchase(c, "k", "p1")
	require.NoError(t, err)
	if got, err := purchase(c, "k", "p2"); err == nil && got != "p2" {
		return "received the answer to another request"
	}
	return ""
}

// checkControl looks for a ROLLBACK inside a keyed request that drops the key's row, so that a repeat
// of the request runs again.
func checkControl(t *testing.T, g guard.Set) string {
	c := guarded(t, startCluster(t, dbd.Options{}), g).connect(t)
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('n', 0)")
	for range 2 {
		p := c.PgConn().StartPipeline(context.Background())
		p.SendQueryParams("/*endivemoor kind=purchase&key=k*/ ROLLBACK", nil, nil, nil, nil)
		p.SendQueryParams("UPDATE passes SET seat = seat + 1", nil, nil, nil, nil)
		_ = p.Sync()
		_ = p.Close()
	}
	if n := queryInt(t, c, "SELECT seat FROM passes"); n > 1 {
		return fmt.Sprintf("ran %d times", n)
	}
	return ""
}

// checkStray looks for a message that answers no request and becomes part of an answer.
func checkStray(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	startScripted(t, cl, func(b *pgproto3.Backend, _ string) {
		b.Send(&pgproto3.ParameterDescription{})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
	})
	c := guarded(t, cl, g).connect(t, simple)
	if _, err := c.Exec(context.Background(), "SELECT"); err == nil {
		return "a stray message was forwarded to the caller"
	}
	return ""
}

// checkReset looks for a prepared statement of one caller that is visible to the next one.
func checkReset(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	r := guarded(t, cl, g)
	one, two := r.connect(t), r.connect(t)
	_, err := one.Prepare(context.Background(), "s", "SELECT 1")
	require.NoError(t, err)
	_, err = two.Prepare(context.Background(), "s", "SELECT 2")
	if err != nil {
		return "found another caller's statement: " + err.Error()
	}
	return ""
}

// checkClean looks for a transaction that its caller left open and that the next caller continues.
func checkClean(t *testing.T, g guard.Set) string {
	cl := startCluster(t, dbd.Options{})
	r := guarded(t, cl, g)
	left := r.connect(t, simple)
	exec(t, left, "BEGIN")
	exec(t, left, "INSERT INTO passes (id, seat) VALUES ('left', 1)")
	require.NoError(t, left.Close(context.Background()))
	require.Eventually(t, func() bool {
		st := r.pool.Stats("a")
		return r.Sessions() == 0 && (st.Open == 0 || st.Idle > 0)
	}, waitLimit, time.Millisecond)
	_, _ = r.connect(t, simple).Exec(context.Background(), "/*endivemoor kind=brief*/ INSERT INTO passes (id, seat) VALUES ('next', 1)")
	for _, e := range cl.servers[0].Executions() {
		all := strings.Join(e.Statements, ";")
		if strings.Contains(all, "'left'") && strings.Contains(all, "'next'") {
			return "mixed: " + all
		}
	}
	if n := len(cl.committed(0)); n != 1 {
		return fmt.Sprintf("%d transactions committed, not 1", n)
	}
	return ""
}
