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

// A passenger pays while the fleet moves on: the purchase is written in an open
// transaction, the old primary is fenced, then COMMIT arrives. It must fail, and
// the pass must be nowhere.
func TestOpenTransactionCannotCommitAfterFence(t *testing.T) {
	a, b, _ := startGroup(t)
	buyer := dial(t, a)
	mustExec(t, buyer, "BEGIN")
	mustExec(t, buyer, "INSERT INTO passes (id) VALUES ('late')")
	mustExec(t, dial(t, a), "SELECT * FROM endivemoor_fence(2)")
	_, err := buyer.Exec(t.Context(), "COMMIT")
	require.Equal(t, codeReadOnly, sqlState(err))
	require.Equal(t, byte(stateIdle), buyer.PgConn().TxStatus())
	require.Equal(t, 0, count(t, dial(t, a)))
	require.Equal(t, timeline.LSN(1), a.Status().LSN)
	require.Equal(t, EndRolledBack, a.Executions()[0].End)
	require.Equal(t, 0, count(t, dial(t, b)))
}

// The caller's COMMIT is held up by the network and reaches the old primary
// after it was fenced. It must not be executed late.
func TestDelayedCommitArrivesAfterFence(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	buyer := dial(t, a)
	mustExec(t, buyer, "BEGIN")
	mustExec(t, buyer, "INSERT INTO passes (id) VALUES ('late')")
	a.Faults().Cut("test", Requests)
	answer := make(chan error, 1)
	go func() {
		_, err := buyer.Exec(context.Background(), "COMMIT")
		answer <- err
	}()
	eventually(t, func() bool { return a.Faults().Struck().Requests > 0 }, "COMMIT is held up")
	_, err := a.node.fence(2)
	require.NoError(t, err)
	a.Faults().Heal()
	require.Equal(t, codeReadOnly, sqlState(<-answer))
	require.Equal(t, timeline.LSN(1), a.Status().LSN)
}

// Writers keep on writing while the primary is fenced. Once the fence is
// answered its log may not grow, and it holds just the writes that were
// acknowledged: none more, none less.
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
	eventually(t, func() bool { return a.Status().LSN > 50 }, "writers are at work")
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

