package proxy

import (
	"context"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
)

func TestSimpleAndExtendedQueries(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			c := r.connect(t, func(cfg *pgx.ConnConfig) { cfg.DefaultQueryExecMode = mode })
			id := mode.String()
			exec(t, c, "INSERT INTO passes (id, seat) VALUES ($1, $2)", id, "7")
			for range 3 {
				require.Equal(t, 7, queryInt(t, c, "SELECT seat FROM passes WHERE id = $1", id))
			}
			_, err := c.Exec(context.Background(), "SELECT nonsense FROM passes")
			require.Equal(t, "42703", pgError(t, err).Code)
			require.Equal(t, 7, queryInt(t, c, "SELECT seat FROM passes WHERE id = $1", id))
			require.NotEmpty(t, token(c))
		})
	}
}

func TestTransactionsAndErrorsInThem(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	ctx := context.Background()
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO passes (id, seat) VALUES ($1, $2)", "t1", 1)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO passes (id, seat) VALUES ($1, $2)", "t1", 1)
	require.Equal(t, "23505", pgError(t, err).Code)
	_, err = tx.Exec(ctx, "SELECT 1")
	require.Equal(t, "25P02", pgError(t, err).Code)
	require.ErrorIs(t, tx.Commit(ctx), pgx.ErrTxCommitRollback)
	require.Empty(t, token(c), "nothing was committed")

	tx, err = c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO passes (id, seat) VALUES ('t2', 2)")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	require.NotEmpty(t, token(c))
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM passes"))
}

func TestPipelinedBatch(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	ctx := context.Background()
	b := &pgx.Batch{}
	for i := range 20 {
		b.Queue("INSERT INTO passes (id, seat) VALUES ($1, $2)", string(rune('a'+i)), i)
	}
	b.Queue("SELECT count(*) FROM passes")
	res := c.SendBatch(ctx, b)
	for range 20 {
		_, err := res.Exec()
		require.NoError(t, err)
	}
	var n int
	require.NoError(t, res.QueryRow().Scan(&n))
	require.Equal(t, 20, n)
	require.NoError(t, res.Close())

	b = &pgx.Batch{}
	b.Queue("INSERT INTO passes (id, seat) VALUES ('z', 1)")
	b.Queue("INSERT INTO passes (id, seat) VALUES ('a', 1)")
	b.Queue("INSERT INTO passes (id, seat) VALUES ('y', 1)")
	require.Equal(t, "23505", pgError(t, c.SendBatch(ctx, b).Close()).Code)
	require.Equal(t, 20, queryInt(t, c, "SELECT count(*) FROM passes"), "the batch is one transaction")
}

// A driver prepares a statement once and uses it for hours. Each use may get another connection, or
// another server, on which it was not prepared.
func TestPreparedStatementsFollowTheCaller(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	ctx := context.Background()
	_, err := c.Prepare(ctx, "put", "INSERT INTO passes (id, seat) VALUES ($1, $2)")
	require.NoError(t, err)
	_, err = c.Prepare(ctx, "get", "/*endivemoor kind=balance*/ SELECT seat FROM passes WHERE id = $1")
	require.NoError(t, err)
	other := r.connect(t)
	for i := range 10 {
		exec(t, c, "put", string(rune('a'+i)), 3)
		exec(t, other, "SELECT 1")
		require.Eventually(t, func() bool {
			r.observe()
			return queryInt(t, c, "get", string(rune('a'+i))) == 3 && r.last().Replica
		}, waitLimit, 1)
	}
	require.NoError(t, c.Deallocate(ctx, "put"))
	_, err = c.PgConn().ExecPrepared(ctx, "put", [][]byte{[]byte("x"), []byte("1")}, nil, nil).Close()
	require.Equal(t, "26000", pgError(t, err).Code)
	exec(t, c, "SELECT 1")
}

// pgconn sends Flush to read the answer to one statement of a batch before it
// sends the next.
func TestFlushWithinABatch(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	p := c.PgConn().StartPipeline(context.Background())
	p.SendQueryParams("INSERT INTO passes (id, seat) VALUES ('f1', 1)", nil, nil, nil, nil)
	p.SendFlushRequest()
	require.NoError(t, p.Flush())
	res, err := p.GetResults()
	require.NoError(t, err)
	require.NotNil(t, res)
	p.SendQueryParams("INSERT INTO passes (id, seat) VALUES ('f1', 1)", nil, nil, nil, nil)
	p.SendFlushRequest()
	require.NoError(t, p.Flush())
	_, err = p.GetResults()
	require.Equal(t, "23505", pgError(t, err).Code)
	p.SendQueryParams("INSERT INTO passes (id, seat) VALUES ('f2', 1)", nil, nil, nil, nil)
	require.NoError(t, p.Sync())
	require.NoError(t, p.Close())
	require.Zero(t, queryInt(t, c, "SELECT count(*) FROM passes"), "the batch was rolled back")
}

func TestTagOnlyQueryTagsTheNextRequest(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	exec(t, c, "/*endivemoor kind=balance*/")
	exec(t, c, "SELECT 1")
	require.Equal(t, "balance", r.last().Kind)
	exec(t, c, "SELECT 1")
	require.Equal(t, "note", r.last().Kind)
	_, err := c.Exec(context.Background(), "/*endivemoor kind=nobody*/ SELECT 1")
	require.Equal(t, "22023", pgError(t, err).Code)
	require.Contains(t, pgError(t, err).Detail, "outcome=not-run")
}

// A batch larger than the socket buffers is written while its answers are read. If it were written
// first, each side could wait for the other.
func TestLargeBatchDoesNotBlock(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t)
	b := &pgx.Batch{}
	for range 100 {
		b.Queue("SELECT $1", strings.Repeat("x", 30000))
	}
	res := c.SendBatch(context.Background(), b)
	for range 100 {
		var got string
		require.NoError(t, res.QueryRow().Scan(&got))
		require.Len(t, got, 30000)
	}
	require.NoError(t, res.Close())
}

// A driver binds BEGIN, flushes, and executes it in the next part of the batch. The transaction
// must stay open, with its connection, until it is committed.
func TestBeginBoundBeforeAFlush(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	c := r.connect(t, simple)
	f := c.PgConn().Frontend()
	f.SendParse(&pgproto3.Parse{Query: "BEGIN"})
	f.SendBind(&pgproto3.Bind{})
	f.Send(&pgproto3.Flush{})
	f.SendExecute(&pgproto3.Execute{})
	f.SendSync(&pgproto3.Sync{})
	require.NoError(t, f.Flush())
	require.Equal(t, byte(txOpen), awaitReady(t, f))
	f.SendQuery(&pgproto3.Query{String: "INSERT INTO passes (id, seat) VALUES ('b', 1)"})
	require.NoError(t, f.Flush())
	require.Equal(t, byte(txOpen), awaitReady(t, f))
	f.SendQuery(&pgproto3.Query{String: "COMMIT"})
	require.NoError(t, f.Flush())
	require.Equal(t, byte(txIdle), awaitReady(t, f))
	require.Equal(t, 1, queryInt(t, r.connect(t), "SELECT count(*) FROM passes"))
}

func awaitReady(t *testing.T, f *pgproto3.Frontend) byte {
	t.Helper()
	for {
		m, err := f.Receive()
		require.NoError(t, err)
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			t.Fatalf("%s (%s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			return m.TxStatus
		}
	}
}
