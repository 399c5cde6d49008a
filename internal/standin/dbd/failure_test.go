package dbd

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/timeline"
)

// A primary is fenced while a transaction with a write is open, and COMMIT arrives afterwards. It
// must fail, and no server may have the row.
func TestOpenTransactionCannotCommitAfterFence(t *testing.T) {
	a, b, _ := startGroup(t)
	client := dial(t, a)
	mustExec(t, client, "BEGIN")
	mustExec(t, client, "INSERT INTO passes (id) VALUES ('late')")
	mustExec(t, dial(t, a), "SELECT * FROM endivemoor_fence(2)")
	_, err := client.Exec(t.Context(), "COMMIT")
	require.Equal(t, codeReadOnly, sqlState(err))
	require.Equal(t, byte(stateIdle), client.PgConn().TxStatus())
	require.Equal(t, 0, count(t, dial(t, a)))
	require.Equal(t, timeline.LSN(1), a.Status().LSN)
	require.Equal(t, EndRolledBack, a.Executions()[0].End)
	require.Equal(t, 0, count(t, dial(t, b)))
}

// The network delays a COMMIT until the old primary is fenced. The primary must not execute it.
func TestDelayedCommitArrivesAfterFence(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	client := dial(t, a)
	mustExec(t, client, "BEGIN")
	mustExec(t, client, "INSERT INTO passes (id) VALUES ('late')")
	a.Faults().Cut("test", Requests)
	answer := make(chan error, 1)
	go func() {
		_, err := client.Exec(context.Background(), "COMMIT")
		answer <- err
	}()
	eventually(t, func() bool { return a.Faults().Hits().Requests > 0 }, "the cut holds back COMMIT")
	_, err := a.node.fence(2)
	require.NoError(t, err)
	a.Faults().Heal()
	require.Equal(t, codeReadOnly, sqlState(<-answer))
	require.Equal(t, timeline.LSN(1), a.Status().LSN)
}

// Clients write while the primary is fenced. After the answer to the fence its log must not grow,
// and it must contain exactly the acknowledged writes.
func TestNoCommitIsAcknowledgedBeyondFence(t *testing.T) {
	const writers = 8
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	var wg sync.WaitGroup
	acknowledged := make([]int, writers)
	for i := range writers {
		conn := dial(t, a)
		wg.Go(func() {
			for {
				_, err := conn.Exec(context.Background(), "INSERT INTO passes (seat) VALUES (1)")
				if err != nil {
					return
				}
				acknowledged[i]++
			}
		})
	}
	eventually(t, func() bool { return a.Status().LSN > 50 }, "the writers have committed 50 writes")
	fenced, err := a.node.fence(2)
	require.NoError(t, err)
	wg.Wait()
	total := 0
	for _, n := range acknowledged {
		total += n
	}
	require.Equal(t, fenced.LSN, a.Status().LSN)
	require.Equal(t, int(fenced.LSN)-1, total)
	require.Equal(t, total, count(t, dial(t, a)))
}

// A replica is fenced for a promotion while the old primary still writes. Its log must not grow
// beyond the position that it reported to the promoter, or the promoter may choose the wrong
// candidate.
func TestFencedReplicaRefusesOldPrimary(t *testing.T) {
	a, b, c := startGroup(t)
	f := currentFollower(t, b)
	_, err := b.node.fence(2)
	require.NoError(t, err)
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ('old')")
	eventually(t, func() bool { return c.Status().LSN == 2 }, "the other replica has replicated the write")
	entry := a.Entries()[1]
	require.ErrorIs(t, b.node.applyEntry(t.Context(), f, entry), errStopped)
	require.Equal(t, timeline.LSN(1), b.Status().LSN)
	require.Equal(t, 0, count(t, dial(t, b)))
}

func currentFollower(t *testing.T, s *Server) *follower {
	t.Helper()
	var f *follower
	eventually(t, func() bool {
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		f = s.node.follower
		return f != nil
	}, "replication has started")
	return f
}

