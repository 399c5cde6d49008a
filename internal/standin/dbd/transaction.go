package dbd

import (
	"context"
	"regexp"
	"time"

	"endivemoor.example/endivemoor/internal/wait"
	"github.com/pkg/errors"
)

// Transaction states of ReadyForQuery.
const (
	stateIdle   = 'I'
	stateOpen   = 'T'
	stateFailed = 'E'
)

// transaction is a session's open transaction, if there is one.
type transaction struct {
	// block is set between BEGIN and COMMIT.
	block  bool
	failed bool
	// savepoints is set once a SAVEPOINT was made: a failed block can then be
	// rolled back to it and go on.
	savepoints bool
	// write is the storage's transaction; nil while only reads have run
	// outside a block, and in a block that may not write or has failed.
	write *writeTx
	// record is the execution log's account of write.
	record Execution
}

func (t *transaction) state() byte {
	switch {
	case t.failed:
		return stateFailed
	case t.block:
		return stateOpen
	default:
		return stateIdle
	}
}

// slowMinimum is the time of a statement that a slow factor multiplies, when
// StatementCost is less.
const slowMinimum = time.Millisecond

// readOnlyBlock matches BEGIN and START TRANSACTION with READ ONLY.
var readOnlyBlock = regexp.MustCompile(`(?i)\bREAD\s+ONLY\b`)

// run executes one statement within the session's transaction.
func (x *session) run(s Statement) (*result, error) {
	x.srv.faults.pause()
	ctx, done := x.statementContext()
	defer done()
	words := leadingWords(s.SQL, 2)
	if len(words) == 0 {
		return nil, failure(codeSyntax, "statement without a leading word")
	}
	if ends, ok := x.endBlock(words); ok {
		return ends, nil
	}
	if x.tx.failed && !rollsBackTo(words) {
		return nil, failure(codeFailedTransaction, failedTransactionMessage)
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
	return x.data(ctx, s)
}

func rollsBackTo(words []string) bool {
	return words[0] == verbRollback && len(words) > 1 && words[1] == "TO"
}

// endBlock handles the statements that end a block whatever its state, except
// the COMMIT of a sound one.
func (x *session) endBlock(words []string) (*result, bool) {
	rollback := words[0] == verbAbort || words[0] == verbRollback && !rollsBackTo(words)
	commit := words[0] == verbCommit || words[0] == verbEnd
	if !rollback && !(commit && x.tx.failed) {
		return nil, false
	}
	x.rollback()
	return &result{tag: verbRollback}, true
}

// begin opens a block. On a server that takes writes it waits for the write
// lock, unless the block is READ ONLY.
func (x *session) begin(ctx context.Context, text string) (*result, error) {
	if x.tx.block {
		return nil, failure(codeActiveTransaction, "there is already a transaction in progress")
	}
	if !readOnlyBlock.MatchString(text) && x.tx.write == nil {
		if err := x.beginWrite(ctx); err != nil && asSQLError(err).code != codeReadOnly {
			return nil, err
		}
	}
	x.tx.block = true
	x.settingsAtBegin()
	return &result{tag: verbBegin}, nil
}

// beginWrite opens the storage's transaction.
func (x *session) beginWrite(ctx context.Context) error {
	term, e, ok := x.srv.node.writable()
	if !ok {
		return failure(codeReadOnly, readOnlyMessage)
	}
	w, err := e.begin(ctx, term)
	if err != nil {
		return err
	}
	x.tx.write = w
	x.tx.record = Execution{
		Server:      x.srv.opts.ID,
		Transaction: x.srv.executions.begin(),
		Backend:     x.pid,
		Application: x.application,
	}
	return nil
}

func (x *session) commitBlock() (*result, error) {
	x.tx.block = false
	err := x.commit()
	x.settingsAtEnd(err == nil)
	if err != nil {
		return nil, err
	}
	return &result{tag: verbCommit}, nil
}

// commit ends the transaction and keeps its effect.
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

// rollback ends the transaction without effect.
func (x *session) rollback() {
	x.undo()
	x.tx = transaction{}
	x.settingsAtEnd(false)
}

// undo rolls the storage's transaction back, if there is one.
func (x *session) undo() {
	w := x.tx.write
	if w == nil {
		return
	}
	w.rollback()
	x.tx.write = nil
	x.tx.record.End = EndRolledBack
	x.srv.executions.add(x.tx.record)
}

// failTransaction moves a block to the failed state. Like PostgreSQL it gives
// up the locks at once, unless a savepoint may still be returned to: a caller
// that is slow to send ROLLBACK must not hold up the other writers.
func (x *session) failTransaction() {
	if !x.tx.block {
		x.rollback()
		return
	}
	x.tx.failed = true
	if !x.tx.savepoints {
		x.undo()
	}
}

// abandon ends the transaction of a connection that is gone.
func (x *session) abandon() { x.rollback() }

func (x *session) savepoint(ctx context.Context, s Statement, words []string) (*result, error) {
	if !x.tx.block {
		return nil, failure(codeNoTransaction, "%s can only be used in transaction blocks", words[0])
	}
	if words[0] != verbSavepoint && !x.tx.savepoints {
		return nil, failure(codeNoSavepoint, "savepoint does not exist")
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

// data runs a statement of the storage. Outside a write transaction it is
// tried as a read of committed data first: SQLite itself says if it writes.
func (x *session) data(ctx context.Context, s Statement) (*result, error) {
	if x.tx.write == nil {
		res, err := x.readData(ctx, s)
		if !isReadOnly(err) || x.tx.block {
			return res, err
		}
		if err := x.beginWrite(ctx); err != nil {
			return nil, err
		}
	}
	x.tx.record.addStatement(s)
	release, err := x.slot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return x.tx.write.exec(ctx, s)
}

func (x *session) readData(ctx context.Context, s Statement) (*result, error) {
	release, err := x.slot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return onStore(x.srv.node, func(e *engine) (*result, error) { return e.read(ctx, s) })
}

// onStore reads from the present storage, and again from the one that replaced
// it if a rewind came in between: a reader must not notice it.
func onStore[T any](n *node, read func(*engine) (T, error)) (T, error) {
	for {
		v, err := read(n.store())
		if !errors.Is(err, errClosed) || n.isStopped() {
			return v, err
		}
	}
}

// slot waits for one of the few places of running statements, then spends the
// time that a statement takes. Whoever waits for the write lock holds no slot,
// so that its owner always gets on.
func (x *session) slot(ctx context.Context) (func(), error) {
	select {
	case x.srv.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	cost := x.srv.opts.StatementCost
	if slow := x.srv.faults.slowness(); slow > 1 {
		cost = time.Duration(float64(max(cost, slowMinimum)) * slow)
	}
	if cost > 0 {
		wait.For(ctx, cost)
	}
	return func() { <-x.srv.slots }, ctx.Err()
}
