package dbd

import (
	"context"
	"database/sql"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"modernc.org/sqlite"
)

// errEvicted is returned to a write transaction that the server has rolled back, for example on a
// fence or a rewind.
var errEvicted = errors.New("write transaction was rolled back by the server")

// errClosed is returned by an engine that was closed because a rewind has replaced it.
var errClosed = errors.New("storage was replaced by a rewind")

// lastDatabaseID is the number of the newest pair of in-memory databases of this process. It makes
// the names of the databases unique among the servers of one process.
var lastDatabaseID atomic.Uint64

// engine is the storage of one server.
type engine struct {
	headDB, committedDB *sql.DB

	// headMu guards head and owner. owner is the open write transaction, or nil.
	headMu sync.Mutex
	head   *sql.Conn
	owner  *writeTx

	// mu keeps reads of committed apart from the replay of an entry, because an in-memory SQLite
	// file has one lock for the whole database.
	mu         sync.RWMutex
	closed     bool
	replayConn *sql.Conn
	// writeLock holds a token while a transaction is the owner or about to become it.
	writeLock chan struct{}
}

// newEngine returns an engine without tables.
func newEngine(ctx context.Context) (*engine, error) {
	n := lastDatabaseID.Add(1)
	e := &engine{writeLock: make(chan struct{}, 1)}
	var err error
	if e.headDB, e.head, err = openDatabase(ctx, fmt.Sprintf("file:/head-%d?vfs=memdb", n)); err != nil {
		return nil, err
	}
	source := fmt.Sprintf("file:/committed-%d?vfs=memdb", n)
	var writer *sql.DB
	if writer, e.replayConn, err = openDatabase(ctx, source); err != nil {
		return nil, err
	}
	writer.SetMaxOpenConns(1)
	e.committedDB, err = sql.Open("sqlite", source+"&_pragma=query_only(1)")
	return e, errors.Wrap(err, "open the committed database")
}

func openDatabase(ctx context.Context, source string) (*sql.DB, *sql.Conn, error) {
	db, err := sql.Open("sqlite", source+"&_pragma=foreign_keys(1)")
	if err != nil {
		return nil, nil, errors.Wrap(err, "open an in-memory database")
	}
	conn, err := db.Conn(ctx)
	return db, conn, errors.Wrap(err, "connect to an in-memory database")
}

// read runs one statement on committed data. A statement that writes fails with SQLITE_READONLY
// before it has any effect.
func (e *engine) read(ctx context.Context, s Statement) (*result, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.closed {
		return nil, errClosed
	}
	conn, err := e.committedDB.Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return query(ctx, conn, s)
}

// columns returns the result columns of a statement without running it.
func (e *engine) columns(ctx context.Context, sqlText string) ([]column, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.closed {
		return nil, errClosed
	}
	conn, err := e.committedDB.Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return describe(conn, sqlText)
}

// replay applies the statements of an entry to both databases. It first rolls back the open write
// transaction, which may have begun before the server was fenced.
func (e *engine) replay(ctx context.Context, stmts []Statement) error {
	e.headMu.Lock()
	defer e.headMu.Unlock()
	e.release(e.owner)
	if err := replayOn(ctx, e.head, stmts); err != nil {
		return err
	}
	return e.replayCommitted(ctx, stmts)
}

func (e *engine) replayCommitted(ctx context.Context, stmts []Statement) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return replayOn(ctx, e.replayConn, stmts)
}

func replayOn(ctx context.Context, conn *sql.Conn, stmts []Statement) error {
	if len(stmts) == 0 {
		return nil
	}
	if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "begin replay")
	}
	for _, s := range stmts {
		if _, err := conn.ExecContext(ctx, s.SQL, driverArgs(s.Args)...); err != nil {
			_, _ = conn.ExecContext(ctx, "ROLLBACK")
			return errors.Wrapf(err, "replay %q", truncate(s.SQL, summaryLimit))
		}
	}
	_, err := conn.ExecContext(ctx, "COMMIT")
	return errors.Wrap(err, "commit replay")
}

// close frees the storage after the running reads have ended.
func (e *engine) close() {
	e.headMu.Lock()
	defer e.headMu.Unlock()
	e.release(e.owner)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.head.Close()
	_ = e.replayConn.Close()
	_ = e.headDB.Close()
	_ = e.committedDB.Close()
}

// column is one column of a result.
type column struct {
	name string
	oid  uint32
}

// columnInfoer is the method of the SQLite driver's connection that describes a statement;
// database/sql has none.
type columnInfoer interface {
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

func describe(conn *sql.Conn, sqlText string) ([]column, error) {
	var cols []column
	err := conn.Raw(func(driverConn any) error {
		info, err := driverConn.(columnInfoer).ColumnInfo(sqlText)
		for _, c := range info {
			cols = append(cols, column{name: c.Name, oid: typeOID(c.DeclType)})
		}
		return err
	})
	return cols, err
}
