package dbd

import (
	"context"
	"database/sql"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/timeline"
)

// writeTx is a write transaction in the head database of an engine.
type writeTx struct {
	engine *engine
	// term is the primary's term at BEGIN.
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
	// Each statement is first run read-only. A statement that writes fails before it has any effect,
	// which marks it as one for the log.
	if err := execAll(ctx, e.head, "BEGIN IMMEDIATE", "PRAGMA query_only=1"); err != nil {
		// A cancellation between the two statements would leave head inside a transaction without
		// an owner, or read-only, and block all writers and replication permanently.
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

// savepoint runs a SAVEPOINT, RELEASE or ROLLBACK TO statement. The log includes it, so that a
// replay rolls back the same statements.
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

// commit commits the transaction in head, then replays it into committed, where reads see it.
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

// rollback rolls back the transaction. It may be called more than once.
func (tx *writeTx) rollback() {
	tx.engine.headMu.Lock()
	defer tx.engine.headMu.Unlock()
	tx.engine.release(tx)
}

// evict rolls back the open write transaction, if there is one, whichever session runs it.
func (e *engine) evict() {
	e.headMu.Lock()
	defer e.headMu.Unlock()
	e.release(e.owner)
}

// release rolls back tx and releases the write lock, if tx holds it.
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
