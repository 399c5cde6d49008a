package dbd

import (
	"context"
	"regexp"
	"time"

	"endivemoor.example/endivemoor/internal/wait"
	"github.com/pkg/errors"
)

// Transaction states in ReadyForQuery.
const (
	stateIdle   = 'I'
	stateOpen   = 'T'
	stateFailed = 'E'
)

// transaction is a session's open transaction, if there is one.
type transaction struct {
	// inBlock is set between BEGIN and COMMIT.
	inBlock bool
	failed  bool
	// savepoints is set after the first SAVEPOINT: a failed block can then be rolled back to it and
	// continue.
	savepoints bool
	// write is the transaction in the storage. It is nil while only reads have run outside a block,
	// and in a block that must not write or has failed.
	write *writeTx
	// record is the execution log's record of write.
	record Execution
}

func (t *transaction) state() byte {
	switch {
	case t.failed:
		return stateFailed
	case t.inBlock:
		return stateOpen
	default:
		return stateIdle
	}
}

// minSlowedCost is the statement time that a slow factor multiplies if StatementCost is less.
const minSlowedCost = time.Millisecond

// readOnlyBlock matches BEGIN and START TRANSACTION with READ ONLY.
var readOnlyBlock = regexp.MustCompile(`(?i)\bREAD\s+ONLY\b`)

// run executes one statement within the session's transaction.
func (x *session) run(s Statement) (*result, error) {
	x.srv.faults.waitWhileFrozen()
	ctx, done := x.statementContext()
	defer done()
	words := leadingWords(s.SQL, 2)
	if len(words) == 0 {
		return nil, sqlErrorf(codeSyntax, "statement without a leading word")
	}
	if res, ok := x.endBlock(words); ok {
		return res, nil
	}
	if x.tx.failed && !rollsBackTo(words) {
		return nil, sqlErrorf(codeFailedTransaction, failedTransactionMessage)
	}
	switch words[0] {
	case verbBegin, verbStart:
		return x.begin(ctx, s.SQL)
	case verbCommit, verbEnd:
		return x.commitBlock()
	case verbSavepoint, verbRelease, verbRollback:
		return x.savepoint(ctx, s, words)
	}
	if res, err, ok := x.utility(s.SQL, words); ok {
		return res, err
	}
	if res, err, ok := x.controlCall(ctx, s); ok {
		return res, err
	}
	return x.runData(ctx, s)
}

func rollsBackTo(words []string) bool {
	return words[0] == verbRollback && len(words) > 1 && words[1] == "TO"
}

// endBlock handles the statements that roll back a block: ROLLBACK and ABORT, and the COMMIT of a
// failed one.
func (x *session) endBlock(words []string) (*result, bool) {
	rollback := words[0] == verbAbort || words[0] == verbRollback && !rollsBackTo(words)
	commit := words[0] == verbCommit || words[0] == verbEnd
	if !rollback && !(commit && x.tx.failed) {
		return nil, false
	}
	x.rollback()
	return &result{tag: verbRollback}, true
}

// begin opens a block. On a server that accepts writes it waits for the write lock, unless the
// block is READ ONLY.
func (x *session) begin(ctx context.Context, text string) (*result, error) {
	if x.tx.inBlock {
		return nil, sqlErrorf(codeActiveTransaction, "there is already a transaction in progress")
	}
	if !readOnlyBlock.MatchString(text) && x.tx.write == nil {
		if err := x.beginWrite(ctx); err != nil && asSQLError(err).code != codeReadOnly {
			return nil, err
		}
	}
	x.tx.inBlock = true
	x.saveSettings()
	return &result{tag: verbBegin}, nil
}

// beginWrite opens a write transaction in the storage.
func (x *session) beginWrite(ctx context.Context) error {
	term, e, ok := x.srv.node.writable()
	if !ok {
		return sqlErrorf(codeReadOnly, readOnlyMessage)
	}
	w, err := e.begin(ctx, term)
	if err != nil {
		return err
	}
	x.tx.write = w
	x.tx.record = Execution{
		Server:      x.srv.opts.ID,
		Transaction: x.srv.executions.nextTransaction(),
		Backend:     x.pid,
		Application: x.application,
	}
	return nil
}