// A primary that was cut off from its replicas commits further writes, is replaced and then follows
// the new primary. It must discard those writes, replicate the rows of the new primary and serve
// reads as a replica.
func TestSupersededPrimaryRewinds(t *testing.T) {
	a, b, c := startGroup(t)
	old := dial(t, a)
	mustExec(t, old, "INSERT INTO passes (id, note) VALUES ('kept', 'a')")
	eventually(t, func() bool { return b.Status().LSN == 2 && c.Status().LSN == 2 }, "both replicas have replicated the write")
	a.Faults().Cut(Peers, Both)
	mustExec(t, old, "INSERT INTO passes (id, note) VALUES ('alone', 'a')")
	mustExec(t, old, "UPDATE passes SET note = 'alone' WHERE id = 'kept'")
	for _, s := range []*Server{b, c} {
		_, err := s.node.fence(2)
		require.NoError(t, err)
	}
	_, err := c.node.promote(2)
	require.NoError(t, err)
	a.Faults().Heal()
	dropped, err := a.node.follow(t.Context(), c.Addr(), 2)
	require.NoError(t, err)
	require.Len(t, dropped, 2)
	mustExec(t, dial(t, c), "INSERT INTO passes (id) VALUES ('new')")
	eventually(t, func() bool { return a.Status().Position() == c.Status().Position() }, "the old primary has replicated the entries of the new one")
	rows, err := old.Query(t.Context(), "SELECT id, coalesce(note, '') FROM passes ORDER BY id")
	require.NoError(t, err)
	var got []string
	for rows.Next() {
		var id, note string
		require.NoError(t, rows.Scan(&id, &note))
		got = append(got, id+"="+note)
	}
	require.Equal(t, []string{"kept=a", "new="}, got)
	_, err = old.Exec(t.Context(), "INSERT INTO passes (id) VALUES ('again')")
	require.Equal(t, codeReadOnly, sqlState(err))
}

// Clients read from an old primary while it is rewound. The set of rows may change, but no read may
// fail.
func TestReadersDoNotNoticeRewind(t *testing.T) {
	a, b, c := startGroup(t)
	a.Faults().Cut(Peers, Both)
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ('alone')")
	for _, s := range []*Server{b, c} {
		_, err := s.node.fence(2)
		require.NoError(t, err)
	}
	_, err := b.node.promote(2)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	errs := make([]error, 4)
	for i := range errs {
		conn := dial(t, a)
		wg.Go(func() {
			for ctx.Err() == nil && errs[i] == nil {
				var n int
				errs[i] = conn.QueryRow(context.Background(), "SELECT count(*) FROM passes").Scan(&n)
			}
		})
	}
	a.Faults().Heal()
	dropped, err := a.node.follow(t.Context(), b.Addr(), 2)
	require.NoError(t, err)
	require.Len(t, dropped, 1)
	stop()
	wg.Wait()
	require.Equal(t, make([]error, len(errs)), errs)
}

// Two promoters cannot both promote a server in the same term: a server that follows the primary of
// the term, or that has promised another term, refuses.
func TestOneTermHasOnePrimary(t *testing.T) {
	_, b, c := startGroup(t)
	for _, s := range []*Server{b, c} {
		_, err := s.node.fence(2)
		require.NoError(t, err)
	}
	_, err := b.node.promote(2)
	require.NoError(t, err)
	_, err = c.node.follow(t.Context(), b.Addr(), 2)
	require.NoError(t, err)
	_, err = c.node.promote(2)
	require.Equal(t, codeNotInState, asSQLError(err).code)
	_, err = c.node.promote(3)
	require.Equal(t, codeNotInState, asSQLError(err).code)
}

