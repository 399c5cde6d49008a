package pgtarget_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/target/pgtarget"
	"endivemoor.example/endivemoor/timeline"
)

const waitLimit = 20 * time.Second

func start(t *testing.T, o dbd.Options) (*dbd.Server, target.Database) {
	t.Helper()
	o.Seed = []string{"CREATE TABLE passes (id TEXT PRIMARY KEY)"}
	s, err := dbd.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	d, err := pgtarget.Dial(t.Context(), o.ID, "postgres://control@"+s.Addr()+"/ledger?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Close(context.Background()) })
	return s, d
}

func write(t *testing.T, s *dbd.Server, id string) {
	t.Helper()
	conn, err := pgconn.Connect(t.Context(), "postgres://app@"+s.Addr()+"/ledger?sslmode=disable")
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	require.NoError(t, conn.Exec(t.Context(), "INSERT INTO passes VALUES ('"+id+"')").Close())
}

func atEnd(t *testing.T, d target.Database, p timeline.Position) {
	t.Helper()
	require.Eventually(t, func() bool {
		st, err := d.Status(t.Context())
		return err == nil && st.Position() == p
	}, waitLimit, time.Millisecond)
}

// The primary keeps writing while it is cut off from its replicas, and the others move to term 2.
// When the old primary is commanded to follow, it returns the entries that only it had, and it
// returns them again when the answer was lost and the command is repeated.
func TestFailoverAndRejoin(t *testing.T) {
	a, da := start(t, dbd.Options{ID: "a", Role: dbd.RolePrimary})
	b, db := start(t, dbd.Options{ID: "b", Primary: a.Addr()})
	_, dc := start(t, dbd.Options{ID: "c", Primary: a.Addr()})
	write(t, a, "kept")
	atEnd(t, db, timeline.Position{Term: 1, LSN: 2})
	atEnd(t, dc, timeline.Position{Term: 1, LSN: 2})
	a.Faults().Cut(dbd.Peers, dbd.Both)
	write(t, a, "alone")

	for _, d := range []target.Database{db, dc} {
		st, err := d.Fence(t.Context(), 2)
		require.NoError(t, err)
		require.Equal(t, timeline.Term(2), st.Promised)
	}
	st, err := db.Promote(t.Context(), 2)
	require.NoError(t, err)
	require.Equal(t, target.Status{Server: "b", Role: target.RolePrimary, Term: 2, Promised: 2, LSN: 3, Start: 2}, st)
	again, err := db.Promote(t.Context(), 2)
	require.NoError(t, err)
	require.Equal(t, st, again)
	write(t, b, "after")

	a.Faults().Heal()
	for range 2 {
		dropped, err := da.Follow(t.Context(), b.Addr(), 2)
		require.NoError(t, err)
		require.Len(t, dropped, 1)
		require.Equal(t, timeline.Position{Term: 1, LSN: 3}, dropped[0].Position)
		require.Contains(t, dropped[0].Statement, "alone")
	}
	dropped, err := dc.Follow(t.Context(), b.Addr(), 2)
	require.NoError(t, err)
	require.Empty(t, dropped)
	atEnd(t, da, timeline.Position{Term: 2, LSN: 4})
	atEnd(t, dc, timeline.Position{Term: 2, LSN: 4})
}

// Failure guarded against: a promoter that was paused past its lease resumes and continues with its
// old term. The server must refuse each of its commands and return the term that superseded it.
func TestSupersededCommandsAreRefused(t *testing.T) {
	a, da := start(t, dbd.Options{ID: "a", Role: dbd.RolePrimary})
	_, err := da.Fence(t.Context(), 9)
	require.NoError(t, err)
	want := &target.FencedError{Server: "a", CommandTerm: 8, Promised: 9}
	_, err = da.Fence(t.Context(), 8)
	require.Equal(t, want, err)
	_, err = da.Promote(t.Context(), 8)
	require.Equal(t, want, err)
	_, err = da.Follow(t.Context(), a.Addr(), 8)
	require.Equal(t, want, err)
	_, err = da.Fence(t.Context(), 9)
	require.NoError(t, err, "a repeated command is not refused")
}

// A frozen server accepts TCP connections and answers nothing: the call ends at its deadline, and
// the first call after the server has resumed uses a new connection.
func TestDeadlineThenReconnect(t *testing.T) {
	a, da := start(t, dbd.Options{ID: "a", Role: dbd.RolePrimary})
	a.Faults().Freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := da.Status(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	a.Faults().Thaw()
	_, err = da.Status(t.Context())
	require.NoError(t, err)
}

func TestMalformedConnectionString(t *testing.T) {
	_, err := pgtarget.New("a", "postgres://%zz")
	require.Error(t, err)
}