func (x *session) commitBlock() (*result, error) {
	x.tx.inBlock = false
	err := x.commit()
	x.endBlockSettings(err == nil)
	if err != nil {
		return nil, err
	}
	return &result{tag: verbCommit}, nil
}

// commit commits the transaction and records its execution.
func (x *session) commit() error {
	w := x.tx.write
	if w == nil {
		x.tx = transaction{}
		return nil
	}
	pos, err := x.srv.node.commit(w)
	record := x.tx.record
	x.tx = transaction{}
	record.End = EndCommitted
	record.Position = pos
	if err != nil {
		w.rollback()
		record.End = EndRolledBack
	}
	x.srv.executions.add(record)
	return err
}

// rollback rolls back the transaction and the settings of its block.
func (x *session) rollback() {
	x.rollbackWrite()
	x.tx = transaction{}
	x.endBlockSettings(false)
}

// rollbackWrite rolls back the transaction in the storage, if there is one, and records its
// execution.
func (x *session) rollbackWrite() {
	w := x.tx.write
	if w == nil {
		return
	}
	w.rollback()
	x.tx.write = nil
	x.tx.record.End = EndRolledBack
	x.srv.executions.add(x.tx.record)
}

// failTransaction moves a block to the failed state. Like PostgreSQL it releases the locks at once,
// unless the block has a savepoint to roll back to: a client that is slow to send ROLLBACK must not
// delay the other writers.
func (x *session) failTransaction() {
	if !x.tx.inBlock {
		x.rollback()
		return
	}
	x.tx.failed = true
	if !x.tx.savepoints {
		x.rollbackWrite()
	}
}

// rollbackOnDisconnect rolls back the transaction of a closed connection.
func (x *session) rollbackOnDisconnect() { x.rollback() }

func (x *session) savepoint(ctx context.Context, s Statement, words []string) (*result, error) {
	if !x.tx.inBlock {
		return nil, sqlErrorf(codeNoTransaction, "%s can only be used in transaction blocks", words[0])
	}
	if words[0] != verbSavepoint && !x.tx.savepoints {
		return nil, sqlErrorf(codeNoSavepoint, "savepoint does not exist")
	}
	if x.tx.write != nil {
		if err := x.tx.write.savepoint(ctx, s); err != nil {
			return nil, err
		}
		x.tx.record.addStatement(s)
	}
	x.tx.savepoints = true
	x.tx.failed = false
	return &result{tag: words[0]}, nil
}

// runData runs a statement in the storage. Outside a write transaction it first tries the statement
// as a read of committed data: SQLite reports whether the statement writes.
func (x *session) runData(ctx context.Context, s Statement) (*result, error) {
	if x.tx.write == nil {
		res, err := x.readData(ctx, s)
		if !isReadOnly(err) || x.tx.inBlock {
			return res, err
		}
		if err := x.beginWrite(ctx); err != nil {
			return nil, err
		}
	}
	x.tx.record.addStatement(s)
	release, err := x.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return x.tx.write.exec(ctx, s)
}

func (x *session) readData(ctx context.Context, s Statement) (*result, error) {
	release, err := x.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return readStorage(x.srv.node, func(e *engine) (*result, error) { return e.read(ctx, s) })
}

// readStorage reads from the current storage. If a rewind has replaced the storage in between, it
// reads again from the new one, so that a client does not see the replacement as an error.
func readStorage[T any](n *node, read func(*engine) (T, error)) (T, error) {
	for {
		v, err := read(n.storage())
		if !errors.Is(err, errClosed) || n.isStopped() {
			return v, err
		}
	}
}

// acquireSlot waits for a statement slot, then for the simulated time of the statement, and returns
// the function that releases the slot. A session that waits for the write lock holds no slot, so
// that the lock's owner can always proceed.
func (x *session) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case x.srv.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	cost := x.srv.opts.StatementCost
	if slow := x.srv.faults.slowFactor(); slow > 1 {
		cost = time.Duration(float64(max(cost, minSlowedCost)) * slow)
	}
	if cost > 0 {
		wait.For(ctx, cost)
	}
	return func() { <-x.srv.slots }, ctx.Err()
}