// A server that restarts without its storage may have lost the promise of a term. It must refuse
// fence and promote until it has followed a primary again.
func TestBlankServerDoesNotVote(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	b := startServer(t, Options{ID: "b", Role: RoleBlank})
	_, err := b.node.fence(5)
	require.Equal(t, codeNotInState, asSQLError(err).code)
	_, err = b.node.promote(5)
	require.Equal(t, codeNotInState, asSQLError(err).code)
	_, err = b.node.follow(t.Context(), a.Addr(), 1)
	require.NoError(t, err)
	eventually(t, func() bool { return b.Status().Position() == a.Status().Position() }, "b has replicated the entries of a")
	_, err = b.node.fence(5)
	require.NoError(t, err)
}

// Several connections send the same request with one request key at once. One commits; each other
// one gets 23505 and has no effect.
func TestOneRequestKeyRunsOnce(t *testing.T) {
	const clients = 6
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	states := make([]string, clients)
	var wg sync.WaitGroup
	for i := range clients {
		conn := dial(t, a).PgConn()
		wg.Go(func() {
			states[i] = sqlState(conn.Exec(context.Background(), `
				/*endivemoor kind=purchase&key=k7*/ BEGIN;
				INSERT INTO passes (seat) VALUES (7);
				INSERT INTO endivemoor_requests (key, digest) VALUES ('k7', 'd');
				COMMIT`).Close())
		})
	}
	wg.Wait()
	ran, refused := 0, 0
	for _, s := range states {
		switch s {
		case "<nil>":
			ran++
		case codeUnique:
			refused++
		}
	}
	require.Equal(t, 1, ran)
	require.Equal(t, clients-1, refused)
	require.Equal(t, 1, count(t, dial(t, a)))
}

// After a statement has failed, ROLLBACK TO a savepoint and COMMIT keep the statements before the
// savepoint, also on the replicas. Without a savepoint the failure rolls back the whole block.
func TestSavepointAfterFailure(t *testing.T) {
	a, b, _ := startGroup(t)
	c := dial(t, a)
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "INSERT INTO passes (id) VALUES ('x')")
	mustExec(t, c, "SAVEPOINT s")
	mustExec(t, c, "INSERT INTO passes (id) VALUES ('undone')")
	_, err := c.Exec(t.Context(), "INSERT INTO passes (id) VALUES ('x')")
	require.Equal(t, codeUnique, sqlState(err))
	mustExec(t, c, "ROLLBACK TO s")
	mustExec(t, c, "COMMIT")
	require.Equal(t, 1, count(t, c))
	eventually(t, func() bool { return b.Status().Position() == a.Status().Position() }, "b has replicated the entries of a")
	require.Equal(t, 1, count(t, dial(t, b)))
	mustExec(t, c, "BEGIN")
	_, err = c.Exec(t.Context(), "INSERT INTO passes (id) VALUES ('x')")
	require.Equal(t, codeUnique, sqlState(err))
	_, err = c.Exec(t.Context(), "ROLLBACK TO s")
	require.Equal(t, codeNoSavepoint, sqlState(err))
}

// The answer to a committed write is lost. The execution log must contain the committed transaction
// with its request key, although the client got no answer.
func TestLostAnswerLeavesEvidence(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	client := dial(t, a)
	a.Faults().Cut("test", Answers)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := client.Exec(ctx, "/*endivemoor kind=purchase&key=k9*/ INSERT INTO passes (id) VALUES ('p')")
		done <- err
	}()
	eventually(t, func() bool { return a.Status().LSN == 2 }, "the write is in the log")
	cancel()
	require.Error(t, <-done)
	var found []Execution
	eventually(t, func() bool { found = a.Executions(); return len(found) == 1 }, "the write is in the execution log")
	require.Equal(t, EndCommitted, found[0].End)
	require.Equal(t, "k9", found[0].Key)
	require.Equal(t, "purchase", found[0].Kind)
	require.Equal(t, timeline.Position{Term: 1, LSN: 2}, found[0].Position)
}

