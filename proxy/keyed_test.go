package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
)

const purchaseSQL = "/*endivemoor kind=purchase&key=%s*/ INSERT INTO passes (id, seat) VALUES ('%s', 4) RETURNING id, seat"

func purchase(c *pgx.Conn, key, id string) (string, error) {
	var got string
	var seat int
	err := c.QueryRow(context.Background(), fmt.Sprintf(purchaseSQL, key, id)).Scan(&got, &seat)
	return got, err
}

// A request times out at its caller, which repeats it through another proxy. The purchase runs
// once, and both requests receive its answer.
func TestSameKeyRunsOnceAndRepeatsTheAnswer(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r1, r2 := startProxy(t, cl), startProxy(t, cl)
	for name, mode := range map[string]func(*pgx.ConnConfig){"simple": simple, "extended": func(*pgx.ConnConfig) {}} {
		t.Run(name, func(t *testing.T) {
			first, err := purchase(r1.connect(t, mode), name, name)
			require.NoError(t, err)
			again := r2.connect(t, mode)
			second, err := purchase(again, name, name)
			require.NoError(t, err)
			require.Equal(t, first, second)
			require.NotEmpty(t, token(again), "the repeat raises the watermark, too")
		})
	}
	require.Equal(t, 2, queryInt(t, r1.connect(t), "SELECT count(*) FROM passes"))
}

// Two proxies receive the same key concurrently, repeatedly. In every interleaving one request
// runs, and all callers receive the same outcome.
func TestRacingKeysRunOnce(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	rigs := []*rig{startProxy(t, cl), startProxy(t, cl)}
	const rounds, racers = 5, 6
	for i := range rounds {
		var wg sync.WaitGroup
		errs := make([]error, racers)
		key := fmt.Sprint("race", i)
		for j := range racers {
			c := rigs[j%2].connect(t)
			wg.Go(func() { _, errs[j] = purchase(c, key, key) })
		}
		wg.Wait()
		for _, err := range errs {
			require.NoError(t, err)
		}
	}
	require.Equal(t, rounds, queryInt(t, rigs[0].connect(t), "SELECT count(*) FROM passes"))
}

// The target commits a purchase, and the connection breaks before the answer arrives. The proxy
// looks up the key, finds the row and reports "done".
func TestLostCommitAnswerIsResolvedByTheKey(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	r.faults.breakOnRead("COMMIT\x00")
	got, err := purchase(c, "k7", "p7")
	require.NoError(t, err)
	require.Equal(t, "p7", got)
	require.Equal(t, 1, r.faults.hits)
	require.Len(t, r.last().Attempts, 2)
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM passes"))
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t)
	_, err := purchase(c, "k1", "p1")
	require.NoError(t, err)
	_, err = purchase(c, "k1", "p2")
	require.Equal(t, "22023", pgError(t, err).Code)
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM passes"))
}

// Two services use the same key. Neither may receive the other's answer in place of running.
func TestKeysOfTwoUsersAreApart(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	_, err := purchase(r.connect(t), "k1", "p1")
	require.NoError(t, err)
	other := r.connect(t, func(cfg *pgx.ConnConfig) { cfg.User = "other" })
	_, err = purchase(other, "k1", "p2")
	require.NoError(t, err)
	require.Equal(t, 2, queryInt(t, other, "SELECT count(*) FROM passes"))
}

func TestFailedRequestLeavesItsKeyFree(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('p1', 1)")
	_, err := purchase(c, "k1", "p1")
	require.Equal(t, "23505", pgError(t, err).Code)
	exec(t, c, "DELETE FROM passes")
	_, err = purchase(c, "k1", "p1")
	require.NoError(t, err)
}

// A statement that could end the proxy's transaction would drop the key's row and let the remaining
// statements run without it.
func TestKeyedRequestTakesNoTransactionControl(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t, simple)
	for _, sql := range []string{
		"ROLLBACK", "rollback; INSERT INTO passes VALUES ('x', 1)", "-- x\n/* y */ commit",
		"/* /* */ x */ COMMIT", "INSERT INTO passes VALUES ('x', 1); ROLLBACK; INSERT INTO passes VALUES ('x', 1)", "",
	} {
		_, err := c.Exec(context.Background(), "/*endivemoor kind=purchase&key=k1*/ "+sql+" --")
		require.Error(t, err, sql)
	}
	require.Zero(t, queryInt(t, c, "SELECT count(*) FROM passes"))
	_, err := c.Exec(context.Background(), "/*endivemoor kind=purchase*/ INSERT INTO passes VALUES ('x', 1)")
	require.Equal(t, "22023", pgError(t, err).Code, "the kind requires a key")
}

// A transaction carries a key. The caller does not receive its outcome and runs it again from
// BEGIN: the error reports at once that the first one committed.
func TestKeyedTransactionIsNotRepeated(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r1, r2 := startProxy(t, cl), startProxy(t, cl)
	const begin = "/*endivemoor kind=purchase&key=tx1*/ BEGIN"
	c := r1.connect(t)
	exec(t, c, begin)
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('p1', 1)")
	exec(t, c, "COMMIT")
	again := r2.connect(t)
	_, err := again.Exec(context.Background(), begin)
	e := pgError(t, err)
	require.Equal(t, "EM001", e.Code)
	require.Equal(t, "outcome=done", e.Detail)
	require.Equal(t, 1, queryInt(t, again, "SELECT count(*) FROM passes"))

	tx, err := again.Begin(context.Background())
	require.NoError(t, err)
	_, err = tx.Exec(context.Background(), "/*endivemoor key=tx1*/ INSERT INTO passes (id, seat) VALUES ('p2', 1)")
	require.Equal(t, "EM001", pgError(t, err).Code)
	require.ErrorIs(t, tx.Commit(context.Background()), pgx.ErrTxCommitRollback)
	require.Equal(t, 1, queryInt(t, again, "SELECT count(*) FROM passes"))
}

// The target commits a keyed transaction, and the connection breaks before the answer arrives. The
// proxy finds the key's row, passes the gate, and reports that the transaction committed.
func TestLostCommitOfATransactionIsResolvedByTheKey(t *testing.T) {
	for name, mode := range map[string]func(*pgx.ConnConfig){"simple": simple, "extended": func(*pgx.ConnConfig) {}} {
		t.Run(name, func(t *testing.T) {
			cl := startCluster(t, dbd.Options{})
			r := startProxy(t, cl)
			c := r.connect(t, mode)
			exec(t, c, "/*endivemoor kind=purchase&key=tx1*/ BEGIN")
			exec(t, c, "INSERT INTO passes (id, seat) VALUES ($1, 1)", "p1")
			r.faults.breakOnRead("COMMIT\x00")
			exec(t, c, "COMMIT")
			require.Equal(t, 1, r.faults.hits)
			require.NotEmpty(t, token(c))
			require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM passes"))
		})
	}
}

// The COMMIT of a keyed transaction does not reach the target. No row is found, which proves
// nothing, and the caller receives "unknown".
func TestUnfoundKeyStaysUnknown(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	exec(t, c, "/*endivemoor kind=hasty&key=tx1*/ BEGIN")
	exec(t, c, "INSERT INTO passes (id, seat) VALUES ('p1', 1)")
	r.faults.breakOnWrite("COMMIT\x00")
	_, err := c.Exec(context.Background(), "COMMIT")
	e := pgError(t, err)
	require.Equal(t, "08007", e.Code)
	require.Contains(t, e.Detail, "outcome=unknown")
	require.Greater(t, len(r.last().Attempts), 1, "the key was looked up")
	require.Empty(t, cl.committed(0))
}
