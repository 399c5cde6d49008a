package dbd

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

const passTable = `CREATE TABLE passes (id TEXT PRIMARY KEY, seat INTEGER, note TEXT)`

// waitLimit bounds the wait for a condition, so that the test fails if the condition never holds.
const waitLimit = 20 * time.Second

func startServer(t *testing.T, o Options) *Server {
	t.Helper()
	o.Seed = append([]string{passTable}, o.Seed...)
	s, err := Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// startGroup starts a primary "a" and two replicas.
func startGroup(t *testing.T) (a, b, c *Server) {
	t.Helper()
	a = startServer(t, Options{ID: "a", Role: RolePrimary})
	b = startServer(t, Options{ID: "b", Primary: a.Addr()})
	c = startServer(t, Options{ID: "c", Primary: a.Addr()})
	return a, b, c
}

func dial(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), "postgres://app@"+s.Addr()+"/ledger?application_name=test")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustExec(t *testing.T, c *pgx.Conn, sqlText string, args ...any) {
	t.Helper()
	_, err := c.Exec(t.Context(), sqlText, args...)
	require.NoError(t, err, sqlText)
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

func eventually(t *testing.T, condition func() bool, what string) {
	t.Helper()
	require.Eventually(t, condition, waitLimit, time.Millisecond, what)
}

func count(t *testing.T, c *pgx.Conn) int {
	t.Helper()
	var n int
	require.NoError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM passes").Scan(&n))
	return n
}

func TestStatementsAndTypes(t *testing.T) {
	s := startServer(t, Options{ID: "a", Role: RolePrimary})
	c := dial(t, s)
	mustExec(t, c, "INSERT INTO passes (id, seat, note) VALUES ($1, $2, $3)", "k1", 12, nil)
	var id string
	var seat int64
	var note *string
	err := c.QueryRow(t.Context(), "SELECT id, seat, note FROM passes WHERE seat = $1", 12).Scan(&id, &seat, &note)
	require.NoError(t, err)
	require.Equal(t, "k1", id)
	require.Equal(t, int64(12), seat)
	require.Nil(t, note)
	require.Equal(t, 1, count(t, c))
	tag, err := c.Exec(t.Context(), "UPDATE passes SET seat = seat + 1")
	require.NoError(t, err)
	require.Equal(t, "UPDATE 1", tag.String())
	err = c.QueryRow(t.Context(), "INSERT INTO passes (id, seat) VALUES ('k2', 3) RETURNING seat").Scan(&seat)
	require.NoError(t, err)
	require.Equal(t, int64(3), seat)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeDescribeExec} {
		require.NoError(t, c.QueryRow(t.Context(), "SELECT seat FROM passes WHERE id = $1", mode, "k2").Scan(&seat))
		require.Equal(t, int64(3), seat)
	}
}

func TestTransactionStates(t *testing.T) {
	s := startServer(t, Options{ID: "a", Role: RolePrimary})
	c := dial(t, s).PgConn()
	exec := func(q string) error { return c.Exec(t.Context(), q).Close() }
	require.NoError(t, exec("BEGIN"))
	require.Equal(t, byte('T'), c.TxStatus())
	require.NoError(t, exec("INSERT INTO passes (id) VALUES ('x')"))
	require.Equal(t, "23505", sqlState(exec("INSERT INTO passes (id) VALUES ('x')")))
	require.Equal(t, byte('E'), c.TxStatus())
	require.Equal(t, "25P02", sqlState(exec("SELECT 1")))
	require.NoError(t, exec("COMMIT"))
	require.Equal(t, byte('I'), c.TxStatus())
	require.NoError(t, exec("BEGIN; INSERT INTO passes (id) VALUES ('a;b'); SAVEPOINT s; INSERT INTO passes (id) VALUES ('y'); ROLLBACK TO s; COMMIT"))
	require.Equal(t, "42P01", sqlState(exec("SELECT * FROM nowhere")))
	require.Equal(t, "42601", sqlState(exec("SELEC 1")))
	require.Equal(t, 1, count(t, dial(t, s)))
	require.NoError(t, exec("DISCARD ALL"))
	require.NoError(t, exec("SET search_path = x"))
	require.NoError(t, exec("/*endivemoor kind=purchase&key=k7*/"))
}

// A setting of one client must be undone by DISCARD ALL, by a rollback and, after SET LOCAL, by the
// end of the block: a pool that shares the connection among clients relies on it.
func TestSettings(t *testing.T) {
	c := dial(t, startServer(t, Options{ID: "a", Role: RolePrimary}))
	show := func(name string) (value string) {
		require.NoError(t, c.QueryRow(t.Context(), "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&value))
		return value
	}
	mustExec(t, c, "SET application_name = 'mine'")
	require.Equal(t, "mine", c.PgConn().ParameterStatus("application_name"))
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "SET LOCAL timezone TO 'Europe/Dublin'")
	require.Equal(t, "Europe/Dublin", show("timezone"))
	mustExec(t, c, "COMMIT")
	require.Equal(t, "UTC", show("timezone"))
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "SET application_name = 'undone'")
	mustExec(t, c, "ROLLBACK")
	require.Equal(t, "mine", show("application_name"))
	mustExec(t, c, "DISCARD ALL")
	require.Equal(t, "test", show("application_name"))
	require.Equal(t, "off", show("transaction_read_only"))
	_, err := c.Exec(t.Context(), "SHOW nothing")
	require.Equal(t, codeUndefinedObject, sqlState(err))
}

// A pipeline up to its Sync is one implicit transaction: when its second statement fails, the first
// must be rolled back.
func TestPipelineIsOneTransaction(t *testing.T) {
	s := startServer(t, Options{ID: "a", Role: RolePrimary})
	c := dial(t, s)
	b := &pgx.Batch{}
	b.Queue("INSERT INTO passes (id) VALUES ('p1')")
	b.Queue("INSERT INTO passes (id) VALUES ('p1')")
	require.Equal(t, "23505", sqlState(c.SendBatch(t.Context(), b).Close()))
	require.Equal(t, 0, count(t, c))
}

func TestReplicationAndStatus(t *testing.T) {
	a, b, _ := startGroup(t)
	c := dial(t, a)
	mustExec(t, c, "INSERT INTO passes (id) VALUES ('k1')")
	require.Equal(t, timeline.Position{Term: 1, LSN: 2}, a.Status().Position())
	eventually(t, func() bool { return b.Status().Position() == a.Status().Position() }, "b has replicated the entries of a")
	require.Equal(t, 1, count(t, dial(t, b)))
	_, err := dial(t, b).Exec(t.Context(), "INSERT INTO passes (id) VALUES ('k2')")
	require.Equal(t, "25006", sqlState(err))
	var st target.Status
	var role string
	err = c.QueryRow(t.Context(), "SELECT * FROM endivemoor_status()").
		Scan(&st.Server, &role, &st.Term, &st.Promised, &st.LSN, &st.Start)
	require.NoError(t, err)
	require.Equal(t, target.Status{Server: "a", Term: 1, Promised: 1, LSN: 2}, st)
	require.Equal(t, "primary", role)
}
