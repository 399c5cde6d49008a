package dbd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

// A connection above the limit is refused with 53300. A control connection is still accepted, since
// a server at its limit must be fenced too.
func TestConnectionLimit(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary, Connections: 2})
	first := dial(t, a)
	dial(t, a)
	url := "postgres://app@" + a.Addr() + "/ledger?sslmode=disable&application_name="
	_, err := pgx.Connect(t.Context(), url+"third")
	require.Equal(t, codeTooManyConnections, sqlState(err))
	c, err := pgx.Connect(t.Context(), url+ControlApplication)
	require.NoError(t, err)
	require.NoError(t, c.Close(t.Context()))
	require.NoError(t, first.Close(t.Context()))
	eventually(t, func() bool {
		c, err := pgx.Connect(t.Context(), url+"third")
		return err == nil && c.Close(t.Context()) == nil
	}, "the closed connection no longer counts towards the limit")
}

// A client that waits for the write lock sends a cancel request. It must not affect the transaction
// of the lock's owner.
func TestCancelWhileWaitingForWriteLock(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	owner, waiter := dial(t, a), dial(t, a)
	mustExec(t, owner, "BEGIN")
	done := make(chan error, 1)
	go func() {
		_, err := waiter.Exec(context.Background(), "INSERT INTO passes (id) VALUES ('w')")
		done <- err
	}()
	var err error
	eventually(t, func() bool {
		_ = waiter.PgConn().CancelRequest(t.Context())
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	}, "the canceled statement returns")
	require.Equal(t, codeQueryCanceled, sqlState(err))
	mustExec(t, owner, "INSERT INTO passes (id) VALUES ('o')")
	mustExec(t, owner, "COMMIT")
	require.Equal(t, 1, count(t, waiter))
}

// While a write transaction is open, reads of other connections see the state before it and do not
// wait.
func TestReadsDoNotWaitForOpenTransaction(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary, Slots: 1})
	owner := dial(t, a)
	mustExec(t, owner, "BEGIN")
	mustExec(t, owner, "INSERT INTO passes (id) VALUES ('o')")
	require.Equal(t, 0, count(t, dial(t, a)))
	require.Equal(t, 1, count(t, owner))
	mustExec(t, owner, "COMMIT")
	require.Equal(t, 1, count(t, dial(t, a)))
}

// A cut of Callers also affects a connection without an application_name.
func TestCutHoldsUnnamedCallers(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	c, err := pgx.Connect(t.Context(), "postgres://app@"+a.Addr()+"/ledger?sslmode=disable")
	require.NoError(t, err)
	defer func() { _ = c.Close(context.Background()) }()
	a.Faults().Cut(Callers, Answers)
	done := make(chan error, 1)
	go func() { done <- c.Ping(context.Background()) }()
	eventually(t, func() bool { return a.Faults().Hits().Answers > 0 }, "the answer is held back")
	a.Faults().Heal()
	require.NoError(t, <-done)
}

func TestPassword(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary, Users: map[string]string{"app": "secret"}})
	c, err := pgx.Connect(t.Context(), "postgres://app:secret@"+a.Addr()+"/ledger?sslmode=disable")
	require.NoError(t, err)
	require.NoError(t, c.Close(t.Context()))
	_, err = pgx.Connect(t.Context(), "postgres://app:wrong@"+a.Addr()+"/ledger?sslmode=disable")
	require.Equal(t, codeInvalidPassword, sqlState(err))
	_, err = pgx.Connect(t.Context(), "postgres://nobody:secret@"+a.Addr()+"/ledger?sslmode=disable")
	require.Equal(t, codeInvalidPassword, sqlState(err))
}

func TestControlEndpoint(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	h := httptest.NewServer(a.ControlHandler())
	defer h.Close()
	post := func(query string) int {
		res, err := http.Post(h.URL+"/fault?"+query, "", nil)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		return res.StatusCode
	}
	for _, q := range []string{"kind=freeze", "kind=thaw", "kind=cut&who=peers&direction=answers", "kind=heal",
		"kind=slow&factor=2", "kind=slow&factor=1", "kind=delay&delay=1ms"} {
		require.Equal(t, http.StatusNoContent, post(q), q)
	}
	for _, q := range []string{"kind=flood", "kind=cut&direction=up", "kind=slow&factor=x", "kind=delay"} {
		require.Equal(t, http.StatusBadRequest, post(q), q)
	}
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ($1)", "p")
	res, err := http.Get(h.URL + "/executions")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var list []Execution
	require.NoError(t, json.NewDecoder(res.Body).Decode(&list))
	require.Len(t, list, 1)
	require.Equal(t, []string{"INSERT INTO passes (id) VALUES ($1) | p"}, list[0].Statements)
}

// Reads one row per operation, over one connection for each goroutine and without a proxy: the
// baseline for measurements through a proxy.
func BenchmarkDirectRead(b *testing.B) {
	s, err := Start(Options{ID: "a", Role: RolePrimary, Seed: []string{passTable, "INSERT INTO passes (id, seat) VALUES ('p', 1)"}})
	require.NoError(b, err)
	defer s.Close()
	b.RunParallel(func(pb *testing.PB) {
		c, err := pgx.Connect(context.Background(), "postgres://app@"+s.Addr()+"/ledger?sslmode=disable")
		require.NoError(b, err)
		defer func() { _ = c.Close(context.Background()) }()
		var seat int
		for pb.Next() {
			if err := c.QueryRow(context.Background(), "SELECT seat FROM passes WHERE id = $1", "p").Scan(&seat); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// Inserts one row per operation over one connection, without a proxy.
func BenchmarkDirectWrite(b *testing.B) {
	s, err := Start(Options{ID: "a", Role: RolePrimary, Seed: []string{passTable}})
	require.NoError(b, err)
	defer s.Close()
	c, err := pgx.Connect(context.Background(), "postgres://app@"+s.Addr()+"/ledger?sslmode=disable")
	require.NoError(b, err)
	defer func() { _ = c.Close(context.Background()) }()
	for b.Loop() {
		_, err := c.Exec(context.Background(), "INSERT INTO passes (seat) VALUES ($1)", 1)
		require.NoError(b, err)
	}
}
