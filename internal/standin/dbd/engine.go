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

// errEvicted is returned to a write transaction that was rolled back from
// outside, by a fence or a rewind.
var errEvicted = errors.New("transaction was ended by the server")

// errClosed is returned by a storage that a rewind has replaced.
var errClosed = errors.New("storage was replaced by a rewind")

// databases numbers the in-memory databases of this process.
var databases atomic.Uint64

// engine is one server's storage.
type engine struct {
	headDB, committedDB *sql.DB

	// headMu guards head and owner. owner is the open write transaction.
	headMu sync.Mutex
	head   *sql.Conn
	owner  *writeTx

	// mu lets readers of committed exclude the replay of an entry, since the
	// in-memory SQLite file has one lock for the whole database.
	mu     sync.RWMutex
	closed bool
	apply  *sql.Conn
	// writeLock holds one token: the right to be owner.
	writeLock chan struct{}
}

// newEngine returns an empty storage.
func newEngine(ctx context.Context) (*engine, error) {
	n := databases.Add(1)
	e := &engine{writeLock: make(chan struct{}, 1)}
	var err error
	if e.headDB, e.head, err = openDatabase(ctx, fmt.Sprintf("file:/head-%d?vfs=memdb", n)); err != nil {
		return nil, err
	}
	source := fmt.Sprintf("file:/committed-%d?vfs=memdb", n)
	var writer *sql.DB
	if writer, e.apply, err = openDatabase(ctx, source); err != nil {
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

// read runs one statement on committed data. A statement that would write
// fails with SQLITE_READONLY before it has any effect.
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

// columns describes the result of a statement without running it.
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

// replay applies the statements of an entry to both databases. A transaction
// that began before its server was fenced is rolled back for it.
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
	return replayOn(ctx, e.apply, stmts)
}

func replayOn(ctx context.Context, conn *sql.Conn, stmts []Statement) error {
	if len(stmts) == 0 {
		return nil
	}
	if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "begin replay")
	}
	for _, s := range stmts {
		if _, err := conn.ExecContext(ctx, s.SQL, natives(s.Args)...); err != nil {
			_, _ = conn.ExecContext(ctx, "ROLLBACK")
			return errors.Wrapf(err, "replay %q", truncate(s.SQL, summaryLimit))
		}
	}
	_, err := conn.ExecContext(ctx, "COMMIT")
	return errors.Wrap(err, "commit replay")
}

// close frees the storage once its readers are done.
func (e *engine) close() {
	e.headMu.Lock()
	defer e.headMu.Unlock()
	e.release(e.owner)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.head.Close()
	_ = e.apply.Close()
	_ = e.headDB.Close()
	_ = e.committedDB.Close()
}

// column is one column of a result.
type column struct {
	name string
	oid  uint32
}

// columnInfoer is what the SQLite driver's connection offers beyond
// database/sql.
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
