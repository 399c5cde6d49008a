package dbd

import (
	"context"
	"database/sql"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/timeline"
)

// writeTx is an open write transaction in an engine's head.
type writeTx struct {
	engine *engine
	// term is the primary's term at the beginning.
	term timeline.Term
	// written lists the statements that write, in order.
	written []Statement
}

// begin waits for the write lock and opens a transaction.
func (e *engine) begin(ctx context.Context, term timeline.Term) (*writeTx, error) {
	select {
	case e.writeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	tx := &writeTx{engine: e, term: term}
	e.headMu.Lock()
	defer e.headMu.Unlock()
	// Statements start out as reads: one that writes fails at first, before it
	// has any effect, and is thereby known to belong in the log.
	if err := execAll(ctx, e.head, "BEGIN IMMEDIATE", "PRAGMA query_only=1"); err != nil {
		// A caller that gave up between the two would leave the storage inside
		// a transaction that nobody owns, or read-only, and neither a writer nor
		// replication would ever get on.
		_ = execAll(context.WithoutCancel(ctx), e.head, "PRAGMA query_only=0", "ROLLBACK")
		<-e.writeLock
		if errors.Is(err, sql.ErrConnDone) {
			err = errClosed
		}
		return nil, err
	}
	e.owner = tx
	return tx, nil
}

// exec runs one statement in the transaction.
func (tx *writeTx) exec(ctx context.Context, s Statement) (*result, error) {
	e := tx.engine
	e.headMu.Lock()
	defer e.headMu.Unlock()
	if e.owner != tx {
		return nil, errEvicted
	}
	res, err := query(ctx, e.head, s)
	if !isReadOnly(err) {
		return res, err
	}
	if err := execAll(ctx, e.head, "PRAGMA query_only=0"); err != nil {
		return nil, err
	}
	res, err = query(ctx, e.head, s)
	if perr := execAll(context.WithoutCancel(ctx), e.head, "PRAGMA query_only=1"); perr != nil {
		return nil, perr
	}
	if err == nil {
		tx.written = append(tx.written, s)
	}
	return res, err
}

// savepoint runs a SAVEPOINT, RELEASE or ROLLBACK TO statement. It is logged,
// so that a replay takes back the same part.
func (tx *writeTx) savepoint(ctx context.Context, s Statement) error {
	e := tx.engine
	e.headMu.Lock()
	defer e.headMu.Unlock()
	if e.owner != tx {
		return errEvicted
	}
	if err := execAll(ctx, e.head, s.SQL); err != nil {
		return err
	}
	tx.written = append(tx.written, s)
	return nil
}

// commit makes the transaction durable in head, then visible in committed.
func (tx *writeTx) commit() error {
	ctx := context.Background()
	e := tx.engine
	e.headMu.Lock()
	defer e.headMu.Unlock()
	if e.owner != tx {
		return errEvicted
	}
	if err := execAll(ctx, e.head, "PRAGMA query_only=0", "COMMIT"); err != nil {
		e.release(tx)
		return err
	}
	e.owner = nil
	<-e.writeLock
	return e.replayCommitted(ctx, tx.written)
}

// rollback ends the transaction without effect. It may be called again.
func (tx *writeTx) rollback() {
	tx.engine.headMu.Lock()
	defer tx.engine.headMu.Unlock()
	tx.engine.release(tx)
}

// evict rolls the open write transaction back, whoever runs it.
func (e *engine) evict() {
	e.headMu.Lock()
	defer e.headMu.Unlock()
	e.release(e.owner)
}

// release rolls tx back and gives up the write lock, if tx holds it.
func (e *engine) release(tx *writeTx) {
	if tx == nil || e.owner != tx {
		return
	}
	_ = execAll(context.Background(), e.head, "PRAGMA query_only=0", "ROLLBACK")
	e.owner = nil
	<-e.writeLock
}

func execAll(ctx context.Context, conn *sql.Conn, stmts ...string) error {
	for _, s := range stmts {
		if _, err := conn.ExecContext(ctx, s); err != nil {
			return errors.Wrap(err, s)
		}
	}
	return nil
}