// A replica is fenced for a promotion while the old primary still writes. Its
// log must stay where the promoter saw it, or the promoter's choice is wrong.
func TestFencedReplicaRefusesOldPrimary(t *testing.T) {
	a, b, c := startGroup(t)
	f := currentFollower(t, b)
	_, err := b.node.fence(2)
	require.NoError(t, err)
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ('old')")
	eventually(t, func() bool { return c.Status().LSN == 2 }, "the other replica goes on")
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

// The old primary wrote alone, the group moved on, and it rejoins. Its own rows
// are gone, the new primary's are there, and it takes the reads of a replica.
func TestSupersededPrimaryRewinds(t *testing.T) {
	a, b, c := startGroup(t)
	old := dial(t, a)
	mustExec(t, old, "INSERT INTO passes (id, note) VALUES ('kept', 'a')")
	eventually(t, func() bool { return b.Status().LSN == 2 && c.Status().LSN == 2 }, "replicas caught up")
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
	eventually(t, func() bool { return a.Status().Position() == c.Status().Position() }, "old primary caught up")
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

// Readers are at work while the old primary is rewound. None of them may notice
// more than rows that come and go.
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

// Two promoters with the same term cannot both win: a server that follows the
// term's primary, or that has promised another term, refuses.
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

// A server came back without its storage. It may have promised a term and
// forgotten it, so it must not vote before it follows again.
func TestBlankServerDoesNotVote(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	b := startServer(t, Options{ID: "b", Role: RoleBlank})
	_, err := b.node.fence(5)
	require.Equal(t, codeNotInState, asSQLError(err).code)
	_, err = b.node.promote(5)
	require.Equal(t, codeNotInState, asSQLError(err).code)
	_, err = b.node.follow(t.Context(), a.Addr(), 1)
	require.NoError(t, err)
	eventually(t, func() bool { return b.Status().Position() == a.Status().Position() }, "it catches up")
	_, err = b.node.fence(5)
	require.NoError(t, err)
}

// The same purchase is sent through two proxies at once, with one request key.
// One runs; the other learns by 23505 that it did not, and charges nothing.
func TestOneRequestKeyRunsOnce(t *testing.T) {
	const racers = 6
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	states := make([]string, racers)
	var wg sync.WaitGroup
	for i := range racers {
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
	require.Equal(t, racers-1, refused)
	require.Equal(t, 1, count(t, dial(t, a)))
}

// A statement fails after a savepoint: the caller returns to it and commits the
// rest, on the replicas too. Without a savepoint the whole block is undone.
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
	eventually(t, func() bool { return b.Status().Position() == a.Status().Position() }, "b catches up")
	require.Equal(t, 1, count(t, dial(t, b)))
	mustExec(t, c, "BEGIN")
	_, err = c.Exec(t.Context(), "INSERT INTO passes (id) VALUES ('x')")
	require.Equal(t, codeUnique, sqlState(err))
	_, err = c.Exec(t.Context(), "ROLLBACK TO s")
	require.Equal(t, codeNoSavepoint, sqlState(err))
}

// The answer to a committed purchase is lost on its way. The execution log must
// say that it ran, with its key, though its caller does not know.
func TestLostAnswerLeavesEvidence(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	buyer := dial(t, a)
	a.Faults().Cut("test", Answers)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := buyer.Exec(ctx, "/*endivemoor kind=purchase&key=k9*/ INSERT INTO passes (id) VALUES ('p')")
		done <- err
	}()
	eventually(t, func() bool { return a.Status().LSN == 2 }, "it ran")
	cancel()
	require.Error(t, <-done)
	var found []Execution
	eventually(t, func() bool { found = a.Executions(); return len(found) == 1 }, "it is in the execution log")
	require.Equal(t, EndCommitted, found[0].End)
	require.Equal(t, "k9", found[0].Key)
	require.Equal(t, "purchase", found[0].Kind)
	require.Equal(t, timeline.Position{Term: 1, LSN: 2}, found[0].Position)
}

// A proxy dies in the middle of a transaction: its connection ends, nothing of
// the transaction stays, and the write lock goes to the next writer.
func TestDeadConnectionRollsBack(t *testing.T) {
	a := startServer(t, Options{ID: "a", Role: RolePrimary})
	dying := dial(t, a)
	mustExec(t, dying, "BEGIN")
	mustExec(t, dying, "INSERT INTO passes (id) VALUES ('half')")
	require.NoError(t, dying.PgConn().Conn().Close())
	mustExec(t, dial(t, a), "INSERT INTO passes (id) VALUES ('whole')")
	require.Equal(t, 1, count(t, dial(t, a)))
}

// A killed server answers nobody, and an open transaction is lost with it.
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

// Logs that share a past and then part must be cut where they part: never
// shorter, which loses kept writes, and never longer, which mixes branches.
func TestCommonEndIsWhereLogsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := drawLog(t, nil, "shared", 1)
		last := shared.end().Term
		mine := drawLog(t, shared.entries, "mine", last+1)
		theirs := drawLog(t, shared.entries, "theirs", last+1000)
		got := commonEnd(mine.history, mine.end().LSN, theirs.history, theirs.end().LSN)
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

// The proxy that ordered an old primary to follow gives up while the server
// rebuilds its storage. The log was cut and the storage was not, so the server
// never followed again: each new order found a log that fits, and replication
// failed for ever on a key that the storage still held (seen under load, after
// 3,000 entries).
func TestRewindOutlivesItsOrder(t *testing.T) {
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
	theirs, err := c.node.history(2)
	require.NoError(t, err)
	require.NoError(t, a.node.yieldTo(2))

	gaveUp, cancel := context.WithCancel(t.Context())
	cancel()
	a.node.mu.Lock()
	_ = a.node.rewindLocked(gaveUp, theirs, 2)
	a.node.mu.Unlock()

	a.Faults().Heal()
	_, err = a.node.follow(t.Context(), c.Addr(), 2)
	require.NoError(t, err)
	eventually(t, func() bool { return a.Status().Position() == c.Status().Position() }, "the old primary follows")
}

// A proxy gives up its BEGIN at a frozen primary, which is thawed and told to
// follow. The storage stayed read-only, so the server never followed again (seen
// in CI: "attempt to write a readonly database"). Wherever the BEGIN is given
// up, the next transaction must get on.
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