// A connection is closed in the middle of a transaction, as when a proxy crashes. The transaction
// must be rolled back and the write lock released to the next writer.
func TestDeadConnectionRollsBack(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	conn := dial(t, a)
	mustExec(t, conn, "BEGIN")
	mustExec(t, conn, "INSERT INTO passes (id) VALUES ('half')")
	require.NoError(t, conn.PgConn().Conn().Close())
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ('whole')")
	require.Equal(t, 1, count(t, dial(t, a)))
}

// A killed server answers no client, and its open transactions are lost.
func TestKill(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	c := dial(t, a)
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "INSERT INTO passes (id) VALUES ('open')")
	a.Kill()
	_, err := c.Exec(t.Context(), "COMMIT")
	require.Error(t, err)
	_, err = pgconn.Connect(t.Context(), "postgres://app@"+a.Addr()+"/ledger?sslmode=disable")
	require.Error(t, err)
	require.Equal(t, timeline.LSN(1), a.Status().LSN)
}

// Two logs that share a prefix must be cut at its end: a shorter cut loses writes that both logs
// have, and a longer one mixes the two branches.
func TestCommonEndIsWhereLogsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := drawLog(t, nil, "shared", 1)
		last := shared.end().Term
		local := drawLog(t, shared.entries, "local", last+1)
		remote := drawLog(t, shared.entries, "remote", last+1000)
		got := commonEnd(local.history, local.end().LSN, remote.history, remote.end().LSN)
		require.Equal(t, shared.end().LSN, got)
	})
}

func drawLog(t *rapid.T, prefix []Entry, name string, firstTerm timeline.Term) *entryLog {
	l := newEntryLog()
	for _, e := range prefix {
		l.append(e)
	}
	term := firstTerm
	for range rapid.IntRange(0, 20).Draw(t, name) {
		if rapid.Bool().Draw(t, name+" promotes") {
			term++
		}
		l.append(Entry{Position: timeline.Position{Term: term, LSN: l.end().LSN + 1}})
	}
	return l
}

// Failure guarded against: the requester of a follow command gives up while the old primary
// rebuilds its storage, and the log is truncated although the storage is not. Each later follow
// command finds a log that matches the new primary's, and replication fails permanently on a key
// that the storage still has.
func TestRewindCompletesAfterRequesterGivesUp(t *testing.T) {
	a, b, c := startGroup(t)
	a.Faults().Cut(Peers, Both)
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ('k1')")
	for _, s := range []*Server{b, c} {
		_, err := s.node.fence(2)
		require.NoError(t, err)
	}
	_, err := c.node.promote(2)
	require.NoError(t, err)
	mustExec(t, dial(t, c), "INSERT INTO passes (id) VALUES ('k1')")
	primaryLog, err := c.node.history(2)
	require.NoError(t, err)
	require.NoError(t, a.node.acceptTerm(2))

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	a.node.mu.Lock()
	_ = a.node.rewindLocked(canceled, primaryLog, 2)
	a.node.mu.Unlock()

	a.Faults().Heal()
	_, err = a.node.follow(t.Context(), c.Addr(), 2)
	require.NoError(t, err)
	eventually(t, func() bool { return a.Status().Position() == c.Status().Position() }, "the old primary has replicated the entries of the new one")
}

// Failure guarded against: a BEGIN is canceled, for example on a frozen primary that is then thawed
// and commanded to follow. The storage stays read-only, and replication fails permanently with
// "attempt to write a readonly database". At whichever point a BEGIN is canceled, the next
// transaction must succeed.
func TestAbandonedBeginLeavesTheStorageWritable(t *testing.T) {
	e, err := newEngine(t.Context())
	require.NoError(t, err)
	defer e.close()
	for i := range 2000 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%200)*time.Microsecond)
		if tx, err := e.begin(ctx, 1); err == nil {
			tx.rollback()
		}
		cancel()
		require.NoError(t, e.replay(t.Context(), []Statement{{SQL: "CREATE TABLE IF NOT EXISTS t (id TEXT)"}}))
	}
}
